//! Measures what one instance adds to the time to the first token under load.
//!
//! `cargo bench --bench first_token -- [rate=150] [seconds=60] [seed=1] [json=FILE]` starts one
//! instance and four stand-in engines on loopback, and calls the engines directly and through the
//! instance in the same run. docs/MEASURING.md says how to read what it prints.

#![allow(clippy::unwrap_used, missing_docs)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use measure::{Comparison, Difference};
use serde_json::{Value, json};
use support::{API_KEY, Fleet, Plan, get};

const ENGINES: usize = 4;

/// Requests that an engine works on at once: far more than arrive, so that none waits.
const SLOTS: u64 = 256;

/// Words of an answer.
const WORDS: u32 = 8;

/// Threads that send, more than requests are under way.
const THREADS: usize = 192;

const WARM_UP: Duration = Duration::from_secs(10);

/// The value of the argument `name=value`.
fn argument(name: &str) -> Option<String> {
    let prefix = format!("{name}=");
    std::env::args().find_map(|argument| Some(argument.strip_prefix(&prefix)?.to_string()))
}

fn number(name: &str, fallback: u64) -> u64 {
    argument(name).map_or(fallback, |text| text.parse().unwrap())
}

fn start() -> (Fleet, Vec<SocketAddr>) {
    let mut fleet = Fleet::start_plan(Plan::new(&["giza"]).with_voters(1));
    let slots = SLOTS.to_string();
    let flags = ["--model", "caption-small", "--slots", &slots];
    let engines = (1..=ENGINES)
        .map(|number| fleet.add_upstream(&format!("engine-{number}"), "giza", &flags))
        .collect();
    (fleet, engines)
}

/// The most requests that each engine had at once.
fn peaks(engines: &[SocketAddr]) -> Vec<u64> {
    let peak = |engine: &SocketAddr| {
        let stats: Value = serde_json::from_str(&get(*engine, "/stats").unwrap()).unwrap();
        stats["peak"].as_u64().unwrap()
    };
    engines.iter().map(peak).collect()
}

/// Prints the outcome; false when it does not count, as something failed or waited.
fn report(difference: &Difference, peaks: &[u64]) -> bool {
    print!("{}", difference.table());
    println!("most requests at an engine at once {peaks:?} of {SLOTS} slots");
    let outcome = json!({ "difference": difference, "slots": SLOTS, "peaks": peaks });
    println!("{outcome}");
    if let Some(file) = argument("json") {
        std::fs::write(file, format!("{outcome:#}\n")).unwrap();
    }
    difference.is_whole() && peaks.iter().all(|peak| *peak <= SLOTS)
}

fn main() -> ExitCode {
    let (fleet, engines) = start();
    let comparison = Comparison {
        caller: fleet.instances[0].addresses.callers,
        stand_ins: engines.clone(),
        key: API_KEY.to_string(),
        service: "caption-small".to_string(),
        kind: "caption".to_string(),
        per_second: number("rate", 150) as f64,
        warm_up: WARM_UP,
        duration: Duration::from_secs(number("seconds", 60)),
        words: WORDS,
        threads: THREADS,
        seed: number("seed", 1),
    };
    let difference = comparison.run().unwrap();
    if report(&difference, &peaks(&engines)) {
        return ExitCode::SUCCESS;
    }
    eprintln!("the run does not count: a call was not answered whole or had to wait for a slot");
    ExitCode::FAILURE
}
