//! Measures the memory of a ledger at the planned rate of keys, with its snapshot, and after a
//! restart.
//!
//! `cargo run --release -p ledger --example memory`

use std::time::{Duration, Instant};

use ledger::{
    AttemptOutcome, Claim, Command, Digest, Ledger, RequestIdentity, Settlement, StoredResponse,
    Time,
};
use names::Attempt;
use state::{Chunks, Machine};

/// Number of keys claimed in one hour at 200 per second.
const KEYS: u64 = 720_000;

/// Milliseconds between two claims.
const INTERVAL_MS: u64 = 5;

/// Size of a response body in bytes.
const ANSWER_BYTES: usize = 300;

/// Number of claims between two snapshots.
const CLAIMS_PER_SNAPSHOT: u64 = 12_000;

/// Returns the value of a line of `/proc/self/status` in KiB, or 0 if it cannot be read.
fn status(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn report_memory(stage: &str, bytes: usize) {
    let (resident, peak) = (status("VmRSS"), status("VmHWM"));
    println!("{stage}: {bytes} bytes of snapshot, {resident} KiB resident, {peak} KiB peak");
}

fn print_times(operation: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let time_at =
        |permille: usize| times.get(times.len() * permille / 1000).copied().unwrap_or_default();
    let slowest = times.last().copied().unwrap_or_default();
    println!(
        "{operation}: median {:?}, p99.9 {:?}, slowest {slowest:?}",
        time_at(500),
        time_at(999)
    );
}

fn claim_and_settle(ledger: &mut Ledger, number: u64) {
    let Ok(account) = format!("account-{}", number % 5_700).parse() else {
        return;
    };
    let key = Digest::of(&[&number.to_le_bytes()]);
    let (fence, now) = (Attempt(number), Time(number * INTERVAL_MS));
    let identity = RequestIdentity { key, account, request: key };
    let claim = Claim { identity, fence, now, timeout: Duration::from_secs(10) };
    ledger.apply_command(Command::Claim(claim));
    let answer =
        StoredResponse { status: 200, headers: Vec::new(), body: Some(vec![b'x'; ANSWER_BYTES]) };
    let attempt_outcome = AttemptOutcome::Answered(answer);
    ledger.apply_command(Command::Settle(Settlement { key, fence, now, attempt_outcome }));
}

fn main() {
    report_memory("start", 0);
    let mut ledger = Ledger::default();
    let mut snapshot = Chunks::default();
    let mut snapshot_times = Vec::new();
    let mut claim_times = Vec::new();
    for number in 0..2 * KEYS {
        let before = Instant::now();
        claim_and_settle(&mut ledger, number);
        claim_times.push(before.elapsed());
        if number % CLAIMS_PER_SNAPSHOT == 0 {
            let before = Instant::now();
            snapshot = ledger.snapshot_chunks();
            snapshot_times.push(before.elapsed());
        }
    }
    println!("{} keys, {} of them with responses", ledger.len(), ledger.full_record_count());
    print_times("snapshot", snapshot_times);
    print_times("claim and settlement", claim_times);
    report_memory("after two hours", snapshot.len());
    let joined = snapshot.joined();
    drop((ledger, snapshot));
    let before = Instant::now();
    let restored = Ledger::from_snapshot(&joined);
    println!("restored in {:?}: {:?} keys", before.elapsed(), restored.as_ref().map(Ledger::len));
    report_memory("while restoring", joined.len());
    drop(joined);
    let shared = restored.as_ref().map(Ledger::snapshot_chunks);
    report_memory("after a restart", shared.map_or(0, |shared| shared.len()));
}
