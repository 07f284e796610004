//! Randomised soak test of a fleet on the users' platform: real processes behind proxies, with
//! overlapping faults injected from outside. The guarantees are checked from what callers,
//! upstreams and operators observe.
//!
//! CI runs the regression seeds and one more. To run further seeds by hand:
//! `SOAK_SEEDS=1..51 SOAK_SECONDS=20 cargo test --test soak -- --nocapture`
//! `SOAK_SEEDS=fresh SOAK_COUNT=10 cargo test --test soak -- --nocapture`

#![allow(clippy::unwrap_used, clippy::panic)]

mod callers;
mod fleet;
mod injector;
mod operators;
mod recorder;
#[path = "../support/mod.rs"]
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fleet::TestFleet;
use injector::Injector;
use operators::Operators;
use recorder::Recorder;

/// Seeds that failed in the past, each with the cause of its failure.
const REGRESSION_SEEDS: [(u64, &str); 1] = [(
    19,
    "SIGTERM before the signal handlers were installed ended the process without a shutdown",
)];

/// The seed that CI runs in addition to the regression seeds.
const CI_SEED: u64 = 1;

/// Duration of fault injection per seed, unless `SOAK_SECONDS` is set.
const DEFAULT_SECONDS: u64 = 10;

/// Returns the value of an environment variable, or `default` if it is not set.
fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().unwrap())
}

/// Returns the seeds that `SOAK_SEEDS` selects: a range, or with `fresh` as many new seeds as
/// `SOAK_COUNT` says.
fn seeds() -> Vec<u64> {
    match std::env::var("SOAK_SEEDS").ok().as_deref() {
        None => REGRESSION_SEEDS.iter().map(|(seed, _)| *seed).chain([CI_SEED]).collect(),
        Some("fresh") => {
            let first = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs() * 1000;
            (first..first + env_number("SOAK_COUNT", 5)).collect()
        }
        Some(range) => {
            let (from, to) = range.split_once("..").unwrap();
            (from.parse().unwrap()..to.parse().unwrap()).collect()
        }
    }
}

fn run_seed(seed: u64) {
    println!("seed {seed}");
    let duration = Duration::from_secs(env_number("SOAK_SECONDS", DEFAULT_SECONDS));
    let recorder = Arc::new(Recorder::default());
    let mut fleet = TestFleet::start();
    let is_stopped = Arc::new(AtomicBool::new(false));
    let callers = callers::start(&fleet.entry_addresses(), seed, &is_stopped, &recorder);
    let operators = Operators::start(&fleet.control_addresses(), seed, &is_stopped, &recorder);
    Injector::new(seed, &mut fleet, &recorder).run(duration);
    fleet.check_recovery(&recorder);
    is_stopped.store(true, Ordering::Relaxed);
    callers.join();
    let numbers = operators.join();
    fleet.check_documents(&numbers, &recorder);
    fleet.check_executed_requests(&recorder);
    fleet.check_drain(&recorder);
    fleet.check_graceful_shutdown(&recorder);
    let violations = recorder.violations();
    println!("seed {seed}: {}", recorder.summary());
    if !violations.is_empty() {
        let log_folder = fleet.copy_logs();
        panic!(
            "seed {seed} violated guarantees; logs are in {}:\n{}",
            log_folder.display(),
            violations.join("\n")
        );
    }
}

#[test]
fn overlapping_faults_break_no_guarantee() {
    for seed in seeds() {
        run_seed(seed);
    }
}
