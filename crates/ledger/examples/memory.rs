//! Memory of a ledger at the planned rate of keys, with its snapshot, and after a restart.
//!
//! `cargo run --release -p ledger --example memory`

use std::time::{Duration, Instant};

use ledger::{Answer, Claim, Command, Digest, Ending, Ledger, Settlement, Ticket, Time};
use names::Attempt;
use state::{Chunks, Machine};

/// Keys of one hour at 200 a second.
const KEYS: u64 = 720_000;

/// Milliseconds between two keys.
const INTERVAL: u64 = 5;

/// Bytes of an answer.
const ANSWER_BYTES: usize = 300;

/// Keys between two snapshots.
const SNAPSHOT_KEYS: u64 = 12_000;

/// A line of this process's status in the proc file system, in KiB.
fn status(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn report(what: &str, bytes: usize) {
    let (now, most) = (status("VmRSS"), status("VmHWM"));
    println!("{what}: {bytes} bytes of snapshot, {now} KiB resident, {most} KiB at most");
}

fn print_times(what: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let at = |share: usize| times.get(times.len() * share / 1000).copied().unwrap_or_default();
    let most = times.last().copied().unwrap_or_default();
    println!("{what}: median {:?}, 99.9 % within {:?}, slowest {most:?}", at(500), at(999));
}

fn book(ledger: &mut Ledger, number: u64) {
    let Ok(account) = format!("account-{}", number % 5_700).parse() else {
        return;
    };
    let key = Digest::of(&[&number.to_le_bytes()]);
    let (fence, now) = (Attempt(number), Time(number * INTERVAL));
    let ticket = Ticket { key, account, body: key };
    let claim = Claim { ticket, fence, now, hold: Duration::from_secs(10) };
    ledger.take(Command::Claim(claim));
    let answer = Answer { status: 200, headers: Vec::new(), body: Some(vec![b'x'; ANSWER_BYTES]) };
    let ending = Ending::Answered(answer);
    ledger.take(Command::Settle(Settlement { key, fence, now, ending }));
}

fn main() {
    report("start", 0);
    let mut ledger = Ledger::default();
    let mut snapshot = Chunks::default();
    let mut snapshots = Vec::new();
    let mut bookings = Vec::new();
    for number in 0..2 * KEYS {
        let before = Instant::now();
        book(&mut ledger, number);
        bookings.push(before.elapsed());
        if number % SNAPSHOT_KEYS == 0 {
            let before = Instant::now();
            snapshot = ledger.snapshot_chunks();
            snapshots.push(before.elapsed());
        }
    }
    println!("{} keys, {} of them with answers", ledger.len(), ledger.whole());
    print_times("snapshot", snapshots);
    print_times("claim and settlement", bookings);
    report("after two hours", snapshot.len());
    let joined = snapshot.joined();
    drop((ledger, snapshot));
    let before = Instant::now();
    let restored = Ledger::from_snapshot(&joined);
    println!("restored in {:?}: {:?} keys", before.elapsed(), restored.as_ref().map(Ledger::len));
    report("while restoring", joined.len());
    drop(joined);
    let shared = restored.as_ref().map(Ledger::snapshot_chunks);
    report("after a restart", shared.map_or(0, |shared| shared.len()));
}
