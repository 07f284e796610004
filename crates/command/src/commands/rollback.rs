//! `rollback`: creates a new revision with the content of an earlier revision.

use bpaf::{Parser, construct, long};
use declare::{Order, Revision};

use crate::fleet::{self, FleetClient};
use crate::{Command, CommandParser, Error, Exit};

const HELP: &str = "Creates a new revision with the content of an earlier one; safe to resend";
const EXAMPLES: &str = "Example: turmericrelay rollback --to 40 --token-file token
Example: turmericrelay rollback --to 40 --base 41 --json";

struct Rollback {
    to: Revision,
    base: Option<Revision>,
    order: Option<Order>,
    json: bool,
    fleet: FleetClient,
}

pub(crate) fn parser() -> CommandParser {
    let to = long("to").help("Revision whose content is restored").argument::<Revision>("REV");
    let base = long("base")
        .help("Revision that must be the newest; the one in force if not given")
        .argument::<Revision>("REV")
        .optional();
    let order = fleet::order_flag();
    let json = fleet::json_flag();
    let fleet = fleet::flags();
    construct!(Rollback { to, base, order, json, fleet })
        .map(|rollback| -> Box<dyn Command> { Box::new(rollback) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("rollback")
        .help(HELP)
        .boxed()
}

impl Command for Rollback {
    fn run(&self) -> Result<Exit, Error> {
        let order = fleet::resolve_order(self.order.as_ref(), self.json)?;
        let base = match self.base {
            Some(base) => base,
            None => self.fleet.current_revision()?,
        };
        let path = format!("/declarations/rollback?to={}&base={base}&order={order}", self.to);
        let response = self.fleet.send_order(&path, "")?;
        fleet::print_revision(&response, self.json);
        Ok(Exit::Success)
    }
}
