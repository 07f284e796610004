//! A randomised soak of the whole path on the users' platform: real processes behind proxies, with
//! faults from outside that come in series and overlap, and the promises checked from what callers,
//! upstreams and operators see.
//!
//! CI runs the seeds that once failed, and one more. By hand, also with fresh seeds:
//! `SOAK_SEEDS=1..51 SOAK_SECONDS=20 cargo test --test soak -- --nocapture`
//! `SOAK_SEEDS=fresh SOAK_COUNT=10 cargo test --test soak -- --nocapture`

#![allow(clippy::unwrap_used, clippy::panic)]

mod callers;
mod injector;
mod operators;
mod stage;
#[path = "../support/mod.rs"]
mod support;
mod verdicts;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use callers::Callers;
use injector::Injector;
use operators::Operators;
use stage::Stage;
use verdicts::Verdicts;

/// Seeds that failed once, each with its cause.
const REGRESSIONS: [(u64, &str); 1] =
    [(19, "a stop told before signals were handled ended the process by the signal")];

/// The seed that CI runs beside them.
const CI_SEED: u64 = 1;

const DEFAULT_SECONDS: u64 = 10;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().unwrap())
}

fn seeds() -> Vec<u64> {
    match std::env::var("SOAK_SEEDS").ok().as_deref() {
        None => REGRESSIONS.iter().map(|(seed, _)| *seed).chain([CI_SEED]).collect(),
        Some("fresh") => {
            let first = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs() * 1000;
            (first..first + number("SOAK_COUNT", 5)).collect()
        }
        Some(range) => {
            let (from, to) = range.split_once("..").unwrap();
            (from.parse().unwrap()..to.parse().unwrap()).collect()
        }
    }
}

fn run(seed: u64) {
    println!("seed {seed}");
    let duration = Duration::from_secs(number("SOAK_SECONDS", DEFAULT_SECONDS));
    let verdicts = Arc::new(Verdicts::default());
    let mut stage = Stage::start();
    let is_over = Arc::new(AtomicBool::new(false));
    let callers = Callers::start(&stage.entry_addresses(), seed, &is_over, &verdicts);
    let operators = Operators::start(&stage.control_addresses(), seed, &is_over, &verdicts);
    Injector::new(seed, &mut stage, &verdicts).run(duration);
    stage.check_recovery(&verdicts);
    is_over.store(true, Ordering::Relaxed);
    callers.join();
    let newest = operators.join();
    stage.check_documents(&newest, &verdicts);
    stage.check_runs(&verdicts);
    stage.check_drain(&verdicts);
    stage.check_planned_stop(&verdicts);
    let problems = verdicts.problems();
    println!("seed {seed}: {}", verdicts.summary());
    if !problems.is_empty() {
        let kept = stage.keep_logs();
        panic!("seed {seed}, logs in {}:\n{}", kept.display(), problems.join("\n"));
    }
}

#[test]
fn what_the_pages_promise_holds_while_faults_overlap() {
    for seed in seeds() {
        run(seed);
    }
}
