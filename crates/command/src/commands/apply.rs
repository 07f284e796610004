//! `apply`: applies declarations as the next revision of the fleet.

use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};
use declare::{Order, Revision};

use crate::fleet::{self, FleetClient};
use crate::{Command, CommandParser, Error, Exit, files};

const HELP: &str =
    "Applies declarations from files or folders as the next revision; safe to resend";
const EXAMPLES: &str = "Example: turmericrelay apply declarations/ --base 41 \
                        --instance 10.0.0.1:8081 --token-file token
Example: turmericrelay apply declarations.yaml --base 41 --order night-1 --json";

struct Apply {
    base: Revision,
    order: Option<Order>,
    json: bool,
    fleet: FleetClient,
    files: Vec<PathBuf>,
}

pub(crate) fn parser() -> CommandParser {
    let base = long("base")
        .help("Revision that the files are based on; 0 for the first revision")
        .argument::<Revision>("REV");
    let order = fleet::order_flag();
    let json = fleet::json_flag();
    let fleet = fleet::flags();
    let files =
        positional("FILE").help("YAML files, or folders of them").some("give at least one file");
    construct!(Apply { base, order, json, fleet, files })
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
        let order = fleet::resolve_order(self.order.as_ref(), self.json)?;
        let path = format!("/declarations?base={}&order={order}", self.base);
        let response = self.fleet.send_order(&path, &body)?;
        fleet::print_revision(&response, self.json);
        Ok(Exit::Success)
    }
}
