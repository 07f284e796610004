//! Cost of a claim and its settlement in a ledger that is empty, or nearly full.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use divan::Bencher;
use ledger::{Answer, Bounds, Claim, Command, Digest, Ending, Ledger, Settlement, Ticket, Time};
use names::Attempt;
use state::Machine;

fn main() {
    divan::main();
}

fn claim(number: u64) -> Claim {
    let account = format!("account-{}", number % 64).parse().unwrap();
    let key = Digest::of(&[&number.to_le_bytes()]);
    let ticket = Ticket { key, account, body: key };
    Claim { ticket, fence: Attempt(number), now: Time(number * 5), hold: Duration::from_secs(10) }
}

fn settlement(number: u64) -> Settlement {
    let Claim { ticket, fence, now, .. } = claim(number);
    let answer = Answer { status: 200, headers: Vec::new(), body: Some(vec![b'x'; 100]) };
    Settlement { key: ticket.key, fence, now, ending: Ending::Answered(answer) }
}

fn filled(records: u64) -> Ledger {
    let bounds = Bounds::default();
    let mut ledger = Ledger::with_bounds(bounds);
    for number in 0..records {
        ledger.take(Command::Claim(claim(number)));
        ledger.take(Command::Settle(settlement(number)));
    }
    ledger
}

/// One claim, its settlement as answered, and its release again, from commands as bytes.
#[divan::bench(args = [0, 1_000, 60_000, 720_000])]
fn claim_settle(bencher: Bencher, records: u64) {
    let mut ledger = filled(records);
    let mut number = records;
    bencher.bench_local(|| {
        number += 1;
        let claim = Command::Claim(claim(number)).to_bytes();
        let mut settlement = settlement(number);
        settlement.ending = Ending::NotRun;
        let settle = Command::Settle(settlement).to_bytes();
        ledger.apply(state::Index(number), &claim);
        ledger.apply(state::Index(number), &settle)
    });
}

/// One claim and its settlement as answered, which archives old records now and then.
#[divan::bench(args = [720_000], sample_count = 20_000, sample_size = 1)]
fn claim_keep(bencher: Bencher, records: u64) {
    let mut ledger = filled(records);
    let mut number = records;
    bencher.bench_local(|| {
        number += 1;
        ledger.take(Command::Claim(claim(number)));
        ledger.take(Command::Settle(settlement(number)))
    });
}

/// A resend that finds the answer, or its status in a ledger with many keys.
#[divan::bench(args = [1_000, 60_000, 720_000])]
fn resend(bencher: Bencher, records: u64) {
    let mut ledger = filled(records);
    let command = Command::Claim(Claim { fence: Attempt(u64::MAX), ..claim(records / 2) });
    let command = command.to_bytes();
    bencher.bench_local(|| ledger.apply(state::Index(1), &command));
}

/// A snapshot of the whole ledger.
#[divan::bench(args = [1_000, 60_000, 720_000])]
fn snapshot(bencher: Bencher, records: u64) {
    let ledger = filled(records);
    bencher.bench_local(|| ledger.snapshot_chunks());
}
