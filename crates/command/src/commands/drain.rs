//! `drain`: declares that upstreams get no new work.

use bpaf::{Parser, construct, long};
use declare::{Declarations, Order, Revision, Selector};

use crate::fleet::{self, Fleet};
use crate::{Command, Entry, Error, Exit};

const HELP: &str = "Declares that upstreams chosen by their labels get no new work; or ends that";
const EXAMPLES: &str = "Example: turmericrelay drain --select 'rack=7,role in (decode, prefill)'
Example: turmericrelay drain --select rack=7 --undo --json";

struct Drain {
    select: Selector,
    undo: bool,
    order: Option<Order>,
    json: bool,
    fleet: Fleet,
}

pub(crate) fn entry() -> Entry {
    let select = long("select").help("Labels of the upstreams").argument::<Selector>("SELECTOR");
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
        let page = self.fleet.get("/declarations")?;
        let base = Revision(page["revision"].as_u64().unwrap_or(0));
        let mut declarations = Declarations::try_from(page["declarations"].to_string())?;
        declarations.drains.retain(|selector| *selector != self.select);
        if !self.undo {
            declarations.drains.push(self.select.clone());
        }
        let body = declarations.checked()?.to_yaml()?;
        let order = fleet::announce_order(self.order.as_ref(), self.json)?;
        let answer =
            self.fleet.order(&format!("/declarations?base={base}&order={order}"), &body)?;
        fleet::print_answer(&answer, self.json);
        Ok(Exit::Done)
    }
}
