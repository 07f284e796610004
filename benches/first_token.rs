//! Measures the latency that an instance adds to the time to the first token under load.
//!
//! `cargo bench --bench first_token -- [rate=150] [seconds=60] [seed=1] [json=FILE]` starts one
//! instance and four stand-in engines on loopback, and calls the engines directly and through the
//! instance in the same run. docs/MEASURING.md explains the output.

#![allow(clippy::unwrap_used, missing_docs)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use measure::{Comparison, Difference};
use serde_json::{Value, json};
use support::{API_KEY, Fleet, Plan, get};

const ENGINE_COUNT: usize = 4;

/// Number of requests that an engine processes at once: far more than arrive, so that none waits.
const SLOTS_PER_ENGINE: u64 = 256;

/// Number of words in a response.
const WORDS_PER_RESPONSE: u32 = 8;

/// Number of threads that send requests: more than there are requests in flight.
const SENDER_THREADS: usize = 192;

const WARM_UP: Duration = Duration::from_secs(10);

/// Returns the value of the argument `name=value`.
fn argument(name: &str) -> Option<String> {
    let prefix = format!("{name}=");
    std::env::args().find_map(|argument| Some(argument.strip_prefix(&prefix)?.to_string()))
}

fn number_argument(name: &str, default: u64) -> u64 {
    argument(name).map_or(default, |text| text.parse().unwrap())
}

fn start_fleet() -> (Fleet, Vec<SocketAddr>) {
    let mut fleet = Fleet::start_plan(Plan::new(&["giza"]).with_voters(1));
    let slots = SLOTS_PER_ENGINE.to_string();
    let flags = ["--model", "caption-small", "--slots", &slots];
    let engines = (1..=ENGINE_COUNT)
        .map(|number| fleet.add_upstream(&format!("engine-{number}"), "giza", &flags))
        .collect();
    (fleet, engines)
}

/// Returns the greatest number of requests that each engine had at once.
fn peak_requests(engines: &[SocketAddr]) -> Vec<u64> {
    let peak = |engine: &SocketAddr| {
        let stats: Value = serde_json::from_str(&get(*engine, "/stats").unwrap()).unwrap();
        stats["peak"].as_u64().unwrap()
    };
    engines.iter().map(peak).collect()
}

/// Prints the outcome; returns false if the run is invalid because a call failed or had to wait.
fn print_outcome(difference: &Difference, peaks: &[u64]) -> bool {
    print!("{}", difference.table());
    println!("most requests at once by engine {peaks:?} of {SLOTS_PER_ENGINE} slots");
    let outcome = json!({ "difference": difference, "slots": SLOTS_PER_ENGINE, "peaks": peaks });
    println!("{outcome}");
    if let Some(file) = argument("json") {
        std::fs::write(file, format!("{outcome:#}\n")).unwrap();
    }
    difference.is_complete() && peaks.iter().all(|peak| *peak <= SLOTS_PER_ENGINE)
}

fn main() -> ExitCode {
    let (fleet, engines) = start_fleet();
    let comparison = Comparison {
        caller: fleet.instances[0].addresses.callers,
        stand_ins: engines.clone(),
        key: API_KEY.to_string(),
        service: "caption-small".to_string(),
        kind: "caption".to_string(),
        per_second: number_argument("rate", 150) as f64,
        warm_up: WARM_UP,
        duration: Duration::from_secs(number_argument("seconds", 60)),
        words: WORDS_PER_RESPONSE,
        threads: SENDER_THREADS,
        seed: number_argument("seed", 1),
    };
    let difference = comparison.run().unwrap();
    if print_outcome(&difference, &peak_requests(&engines)) {
        return ExitCode::SUCCESS;
    }
    eprintln!("the run is invalid: a response was incomplete or a call had to wait for a slot");
    ExitCode::FAILURE
}
