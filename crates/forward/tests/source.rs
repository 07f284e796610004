//! Which engine a request names as the source of its context.

#![allow(clippy::unwrap_used)]

use forward::{Affinity, Candidate, Policy, Wish, source};

const KEY: u64 = 77;

fn engines() -> Vec<Candidate> {
    let engine = |number: usize| Candidate {
        upstream: format!("engine-{number}").parse().unwrap(),
        is_near: true,
        load: 0.0,
        slots: 16,
        backlog: 0.0,
        warmth: 1.0,
        is_behind: false,
        is_avoided: false,
    };
    (0..6).map(engine).collect()
}

/// The place that a request with the key goes to while all engines are idle.
fn first(engines: &[Candidate]) -> usize {
    Affinity::new(2.0, 1).choose(engines, Wish { key: Some(KEY), lot: 0 }).unwrap()
}

#[test]
fn a_request_that_goes_elsewhere_fetches_from_the_first_engine_of_its_context() {
    let engines = engines();
    let first = first(&engines);
    for place in (0..engines.len()).filter(|place| *place != first) {
        assert_eq!(source(&engines, place, KEY), Some(first));
    }
}

#[test]
fn the_first_engine_fetches_from_the_one_that_the_context_went_to_before_it_was_there() {
    let engines = engines();
    let first_now = first(&engines);
    let mut before = engines.clone();
    before.remove(first_now);
    let former = before[first(&before)].upstream.clone();
    let place = source(&engines, first_now, KEY).unwrap();
    assert_eq!(engines[place].upstream, former);
}

#[test]
fn an_engine_that_failed_lately_is_no_source() {
    let mut engines = engines();
    let first = first(&engines);
    engines[first].is_avoided = true;
    let other = (first + 1) % engines.len();
    assert_ne!(source(&engines, other, KEY), Some(first));
    engines.iter_mut().for_each(|engine| engine.is_avoided = true);
    assert_eq!(source(&engines, other, KEY), None);
}
