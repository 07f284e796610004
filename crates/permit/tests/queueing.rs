//! Requests that arrive at random times at a small fleet do not wait while slots are free.

#![allow(clippy::unwrap_used)]

mod simulation;

use std::time::Duration;

use simulation::Simulation;
use test_case::test_case;

/// Number of seeds for each load.
const SEEDS: u64 = 4;

/// Number of steps of 1 ms in each run.
const STEPS: usize = 20_000;

/// Number of steps between two changes of the registry.
const CHANGE_STEPS: usize = 700;

const INSTANCES: usize = 3;
const UPSTREAMS: usize = 5;
const SLOTS: u32 = 4;

/// Time that the aggregated load takes to follow a load that falls.
const LOAD_LAG: Duration = Duration::from_millis(100);

/// Maximum mean time in milliseconds that a request waits while a slot is free. Messages take 1 ms
/// each.
const MAX_IDLE_WAIT: f64 = 5.0;

/// Like [`MAX_IDLE_WAIT`] while one of five upstreams is avoided. Owners learn the load of the
/// others from a search, which takes ten messages for all five upstreams.
const MAX_IDLE_WAIT_ONE_AVOIDED: f64 = 10.0;

/// Like [`MAX_IDLE_WAIT`] while two of five upstreams are avoided.
const MAX_IDLE_WAIT_TWO_AVOIDED: f64 = 15.0;

#[test_case(10; "a third of the capacity")]
#[test_case(20; "60 percent of the capacity")]
#[test_case(30; "90 percent of the capacity")]
fn no_request_waits_long_while_a_slot_is_free(arrivals: u32) {
    assert_short_idle_wait(arrivals, STEPS, &[], MAX_IDLE_WAIT);
}

#[test]
fn no_request_waits_long_while_announcements_change() {
    assert_short_idle_wait(20, CHANGE_STEPS, &[], MAX_IDLE_WAIT);
}

#[test_case(&[0], 16, MAX_IDLE_WAIT_ONE_AVOIDED; "one of five")]
#[test_case(&[0, 1], 12, MAX_IDLE_WAIT_TWO_AVOIDED; "two of five")]
fn no_request_waits_long_while_upstreams_are_avoided(
    avoided: &[usize],
    arrivals: u32,
    max_wait: f64,
) {
    assert_short_idle_wait(arrivals, STEPS, avoided, max_wait);
}

/// Runs the load, with a registry change every `change_steps` steps, and asserts that the mean idle
/// wait stays below `max_wait` milliseconds.
fn assert_short_idle_wait(arrivals: u32, change_steps: usize, avoided: &[usize], max_wait: f64) {
    let (mut idle, mut answered, mut bytes, mut delays) = (0, 0, 0, Vec::new());
    for seed in 0..SEEDS {
        let mut simulation = Simulation::with_slots(INSTANCES, UPSTREAMS, 0, SLOTS, seed);
        simulation.arrivals = Some(arrivals);
        simulation.avoided = avoided.to_vec();
        simulation.load_lag = LOAD_LAG;
        for _ in 0..STEPS / change_steps {
            simulation.run(change_steps);
            simulation.refresh();
        }
        idle += simulation.idle_wait_steps;
        answered += simulation.answered;
        bytes += simulation.bytes;
        delays.append(&mut simulation.delays);
    }
    delays.sort_unstable();
    let idle = idle as f64 / answered as f64;
    let percentile = |percent: usize| delays[delays.len() * percent / 100];
    println!(
        "{arrivals}/s: {idle:.1} ms wait while a slot is free, time to permit p50 {} p95 {} \
         p99 {} ms, {} bytes per call",
        percentile(50),
        percentile(95),
        percentile(99),
        bytes / answered
    );
    assert!(idle < max_wait, "{idle} ms idle wait at {arrivals} requests per second");
}
