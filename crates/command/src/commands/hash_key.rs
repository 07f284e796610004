//! `hash-key`: hashes an API key for declarations.

use std::io::BufRead;

use bpaf::Parser;
use declare::KeyHash;

use crate::{Command, CommandParser, Error, Exit};

const HELP: &str = "Reads an API key from standard input and prints its hash for declarations";
const EXAMPLES: &str = "Example: turmericrelay hash-key < key.txt";

struct HashKey;

pub(crate) fn parser() -> CommandParser {
    bpaf::pure(())
        .map(|()| -> Box<dyn Command> { Box::new(HashKey) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("hash-key")
        .help(HELP)
        .boxed()
}

impl Command for HashKey {
    fn run(&self) -> Result<Exit, Error> {
        let mut line = String::new();
        std::io::stdin().lock().read_line(&mut line).map_err(|source| Error::System {
            context: "cannot read the key from standard input",
            source,
        })?;
        println!("{}", KeyHash::of(line.trim()));
        Ok(Exit::Success)
    }
}
