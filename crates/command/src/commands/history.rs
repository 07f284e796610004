//! `history`: lists revisions.

use bpaf::{Parser, construct, long};

use crate::fleet::{self, Fleet};
use crate::table::{Table, cell, items, print_json};
use crate::{Command, Entry, Error, Exit};

const HELP: &str = "Lists the newest revisions: who made them, when, and from what";
const EXAMPLES: &str = "Example: turmericrelay history --limit 10 --json";
const DEFAULT_LIMIT: usize = 50;

struct History {
    limit: usize,
    json: bool,
    fleet: Fleet,
}

pub(crate) fn entry() -> Entry {
    let limit = long("limit").help("Most revisions").argument("COUNT").fallback(DEFAULT_LIMIT);
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
        let page = self.fleet.get(&format!("/declarations/history?limit={}", self.limit))?;
        if self.json {
            print_json(&page);
            return Ok(Exit::Done);
        }
        let columns = ["revision", "at", "operator", "order", "changes", "rolled_back_to"];
        let mut table = Table::new(&columns);
        for entry in items(&page, "history") {
            table.push(columns.iter().map(|column| cell(entry, column)).collect());
        }
        table.print();
        Ok(Exit::Done)
    }
}
