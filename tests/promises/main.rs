//! Randomised test of the promise that refusals make: a request that may run once at most and is
//! answered 408, 421, 429 or 503 has not run and never will. Real processes on loopback without
//! proxies; upstreams note each run, and the runs are compared with the statuses that callers got.
//!
//! CI runs one seed. To run further seeds by hand:
//! `PROMISES_SEEDS=1..11 PROMISES_SECONDS=20 cargo test --test promises -- --nocapture`
//! `TURMERICRELAY_PROGRAM` names another build of the program to run them against.

#![allow(clippy::unwrap_used, clippy::panic)]

mod callers;
mod fleet;
mod injector;
mod ledger;
#[path = "../support/mod.rs"]
mod support;
mod upstream;

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fleet::TestFleet;
use injector::Injector;
use ledger::Ledger;

/// Duration of the traffic per seed, unless `PROMISES_SECONDS` is set.
const DEFAULT_SECONDS: u64 = 15;

/// Smallest number of promises per minute of traffic with which a run judges the rule.
const MIN_PROMISES_PER_MINUTE: u64 = 300;

/// Time after the traffic within which each run that was accepted has begun.
const LAST_RUNS: Duration = Duration::from_millis(2500);

/// Time for which the busy threads of other programs compute, and for which they rest.
const BUSY_PERIOD: Duration = Duration::from_millis(500);

fn seeds() -> Range<u64> {
    let Ok(range) = std::env::var("PROMISES_SEEDS") else {
        return 1..2;
    };
    let (from, to) = range.split_once("..").unwrap();
    from.parse().unwrap()..to.parse().unwrap()
}

fn seconds() -> u64 {
    std::env::var("PROMISES_SECONDS").map_or(DEFAULT_SECONDS, |text| text.parse().unwrap())
}

/// Keeps half of the cores busy, with pauses, as other programs on the machine do.
fn start_busy_threads(is_stopped: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let cores = std::thread::available_parallelism().unwrap().get();
    let start = |_| {
        let is_stopped = is_stopped.clone();
        std::thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                let until = Instant::now() + BUSY_PERIOD;
                while Instant::now() < until {
                    std::hint::spin_loop();
                }
                std::thread::sleep(BUSY_PERIOD);
            }
        })
    };
    (0..cores / 2).map(start).collect()
}

fn run_seed(seed: u64) {
    let seconds = seconds();
    let ledger = Arc::new(Ledger::new());
    let mut fleet = TestFleet::start(seed, &ledger);
    let is_stopped = Arc::new(AtomicBool::new(false));
    let busy_threads = start_busy_threads(&is_stopped);
    let callers = callers::start(&fleet.entry_addresses(), seed, &is_stopped, &ledger);
    Injector::new(seed, &mut fleet).run(Duration::from_secs(seconds));
    is_stopped.store(true, Ordering::Relaxed);
    callers.join();
    busy_threads.into_iter().for_each(|thread| thread.join().unwrap());
    std::thread::sleep(LAST_RUNS);
    let logs = fleet.entry_logs();
    let judgement = ledger.judge(&logs);
    println!("seed {seed}, {seconds} s: {}", judgement.summary);
    if !judgement.violations.is_empty() {
        let folder = fleet.copy_logs(seed);
        panic!(
            "seed {seed} broke {} promises; logs are in {}:\n{}",
            judgement.violations.len(),
            folder.display(),
            judgement.violations.join("\n")
        );
    }
    let per_minute = judgement.promises * 60 / seconds;
    assert!(per_minute >= MIN_PROMISES_PER_MINUTE, "only {per_minute} promises per minute");
}

#[test]
fn no_refused_request_runs() {
    let mut broken_seeds = Vec::new();
    for seed in seeds() {
        if std::panic::catch_unwind(|| run_seed(seed)).is_err() {
            broken_seeds.push(seed);
        }
    }
    assert!(broken_seeds.is_empty(), "failed seeds: {broken_seeds:?}");
}
