//! Engines that become slow while they report that they are healthy are not detected.
//!
//! Some of the engines take four times as long for each event, for six seconds, as on the
//! `srv_slow` days of the scenario nasr-sky-large.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use forward::Latencies;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const ENGINES: u32 = 20;

/// Microseconds between two events of a healthy engine.
const USUAL_MICROS: f64 = 38_000.0;

/// Time between two observations of one engine.
const OBSERVATION_PERIOD: Duration = Duration::from_millis(300);

fn latency(random: &mut Pcg64Mcg, factor: f64) -> u32 {
    (USUAL_MICROS * factor * random.random_range(0.7..1.4)) as u32
}

/// Observes all engines for `span`. Engines with a number below `slow` take `factor` times as long.
/// Returns the time of the last observation.
fn observe(
    latencies: &mut Latencies,
    random: &mut Pcg64Mcg,
    begin: Instant,
    span: Duration,
    (slow, factor): (u32, f64),
) -> Instant {
    let mut now = begin;
    while now < begin + span {
        now += OBSERVATION_PERIOD;
        for engine in 0..ENGINES {
            let factor = if engine < slow { factor } else { 1.0 };
            latencies.observe(now, engine, latency(random, factor));
        }
    }
    now
}

fn slowness(latencies: &Latencies, now: Instant, engine: u32) -> f64 {
    latencies.slowness(now, engine, 0..ENGINES)
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_slow_engine_is_detected_within_two_seconds_and_recovers_soon_after(seed: u64) {
    let (mut latencies, mut random) = (Latencies::default(), Pcg64Mcg::seed_from_u64(seed));
    let begin = Instant::now();
    let healthy = observe(&mut latencies, &mut random, begin, Duration::from_secs(5), (0, 1.0));
    assert!((0..ENGINES).all(|engine| slowness(&latencies, healthy, engine) == 1.0));
    let slow = observe(&mut latencies, &mut random, healthy, Duration::from_secs(2), (3, 4.4));
    assert!((0..3).all(|engine| slowness(&latencies, slow, engine) > 2.0));
    assert!((3..ENGINES).all(|engine| slowness(&latencies, slow, engine) == 1.0));
    let after = observe(&mut latencies, &mut random, slow, Duration::from_secs(3), (0, 1.0));
    assert!((0..ENGINES).all(|engine| slowness(&latencies, after, engine) == 1.0));
}

#[test]
fn no_engine_counts_as_slow_if_most_are_slow() {
    let (mut latencies, mut random) = (Latencies::default(), Pcg64Mcg::seed_from_u64(4));
    let begin = Instant::now();
    let healthy = observe(&mut latencies, &mut random, begin, Duration::from_secs(5), (0, 1.0));
    let slow = observe(&mut latencies, &mut random, healthy, Duration::from_secs(4), (14, 5.0));
    assert!((0..ENGINES).all(|engine| slowness(&latencies, slow, engine) == 1.0));
}

#[test]
fn an_engine_without_recent_observations_is_used_again() {
    let (mut latencies, mut random) = (Latencies::default(), Pcg64Mcg::seed_from_u64(5));
    let slow =
        observe(&mut latencies, &mut random, Instant::now(), Duration::from_secs(3), (1, 4.0));
    assert!(slowness(&latencies, slow, 0) > 2.0);
    let later = slow + Duration::from_secs(5);
    (1..ENGINES).for_each(|engine| latencies.set_mean(later, engine, USUAL_MICROS as u32));
    assert_eq!(slowness(&latencies, later, 0), 1.0);
    latencies.expire(later);
    assert_eq!(latencies.mean_micros(later, 0), None);
}

#[test]
fn one_slow_response_or_few_peers_are_not_enough() {
    let (mut latencies, now) = (Latencies::default(), Instant::now());
    latencies.observe(now, 0, 500_000);
    (1..ENGINES).for_each(|engine| latencies.set_mean(now, engine, USUAL_MICROS as u32));
    assert_eq!(slowness(&latencies, now, 0), 1.0, "a single observation");
    latencies.observe(now, 0, 500_000);
    latencies.observe(now, 0, 500_000);
    assert_eq!(slowness(&latencies, now, 0), 4.0);
    assert_eq!(latencies.slowness(now, 0, 0..4), 1.0, "three peers are too few");
}
