//! Upstreams that turn slow and say that they are sound.
//!
//! The load: engines of which some take four times as long for each event for six seconds. Found on
//! the users' bench: `srv_slow` days of nasr-sky-large.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use forward::Paces;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const ENGINES: u32 = 20;

/// Between two events of an engine in order, in microseconds.
const USUAL: f64 = 38_000.0;

/// Between two observations of one engine.
const PERIOD: Duration = Duration::from_millis(300);

fn pace(random: &mut Pcg64Mcg, factor: f64) -> u32 {
    (USUAL * factor * random.random_range(0.7..1.4)) as u32
}

/// Observes all engines for `span`; those below `slow` take `factor` times as long.
fn play(
    paces: &mut Paces,
    random: &mut Pcg64Mcg,
    begin: Instant,
    span: Duration,
    (slow, factor): (u32, f64),
) -> Instant {
    let mut now = begin;
    while now < begin + span {
        now += PERIOD;
        for engine in 0..ENGINES {
            let factor = if engine < slow { factor } else { 1.0 };
            paces.observe(now, engine, pace(random, factor));
        }
    }
    now
}

fn slowness(paces: &Paces, now: Instant, engine: u32) -> f64 {
    paces.slowness(now, engine, 0..ENGINES)
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_slow_engine_is_known_within_two_seconds_and_is_sound_again_soon_after(seed: u64) {
    let (mut paces, mut random) = (Paces::default(), Pcg64Mcg::seed_from_u64(seed));
    let begin = Instant::now();
    let calm = play(&mut paces, &mut random, begin, Duration::from_secs(5), (0, 1.0));
    assert!((0..ENGINES).all(|engine| slowness(&paces, calm, engine) == 1.0));
    let slow = play(&mut paces, &mut random, calm, Duration::from_secs(2), (3, 4.4));
    assert!((0..3).all(|engine| slowness(&paces, slow, engine) > 2.0));
    assert!((3..ENGINES).all(|engine| slowness(&paces, slow, engine) == 1.0));
    let after = play(&mut paces, &mut random, slow, Duration::from_secs(3), (0, 1.0));
    assert!((0..ENGINES).all(|engine| slowness(&paces, after, engine) == 1.0));
}

#[test]
fn where_most_are_slow_none_is() {
    let (mut paces, mut random) = (Paces::default(), Pcg64Mcg::seed_from_u64(4));
    let begin = Instant::now();
    let calm = play(&mut paces, &mut random, begin, Duration::from_secs(5), (0, 1.0));
    let slow = play(&mut paces, &mut random, calm, Duration::from_secs(4), (14, 5.0));
    assert!((0..ENGINES).all(|engine| slowness(&paces, slow, engine) == 1.0));
}

#[test]
fn an_engine_that_nobody_observes_is_tried_again() {
    let (mut paces, mut random) = (Paces::default(), Pcg64Mcg::seed_from_u64(5));
    let slow = play(&mut paces, &mut random, Instant::now(), Duration::from_secs(3), (1, 4.0));
    assert!(slowness(&paces, slow, 0) > 2.0);
    let later = slow + Duration::from_secs(5);
    (1..ENGINES).for_each(|engine| paces.hear(later, engine, USUAL as u32));
    assert_eq!(slowness(&paces, later, 0), 1.0);
    paces.forget(later);
    assert_eq!(paces.of(later, 0), None);
}

#[test]
fn one_slow_answer_and_few_kin_say_nothing() {
    let (mut paces, now) = (Paces::default(), Instant::now());
    paces.observe(now, 0, 500_000);
    (1..ENGINES).for_each(|engine| paces.hear(now, engine, USUAL as u32));
    assert_eq!(slowness(&paces, now, 0), 1.0, "a single observation");
    paces.observe(now, 0, 500_000);
    paces.observe(now, 0, 500_000);
    assert_eq!(slowness(&paces, now, 0), 4.0);
    assert_eq!(paces.slowness(now, 0, 0..4), 1.0, "three others are too few");
}
