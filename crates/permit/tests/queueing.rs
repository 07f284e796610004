//! Requests of a small fleet that callers reach at random times do not wait beside free slots.

#![allow(clippy::unwrap_used)]

mod world;

use std::time::Duration;

use test_case::test_case;
use world::World;

/// Seeds that each load runs.
const SEEDS: u64 = 4;

/// Model milliseconds of each run.
const STEPS: usize = 20_000;

/// Steps between two changes of the registry.
const CHANGE_STEPS: usize = 700;

const INSTANCES: usize = 3;
const UPSTREAMS: usize = 5;
const SLOTS: u32 = 4;

/// How long sums take to follow a load that falls.
const SUMS_LAG: Duration = Duration::from_millis(100);

/// Most milliseconds that a request waits beside a free slot, on average: messages take 1 ms each.
const MAX_IDLE_WAIT: f64 = 5.0;

/// The same while one of five upstreams is avoided: owners hear of it by a walk, which takes ten
/// messages around all five.
const MAX_IDLE_WAIT_OF_FOUR: f64 = 10.0;

/// The same while two of five upstreams are avoided.
const MAX_IDLE_WAIT_OF_THREE: f64 = 15.0;

#[test_case(10; "a third of the capacity")]
#[test_case(20; "60 percent of the capacity")]
#[test_case(30; "90 percent of the capacity")]
fn no_request_waits_long_beside_a_free_slot(arrivals: u32) {
    check(arrivals, STEPS, &[], MAX_IDLE_WAIT);
}

#[test]
fn no_request_waits_long_while_announcements_change() {
    check(20, CHANGE_STEPS, &[], MAX_IDLE_WAIT);
}

#[test_case(&[0], 16, MAX_IDLE_WAIT_OF_FOUR; "one of five")]
#[test_case(&[0, 1], 12, MAX_IDLE_WAIT_OF_THREE; "two of five")]
fn no_request_waits_long_while_upstreams_are_avoided(avoided: &[usize], arrivals: u32, most: f64) {
    check(arrivals, STEPS, avoided, most);
}

/// Runs the load; the registry changes each `change_steps`.
fn check(arrivals: u32, change_steps: usize, avoided: &[usize], most: f64) {
    let (mut idle, mut answered, mut bytes, mut delays) = (0, 0, 0, Vec::new());
    for seed in 0..SEEDS {
        let mut world = World::with_slots(INSTANCES, UPSTREAMS, 0, SLOTS, seed);
        world.arrivals = Some(arrivals);
        world.avoided = avoided.to_vec();
        world.sums_lag = SUMS_LAG;
        for _ in 0..STEPS / change_steps {
            world.run(change_steps);
            world.refresh();
        }
        idle += world.idle_waits;
        answered += world.answered;
        bytes += world.bytes;
        delays.append(&mut world.delays);
    }
    delays.sort_unstable();
    let idle = idle as f64 / answered as f64;
    let percentile = |percent: usize| delays[delays.len() * percent / 100];
    println!(
        "{arrivals}/s: {idle:.1} ms beside a free slot, until the permit p50 {} p95 {} p99 {} ms, \
         {} bytes a call",
        percentile(50),
        percentile(95),
        percentile(99),
        bytes / answered
    );
    assert!(idle < most, "{idle} ms at {arrivals} requests a second");
}
