//! `voters`: shows or changes which instances vote on the replicated log.

use bpaf::{Parser, construct, long};
use declare::Order;
use names::Instance;
use serde_json::{Value, json};

use crate::fleet::{self, Fleet};
use crate::table::{Table, cell, items, list, print_json};
use crate::{Command, Entry, Error, Exit};

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
    fleet: Fleet,
}

pub(crate) fn entry() -> Entry {
    let set = long("set").help("All voters, with commas").argument::<String>("NAMES").optional();
    let add = long("add").help("Another voter").argument::<Instance>("NAME").many();
    let remove = long("remove").help("A voter less").argument::<Instance>("NAME").many();
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
    /// The voters asked for, out of those that are.
    fn changed(&self, present: &[String]) -> Vec<String> {
        let mut voters = match &self.set {
            Some(set) => set.split(',').map(|name| name.trim().to_string()).collect(),
            None => present.to_vec(),
        };
        voters.retain(|voter| !self.remove.iter().any(|removed| removed.as_str() == voter));
        voters.extend(self.add.iter().map(Instance::to_string));
        voters
    }

    fn is_change(&self) -> bool {
        self.set.is_some() || !self.add.is_empty() || !self.remove.is_empty()
    }

    fn show(&self, page: &Value) {
        if self.json {
            print_json(page);
            return;
        }
        println!("voters {}", list(page, "voters"));
        let mut table =
            Table::new(&["change", "at", "operator", "order", "from", "to", "progress"]);
        for change in items(page, "audit") {
            let mut row = vec![cell(change, "number")];
            row.extend(["at", "operator", "order"].map(|column| cell(change, column)));
            row.extend(["from", "to"].map(|column| list(change, column)));
            row.push(cell(change, "progress"));
            table.push(row);
        }
        table.print();
    }
}

impl Command for Voters {
    fn run(&self) -> Result<Exit, Error> {
        let page = self.fleet.get("/state/voters")?;
        if !self.is_change() {
            self.show(&page);
            return Ok(Exit::Done);
        }
        let present: Vec<String> = items(&page, "voters")
            .iter()
            .filter_map(|name| name.as_str())
            .map(String::from)
            .collect();
        let body = json!({ "from": present, "to": self.changed(&present) });
        let order = fleet::announce_order(self.order.as_ref(), self.json)?;
        let change =
            self.fleet.order(&format!("/state/voters?order={order}"), &body.to_string())?;
        if self.json {
            print_json(&change);
        } else {
            println!(
                "change {}: {} to {}",
                cell(&change, "number"),
                list(&change, "from"),
                list(&change, "to")
            );
        }
        Ok(Exit::Done)
    }
}
