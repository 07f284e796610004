//! `apply`: makes declarations the fleet's next revision.

use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};
use declare::{Order, Revision};

use crate::fleet::{self, Fleet};
use crate::{Command, Entry, Error, Exit, files};

const HELP: &str = "Makes declarations from files or folders the next revision; safe to resend";
const EXAMPLES: &str = "Example: turmericrelay apply declarations/ --base 41 \
                        --instance 10.0.0.1:8081 --token-file token";

struct Apply {
    base: Revision,
    order: Option<Order>,
    fleet: Fleet,
    files: Vec<PathBuf>,
}

pub(crate) fn entry() -> Entry {
    let base = long("base")
        .help("Revision that the files build on; 0 for the first")
        .argument::<Revision>("REV");
    let order = fleet::order_flag();
    let fleet = fleet::flags();
    let files = positional("FILE").help("Files and folders of YAML").some("give at least one file");
    construct!(Apply { base, order, fleet, files })
        .map(|apply| -> Box<dyn Command> { Box::new(apply) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("apply")
        .help(HELP)
        .boxed()
}

impl Command for Apply {
    fn run(&self) -> Result<Exit, Error> {
        let body = files::read_declarations(&self.files)?.to_yaml()?;
        let order = fleet::announce_order(self.order.as_ref())?;
        let path = format!("/declarations?base={}&order={order}", self.base);
        let answer = self.fleet.order(&path, &body)?;
        println!("revision {}", answer["revision"]);
        Ok(Exit::Done)
    }
}
