//! Benchmarks of claims, settlements, resends and snapshots in ledgers from empty to nearly full.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use divan::Bencher;
use ledger::{
    AttemptOutcome, Bounds, Claim, Command, Digest, Ledger, RequestIdentity, Settlement,
    StoredResponse, Time,
};
use names::Attempt;
use state::Machine;

fn main() {
    divan::main();
}

fn claim(number: u64) -> Claim {
    let account = format!("account-{}", number % 64).parse().unwrap();
    let key = Digest::of(&[&number.to_le_bytes()]);
    let identity = RequestIdentity { key, account, request: key };
    Claim {
        identity,
        fence: Attempt(number),
        now: Time(number * 5),
        timeout: Duration::from_secs(10),
    }
}

fn settlement(number: u64) -> Settlement {
    let Claim { identity, fence, now, .. } = claim(number);
    let answer = StoredResponse { status: 200, headers: Vec::new(), body: Some(vec![b'x'; 100]) };
    Settlement { key: identity.key, fence, now, attempt_outcome: AttemptOutcome::Answered(answer) }
}

fn filled_ledger(records: u64) -> Ledger {
    let bounds = Bounds::default();
    let mut ledger = Ledger::with_bounds(bounds);
    for number in 0..records {
        ledger.apply_command(Command::Claim(claim(number)));
        ledger.apply_command(Command::Settle(settlement(number)));
    }
    ledger
}

/// Applies one encoded claim and its encoded settlement as not run, which releases the key.
#[divan::bench(args = [0, 1_000, 60_000, 720_000])]
fn claim_settle(bencher: Bencher, records: u64) {
    let mut ledger = filled_ledger(records);
    let mut number = records;
    bencher.bench_local(|| {
        number += 1;
        let claim = Command::Claim(claim(number)).to_bytes();
        let mut settlement = settlement(number);
        settlement.attempt_outcome = AttemptOutcome::NotRun;
        let settle = Command::Settle(settlement).to_bytes();
        ledger.apply(state::Index(number), &claim);
        ledger.apply(state::Index(number), &settle)
    });
}

/// Applies one claim and its settlement with a response, which occasionally archives old records.
#[divan::bench(args = [720_000], sample_count = 20_000, sample_size = 1)]
fn claim_keep(bencher: Bencher, records: u64) {
    let mut ledger = filled_ledger(records);
    let mut number = records;
    bencher.bench_local(|| {
        number += 1;
        ledger.apply_command(Command::Claim(claim(number)));
        ledger.apply_command(Command::Settle(settlement(number)))
    });
}

/// Applies one resend, whose reply has the stored response, or only its status if the ledger has
/// so many keys that the response is archived.
#[divan::bench(args = [1_000, 60_000, 720_000])]
fn resend(bencher: Bencher, records: u64) {
    let mut ledger = filled_ledger(records);
    let command = Command::Claim(Claim { fence: Attempt(u64::MAX), ..claim(records / 2) });
    let command = command.to_bytes();
    bencher.bench_local(|| ledger.apply(state::Index(1), &command));
}

/// Takes a snapshot of the whole ledger.
#[divan::bench(args = [1_000, 60_000, 720_000])]
fn snapshot(bencher: Bencher, records: u64) {
    let ledger = filled_ledger(records);
    bencher.bench_local(|| ledger.snapshot_chunks());
}
