//! `rollback`: brings the content of an earlier revision back as a new one.

use bpaf::{Parser, construct, long};
use declare::{Order, Revision};

use crate::fleet::{self, Fleet};
use crate::{Command, Entry, Error, Exit};

const HELP: &str = "Makes a new revision with the content of an earlier one; safe to resend";
const EXAMPLES: &str = "Example: turmericrelay rollback --to 40 --token-file token
Example: turmericrelay rollback --to 40 --base 41 --json";

struct Rollback {
    to: Revision,
    base: Option<Revision>,
    order: Option<Order>,
    json: bool,
    fleet: Fleet,
}

pub(crate) fn entry() -> Entry {
    let to = long("to").help("Revision whose content comes back").argument::<Revision>("REV");
    let base = long("base")
        .help("Revision that must be the newest; the one in force when not given")
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
        let order = fleet::announce_order(self.order.as_ref(), self.json)?;
        let base = match self.base {
            Some(base) => base,
            None => self.fleet.revision()?,
        };
        let path = format!("/declarations/rollback?to={}&base={base}&order={order}", self.to);
        let answer = self.fleet.order(&path, "")?;
        fleet::print_answer(&answer, self.json);
        Ok(Exit::Done)
    }
}
