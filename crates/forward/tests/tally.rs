//! Counts at keepers, and searches that ask them.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use forward::{Choice, Level, Search, Step, Tally, Walk};
use names::{Instance, Upstream};

const ENGINE: u32 = 5;
const ONE_BY_ONE: Search = Search { breadth: 1, most: 3, fill: 1.1, bound: 1.5 };
const IN_PAIRS: Search = Search { breadth: 2, most: 4, fill: 1.5, bound: 1.5 };

fn instance(number: usize) -> Instance {
    format!("entry-{number}").parse().unwrap()
}

fn upstream(number: usize) -> Upstream {
    format!("engine-{number}").parse().unwrap()
}

fn choices(count: usize) -> Vec<Choice> {
    let choice = |number| Choice { upstream: upstream(number), slots: 16, estimate: 4.0 };
    (0..count).map(choice).collect()
}

/// The upstreams that a step asks about.
fn asked(step: Step) -> Vec<Upstream> {
    match step {
        Step::Ask(choices) => choices.into_iter().map(|choice| choice.upstream).collect(),
        Step::Take(_) | Step::Wait | Step::Full => Vec::new(),
    }
}

#[test]
fn a_keeper_adds_up_the_newest_word_of_each_instance() {
    let (mut tally, now) = (Tally::default(), Instant::now());
    tally.tell(now, &instance(1), 1, ENGINE, 3);
    tally.tell(now, &instance(2), 1, ENGINE, 4);
    tally.tell(now, &instance(2), 1, ENGINE + 1, 9);
    assert_eq!(tally.held(now, ENGINE), 7);
    tally.tell(now, &instance(1), 3, ENGINE, 1);
    tally.tell(now, &instance(1), 2, ENGINE, 8);
    assert_eq!(tally.held(now, ENGINE), 5, "an older word came late");
}

#[test]
fn what_an_instance_said_is_forgotten_when_it_does_not_repeat_it() {
    let (mut tally, now) = (Tally::default(), Instant::now());
    tally.tell(now, &instance(1), 1, ENGINE, 3);
    let repeats_lost = now + 3 * forward::TELL_PERIOD;
    assert_eq!(tally.held(repeats_lost, ENGINE), 3, "two lost repeats change nothing");
    let later = now + Duration::from_secs(4);
    assert_eq!(tally.held(later, ENGINE), 0);
    tally.forget(later);
    // A run whose clock was set back is believed again.
    tally.tell(later, &instance(1), 0, ENGINE, 2);
    assert_eq!(tally.held(later, ENGINE), 2);
}

#[test]
fn a_level_follows_the_mean_of_many_instances() {
    let mut level = Level::default();
    assert_eq!(level.mean(), None);
    (0..60).for_each(|number| level.sample(if number % 2 == 0 { 2 } else { 6 }));
    assert!((level.mean().unwrap() - 4.0).abs() < 0.5);
    (0..60).for_each(|_| level.sample(20));
    assert!(level.mean().unwrap() > 19.0);
}

#[test]
fn a_context_stays_at_its_first_engine_while_that_is_within_the_bound() {
    let mut walk = Walk::new(ONE_BY_ONE, choices(5), 0);
    assert_eq!(asked(walk.begin()), [upstream(0)]);
    // Three for each of 16 slots of the mean load: 0.3 x 16 x 1.5, and two.
    assert_eq!(walk.answer(&upstream(0), 9, 1.0, 0.3), Step::Take(upstream(0)));
}

#[test]
fn an_engine_above_the_bound_is_passed_over() {
    let mut walk = Walk::new(ONE_BY_ONE, choices(5), 0);
    walk.begin();
    assert_eq!(asked(walk.answer(&upstream(0), 11, 1.0, 0.3)), [upstream(1)]);
    assert_eq!(walk.answer(&upstream(1), 2, 1.0, 0.3), Step::Take(upstream(1)));
    assert_eq!(walk.load(&upstream(0)), 11.0);
}

#[test]
fn the_least_loaded_with_room_is_taken_where_all_are_above_the_bound() {
    let mut walk = Walk::new(ONE_BY_ONE, choices(5), 0);
    walk.begin();
    walk.answer(&upstream(0), 16, 1.0, 0.3);
    walk.answer(&upstream(1), 14, 1.0, 0.3);
    assert_eq!(walk.answer(&upstream(2), 15, 1.0, 0.3), Step::Take(upstream(1)));
}

#[test]
fn a_slow_engine_gets_less_and_is_taken_where_no_other_has_room() {
    let mut walk = Walk::new(ONE_BY_ONE, choices(5), 0);
    walk.begin();
    assert_eq!(asked(walk.answer(&upstream(0), 5, 4.0, 0.3)), [upstream(1)]);
    assert_eq!(walk.answer(&upstream(1), 7, 1.0, 0.3), Step::Take(upstream(1)));
    let mut walk = Walk::new(ONE_BY_ONE, choices(5), 0);
    walk.begin();
    assert_eq!(walk.answer(&upstream(0), 2, 4.0, 0.3), Step::Take(upstream(0)));
    let mut walk = Walk::new(ONE_BY_ONE, choices(5), 0);
    walk.begin();
    walk.answer(&upstream(0), 17, 4.0, 1.0);
    walk.answer(&upstream(1), 18, 1.0, 1.0);
    assert_eq!(walk.answer(&upstream(2), 19, 1.0, 1.0), Step::Take(upstream(0)));
}

#[test]
fn a_request_is_not_sent_where_no_slot_comes_free() {
    let mut walk = Walk::new(ONE_BY_ONE, choices(5), 0);
    walk.begin();
    walk.answer(&upstream(0), 18, 1.0, 1.0);
    walk.answer(&upstream(1), 19, 1.0, 1.0);
    assert_eq!(walk.answer(&upstream(2), 30, 1.0, 1.0), Step::Full);
    assert_eq!(Walk::new(ONE_BY_ONE, Vec::new(), 0).begin(), Step::Full);
}

#[test]
fn a_silent_keeper_holds_nobody_up() {
    let mut walk = Walk::new(ONE_BY_ONE, choices(5), 0);
    walk.begin();
    assert_eq!(walk.give_up_waiting(0.3), Step::Take(upstream(0)));
    assert_eq!(walk.answer(&upstream(0), 40, 1.0, 0.3), Step::Wait, "the answer came late");
}

#[test]
fn half_of_the_requests_look_further_than_an_engine_whose_keeper_is_silent() {
    let mut walk = Walk::new(ONE_BY_ONE, choices(5), 1);
    walk.begin();
    assert_eq!(asked(walk.give_up_waiting(0.3)), [upstream(1)]);
    assert_eq!(walk.answer(&upstream(1), 3, 1.0, 0.3), Step::Take(upstream(1)));
    let mut walk = Walk::new(ONE_BY_ONE, choices(1), 1);
    walk.begin();
    assert_eq!(walk.guess(&upstream(0), 0.3), Step::Take(upstream(0)), "there is no other one");
}

#[test]
fn the_less_loaded_of_two_plain_upstreams_is_taken() {
    let mut walk = Walk::new(IN_PAIRS, choices(6), 0);
    assert_eq!(asked(walk.begin()), [upstream(0), upstream(1)]);
    assert_eq!(walk.answer(&upstream(1), 3, 1.0, 0.3), Step::Wait);
    assert_eq!(walk.answer(&upstream(0), 5, 1.0, 0.3), Step::Take(upstream(1)));
    let mut walk = Walk::new(IN_PAIRS, choices(6), 0);
    walk.begin();
    walk.answer(&upstream(0), 30, 1.0, 0.3);
    assert_eq!(asked(walk.answer(&upstream(1), 25, 1.0, 0.3)), [upstream(2), upstream(3)]);
    assert_eq!(walk.asked().count(), 4);
}
