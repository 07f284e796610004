//! `history`: lists the newest revisions.

use bpaf::{Parser, construct, long};

use crate::fleet::{self, FleetClient};
use crate::table::{Table, field_text, list_items, print_json};
use crate::{Command, CommandParser, Error, Exit};

const HELP: &str = "Lists the newest revisions: who made them, when, and with which changes";
const EXAMPLES: &str = "Example: turmericrelay history --limit 10 --json";
const DEFAULT_LIMIT: usize = 50;

struct History {
    limit: usize,
    json: bool,
    fleet: FleetClient,
}

pub(crate) fn parser() -> CommandParser {
    let limit =
        long("limit").help("Maximum number of revisions").argument("COUNT").fallback(DEFAULT_LIMIT);
    let json = fleet::json_flag();
    let fleet = fleet::flags();
    construct!(History { limit, json, fleet })
        .map(|history| -> Box<dyn Command> { Box::new(history) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("history")
        .help(HELP)
        .boxed()
}

impl Command for History {
    fn run(&self) -> Result<Exit, Error> {
        let response = self.fleet.get(&format!("/declarations/history?limit={}", self.limit))?;
        if self.json {
            print_json(&response);
            return Ok(Exit::Success);
        }
        let columns = ["revision", "at", "operator", "order", "changes", "rolled_back_to"];
        let mut table = Table::new(&columns);
        for revision in list_items(&response, "history") {
            table.push(columns.iter().map(|column| field_text(revision, column)).collect());
        }
        table.print();
        Ok(Exit::Success)
    }
}
