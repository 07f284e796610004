//! `diff`: shows what files would change, or the changes between two revisions.

use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};
use declare::Revision;
use serde_json::Value;

use crate::fleet::{self, FleetClient};
use crate::table::{list_items, print_json};
use crate::{Command, CommandParser, Error, Exit, files};

const HELP: &str = "Shows what files would change, or the changes between two revisions";
const EXAMPLES: &str = "Example: turmericrelay diff declarations.yaml
Example: turmericrelay diff --from 40 --to 41 --json";

struct Diff {
    from: Option<Revision>,
    to: Option<Revision>,
    json: bool,
    fleet: FleetClient,
    files: Vec<PathBuf>,
}

pub(crate) fn parser() -> CommandParser {
    let from = long("from").help("Earlier revision").argument::<Revision>("REV").optional();
    let to = long("to").help("Later revision").argument::<Revision>("REV").optional();
    let json = fleet::json_flag();
    let fleet = fleet::flags();
    let files =
        positional("FILE").help("Files and folders to compare with the newest revision").many();
    construct!(Diff { from, to, json, fleet, files })
        .map(|diff| -> Box<dyn Command> { Box::new(diff) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("diff")
        .help(HELP)
        .boxed()
}

impl Diff {
    fn compare_revisions(&self) -> Result<Value, Error> {
        let from = self.from.map(|revision| format!("from={revision}"));
        let to = self.to.map(|revision| format!("to={revision}"));
        let query: Vec<String> = from.into_iter().chain(to).collect();
        self.fleet.get(&format!("/declarations/diff?{}", query.join("&")))
    }

    fn compare_files(&self) -> Result<Value, Error> {
        self.fleet.compare(&files::read_declarations(&self.files)?)
    }
}

impl Command for Diff {
    fn run(&self) -> Result<Exit, Error> {
        let response =
            if self.files.is_empty() { self.compare_revisions()? } else { self.compare_files()? };
        if self.json {
            print_json(&response);
            return Ok(Exit::Success);
        }
        for change in list_items(&response, "changes") {
            println!("{}", change.as_str().unwrap_or_default());
        }
        Ok(Exit::Success)
    }
}
