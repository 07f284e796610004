//! Which engine a request names as the source of its context.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use forward::{Affinity, Candidate, Holders, Policy, Source, Wish, source};
use names::Upstream;

const KEY: u64 = 77;
const ENGINES: usize = 6;

fn upstream(number: usize) -> Upstream {
    format!("engine-{number}").parse().unwrap()
}

fn engines() -> Vec<Source> {
    let engine = |number: usize| Source {
        upstream: upstream(number),
        short: number as u32,
        is_usable: true,
        is_new: false,
    };
    (0..ENGINES).map(engine).collect()
}

/// The place that a request with the key goes to while all of these engines are idle.
fn first(engines: &[Source]) -> usize {
    let candidate = |engine: &Source| Candidate {
        upstream: engine.upstream.clone(),
        is_near: true,
        load: 0.0,
        slots: 16,
        backlog: 0.0,
        warmth: 1.0,
        is_behind: false,
        is_avoided: false,
    };
    let candidates: Vec<Candidate> = engines.iter().map(candidate).collect();
    Affinity::new(2.0, 1).choose(&candidates, Wish { key: Some(KEY), lot: 0 }).unwrap()
}

fn choose(engines: &[Source], chosen: usize, holders: &Holders) -> Option<usize> {
    source(engines, &engines[chosen].upstream, KEY, holders, Instant::now())
}

#[test]
fn a_request_that_goes_elsewhere_fetches_from_the_first_engine_of_its_context() {
    let (engines, holders) = (engines(), Holders::default());
    let first = first(&engines);
    for place in (0..engines.len()).filter(|place| *place != first) {
        assert_eq!(choose(&engines, place, &holders), Some(first));
    }
}

#[test]
fn the_first_engine_fetches_from_the_one_that_the_context_went_to_before_it_was_there() {
    let engines = engines();
    let first_now = first(&engines);
    let mut before = engines.clone();
    before.remove(first_now);
    let former = before[first(&before)].upstream.clone();
    let place = choose(&engines, first_now, &Holders::default()).unwrap();
    assert_eq!(engines[place].upstream, former);
}

#[test]
fn an_engine_that_does_not_answer_is_no_source() {
    let mut engines = engines();
    let first = first(&engines);
    engines[first].is_usable = false;
    let other = (first + 1) % engines.len();
    assert_ne!(choose(&engines, other, &Holders::default()), Some(first));
    engines.iter_mut().for_each(|engine| engine.is_usable = false);
    assert_eq!(choose(&engines, other, &Holders::default()), None);
}

/// Engines are replaced one after the other, each by an empty one that is first for its contexts.
#[test]
fn a_new_engine_is_a_source_only_where_there_is_no_other() {
    let mut engines = engines();
    let first = first(&engines);
    engines[first].is_new = true;
    let other = (first + 1) % engines.len();
    assert_ne!(choose(&engines, other, &Holders::default()), Some(first));
    engines.iter_mut().for_each(|engine| engine.is_new = true);
    assert_eq!(choose(&engines, other, &Holders::default()), Some(first));
}

#[test]
fn an_engine_that_is_known_to_have_read_the_context_goes_first_until_that_is_long_ago() {
    let (engines, now) = (engines(), Instant::now());
    let first = first(&engines);
    let (chosen, one, other) =
        ((first + 1) % ENGINES, (first + 2) % ENGINES, (first + 3) % ENGINES);
    let mut holders = Holders::default();
    holders.note(now, KEY, one as u32);
    holders.note(now + Duration::from_secs(1), KEY, other as u32);
    holders.note(now + Duration::from_secs(2), KEY + 1, first as u32);
    let name = &engines[chosen].upstream;
    let soon = now + Duration::from_secs(3);
    assert_eq!(source(&engines, name, KEY, &holders, soon), Some(other));
    let later = now + Duration::from_secs(90);
    assert_eq!(source(&engines, name, KEY, &holders, later), Some(first));
}

#[test]
fn what_is_remembered_is_bounded_and_the_newest_stays() {
    let (mut holders, now) = (Holders::default(), Instant::now());
    for key in 0..20_000 {
        holders.note(now + Duration::from_millis(key), key, 1);
    }
    assert!(holders.len() <= 4096);
    let last = now + Duration::from_millis(20_000);
    assert!(holders.read_at(last, 19_999, 1).is_some());
    assert!(holders.read_at(last, 0, 1).is_none());
}
