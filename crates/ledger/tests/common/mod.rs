//! Commands of a ledger under test.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use ledger::{Claim, Command, Ending, Key, Ledger, Reply, Settlement, Ticket, Time};
use names::Attempt;

pub const HOLD: Duration = Duration::from_secs(10);

pub fn ticket(account: &str, key: &str, body: &str) -> Ticket {
    let key = Key::try_from(key.to_string()).unwrap();
    let service = "shop".parse().unwrap();
    Ticket::new(&account.parse().unwrap(), &service, &key, &[body.as_bytes()])
}

pub fn claim(ledger: &mut Ledger, ticket: &Ticket, fence: u64, now: u64) -> Reply {
    let (ticket, fence, now) = (ticket.clone(), Attempt(fence), Time(now));
    ledger.take(Command::Claim(Claim { ticket, fence, now, hold: HOLD })).reply
}

pub fn settle(ledger: &mut Ledger, ticket: &Ticket, fence: u64, now: u64, ending: Ending) -> Reply {
    let (fence, now) = (Attempt(fence), Time(now));
    ledger.take(Command::Settle(Settlement { key: ticket.key, fence, now, ending })).reply
}
