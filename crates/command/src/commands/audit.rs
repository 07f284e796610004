//! `audit`: lists the changes of declarations and the operators who made them.

use bpaf::{Parser, construct, long};

use crate::fleet::{self, FleetClient};
use crate::table::{Table, field_text, joined_texts, list_items, print_json};
use crate::{Command, CommandParser, Error, Exit};

const HELP: &str = "Lists changes of declarations: who, when, from which revision, and what";
const EXAMPLES: &str = "Example: turmericrelay audit --limit 10 --json";
const DEFAULT_LIMIT: usize = 50;

struct Audit {
    limit: usize,
    json: bool,
    fleet: FleetClient,
}

pub(crate) fn parser() -> CommandParser {
    let limit =
        long("limit").help("Maximum number of records").argument("COUNT").fallback(DEFAULT_LIMIT);
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
        let response = self.fleet.get(&format!("/declarations/audit?limit={}", self.limit))?;
        if self.json {
            print_json(&response);
            return Ok(Exit::Success);
        }
        let columns = ["revision", "base", "at", "operator", "order"];
        let mut table = Table::new(&["revision", "base", "at", "operator", "order", "changes"]);
        for record in list_items(&response, "audit") {
            let mut row: Vec<String> =
                columns.iter().map(|column| field_text(record, column)).collect();
            row.push(joined_texts(record, "changes"));
            table.push(row);
        }
        table.print();
        Ok(Exit::Success)
    }
}
