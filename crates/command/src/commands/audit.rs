//! `audit`: lists who changed what.

use bpaf::{Parser, construct, long};

use crate::fleet::{self, Fleet};
use crate::table::{Table, cell, items, list, print_json};
use crate::{Command, Entry, Error, Exit};

const HELP: &str = "Lists changes of declarations: who, when, from which revision, and what";
const EXAMPLES: &str = "Example: turmericrelay audit --limit 10 --json";
const DEFAULT_LIMIT: usize = 50;

struct Audit {
    limit: usize,
    json: bool,
    fleet: Fleet,
}

pub(crate) fn entry() -> Entry {
    let limit = long("limit").help("Most records").argument("COUNT").fallback(DEFAULT_LIMIT);
    let json = fleet::json_flag();
    let fleet = fleet::flags();
    construct!(Audit { limit, json, fleet })
        .map(|audit| -> Box<dyn Command> { Box::new(audit) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("audit")
        .help(HELP)
        .boxed()
}

impl Command for Audit {
    fn run(&self) -> Result<Exit, Error> {
        let page = self.fleet.get(&format!("/declarations/audit?limit={}", self.limit))?;
        if self.json {
            print_json(&page);
            return Ok(Exit::Done);
        }
        let columns = ["revision", "base", "at", "operator", "order"];
        let mut table = Table::new(&["revision", "base", "at", "operator", "order", "changes"]);
        for record in items(&page, "audit") {
            let mut row: Vec<String> = columns.iter().map(|column| cell(record, column)).collect();
            row.push(list(record, "changes"));
            table.push(row);
        }
        table.print();
        Ok(Exit::Done)
    }
}
