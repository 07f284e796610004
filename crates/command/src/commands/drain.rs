//! `drain`: declares that selected upstreams are drained, or ends their drain.

use bpaf::{Parser, construct, long};
use declare::{Declarations, Order, Revision, Selector};

use crate::fleet::{self, FleetClient};
use crate::{Command, CommandParser, Error, Exit};

const HELP: &str = "Stops new work for upstreams selected by their labels, or ends the drain";
const EXAMPLES: &str = "Example: turmericrelay drain --select 'rack=7,role in (decode, prefill)'
Example: turmericrelay drain --select rack=7 --undo --json";

struct Drain {
    select: Selector,
    undo: bool,
    order: Option<Order>,
    json: bool,
    fleet: FleetClient,
}

pub(crate) fn parser() -> CommandParser {
    let select = long("select")
        .help("Selector of the upstreams by their labels")
        .argument::<Selector>("SELECTOR");
    let undo = long("undo").help("End the drain").switch();
    let order = fleet::order_flag();
    let json = fleet::json_flag();
    let fleet = fleet::flags();
    construct!(Drain { select, undo, order, json, fleet })
        .map(|drain| -> Box<dyn Command> { Box::new(drain) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("drain")
        .help(HELP)
        .boxed()
}

impl Command for Drain {
    fn run(&self) -> Result<Exit, Error> {
        let response = self.fleet.get("/declarations")?;
        let base = Revision(response["revision"].as_u64().unwrap_or(0));
        let mut declarations = Declarations::try_from(response["declarations"].to_string())?;
        declarations.drains.retain(|selector| *selector != self.select);
        if !self.undo {
            declarations.drains.push(self.select.clone());
        }
        let body = declarations.checked()?.to_yaml()?;
        let order = fleet::resolve_order(self.order.as_ref(), self.json)?;
        let response =
            self.fleet.send_order(&format!("/declarations?base={base}&order={order}"), &body)?;
        fleet::print_revision(&response, self.json);
        Ok(Exit::Success)
    }
}
