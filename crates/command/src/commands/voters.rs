//! `voters`: shows or changes which instances vote on the replicated log.

use bpaf::{Parser, construct, long};
use declare::Order;
use names::Instance;
use serde_json::{Value, json};

use crate::fleet::{self, FleetClient};
use crate::table::{Table, field_text, joined_texts, list_items, print_json};
use crate::{Command, CommandParser, Error, Exit};

const HELP: &str = "Shows or changes which instances vote on the replicated log";
const EXAMPLES: &str = "Example: turmericrelay voters
Example: turmericrelay voters --add giza-4 --remove giza-1
Example: turmericrelay voters --set giza-2,cairo-1,delta-1";

struct Voters {
    set: Option<String>,
    add: Vec<Instance>,
    remove: Vec<Instance>,
    order: Option<Order>,
    json: bool,
    fleet: FleetClient,
}

pub(crate) fn parser() -> CommandParser {
    let set = long("set")
        .help("Complete list of the voters, separated by commas")
        .argument::<String>("NAMES")
        .optional();
    let add = long("add").help("Instance that becomes a voter").argument::<Instance>("NAME").many();
    let remove = long("remove")
        .help("Instance that ceases to be a voter")
        .argument::<Instance>("NAME")
        .many();
    let order = fleet::order_flag();
    let json = fleet::json_flag();
    let fleet = fleet::flags();
    construct!(Voters { set, add, remove, order, json, fleet })
        .map(|voters| -> Box<dyn Command> { Box::new(voters) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("voters")
        .help(HELP)
        .boxed()
}

impl Voters {
    /// Returns the voters after the requested change of the current voters.
    fn target_voters(&self, current: &[String]) -> Vec<String> {
        let mut voters = match &self.set {
            Some(set) => set.split(',').map(|name| name.trim().to_string()).collect(),
            None => current.to_vec(),
        };
        voters.retain(|voter| !self.remove.iter().any(|removed| removed.as_str() == voter));
        voters.extend(self.add.iter().map(Instance::to_string));
        voters
    }

    fn is_change(&self) -> bool {
        self.set.is_some() || !self.add.is_empty() || !self.remove.is_empty()
    }

    fn show(&self, response: &Value) {
        if self.json {
            print_json(response);
            return;
        }
        println!("voters {}", joined_texts(response, "voters"));
        let mut table =
            Table::new(&["change", "at", "operator", "order", "from", "to", "progress"]);
        for change in list_items(response, "audit") {
            let mut row = vec![field_text(change, "number")];
            row.extend(["at", "operator", "order"].map(|column| field_text(change, column)));
            row.extend(["from", "to"].map(|column| joined_texts(change, column)));
            row.push(field_text(change, "progress"));
            table.push(row);
        }
        table.print();
    }
}

impl Command for Voters {
    fn run(&self) -> Result<Exit, Error> {
        let response = self.fleet.get("/state/voters")?;
        if !self.is_change() {
            self.show(&response);
            return Ok(Exit::Success);
        }
        let current: Vec<String> = list_items(&response, "voters")
            .iter()
            .filter_map(|name| name.as_str())
            .map(String::from)
            .collect();
        let body = json!({ "from": current, "to": self.target_voters(&current) });
        let order = fleet::resolve_order(self.order.as_ref(), self.json)?;
        let change =
            self.fleet.send_order(&format!("/state/voters?order={order}"), &body.to_string())?;
        if self.json {
            print_json(&change);
        } else {
            println!(
                "change {}: {} to {}",
                field_text(&change, "number"),
                joined_texts(&change, "from"),
                joined_texts(&change, "to")
            );
        }
        Ok(Exit::Success)
    }
}
