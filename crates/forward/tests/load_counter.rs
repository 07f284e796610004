//! Request counts at load trackers, and searches that ask load trackers.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use forward::{
    LoadCounter, MeanInFlight, NamedLimit, SearchCandidate, SearchConfig, SearchStep,
    TrackerSearch, UpstreamWork,
};
use names::{Instance, Upstream};

const ENGINE: u32 = 5;
const SEQUENTIAL: SearchConfig =
    SearchConfig { breadth: 1, max_upstreams: 3, max_utilisation: 1.1, load_bound: 1.5 };
const IN_PAIRS: SearchConfig =
    SearchConfig { breadth: 2, max_upstreams: 4, max_utilisation: 1.5, load_bound: 1.5 };

fn instance(number: usize) -> Instance {
    format!("entry-{number}").parse().unwrap()
}

fn upstream(number: usize) -> Upstream {
    format!("engine-{number}").parse().unwrap()
}

fn choices(count: usize) -> Vec<SearchCandidate> {
    let choice = |number| SearchCandidate {
        upstream: upstream(number),
        slots: 16,
        estimate: 4.0,
        limit: NamedLimit::None,
        cost: None,
    };
    (0..count).map(choice).collect()
}

/// Returns the upstreams that a step asks about.
fn asked(step: SearchStep) -> Vec<Upstream> {
    match step {
        SearchStep::Ask(choices) => choices.into_iter().map(|choice| choice.upstream).collect(),
        SearchStep::Send(_) | SearchStep::Wait | SearchStep::NoCapacity => Vec::new(),
    }
}

#[test]
fn a_load_tracker_adds_up_the_newest_report_of_each_instance() {
    let (mut counter, now) = (LoadCounter::default(), Instant::now());
    counter.report(now, &instance(1), 1, ENGINE, UpstreamWork::of_requests(3));
    counter.report(now, &instance(2), 1, ENGINE, UpstreamWork::of_requests(4));
    counter.report(now, &instance(2), 1, ENGINE + 1, UpstreamWork::of_requests(9));
    assert_eq!(counter.requests(now, ENGINE), 7);
    counter.report(now, &instance(1), 3, ENGINE, UpstreamWork::of_requests(1));
    counter.report(now, &instance(1), 2, ENGINE, UpstreamWork::of_requests(8));
    assert_eq!(counter.requests(now, ENGINE), 5, "an older report arrived late");
}

#[test]
fn a_report_that_is_not_repeated_expires() {
    let (mut counter, now) = (LoadCounter::default(), Instant::now());
    counter.report(now, &instance(1), 1, ENGINE, UpstreamWork::of_requests(3));
    let after_lost_repeats = now + 3 * forward::COUNT_REPORT_INTERVAL;
    assert_eq!(counter.requests(after_lost_repeats, ENGINE), 3, "two lost repeats change nothing");
    let later = now + Duration::from_secs(4);
    assert_eq!(counter.requests(later, ENGINE), 0);
    counter.expire(later);
    // An instance that restarts after its clock was set back uses lower numbers. Its reports are
    // accepted again.
    counter.report(later, &instance(1), 0, ENGINE, UpstreamWork::of_requests(2));
    assert_eq!(counter.requests(later, ENGINE), 2);
}

#[test]
fn the_mean_in_flight_converges_to_the_mean_of_many_instances() {
    let mut mean_in_flight = MeanInFlight::default();
    assert_eq!(mean_in_flight.mean(), None);
    (0..60).for_each(|number| mean_in_flight.sample(if number % 2 == 0 { 2 } else { 6 }));
    assert!((mean_in_flight.mean().unwrap() - 4.0).abs() < 0.5);
    (0..60).for_each(|_| mean_in_flight.sample(20));
    assert!(mean_in_flight.mean().unwrap() > 19.0);
}

#[test]
fn a_context_stays_at_its_preferred_engine_within_the_load_bound() {
    let mut search = TrackerSearch::new(SEQUENTIAL, choices(5), 0);
    assert_eq!(asked(search.start()), [upstream(0)]);
    // The bound is 0.3 requests per slot x 16 slots x 1.5, plus two requests.
    assert_eq!(search.on_count(&upstream(0), 9, 1.0, 0.3), SearchStep::Send(upstream(0)));
}

#[test]
fn an_engine_above_the_load_bound_is_skipped() {
    let mut search = TrackerSearch::new(SEQUENTIAL, choices(5), 0);
    search.start();
    assert_eq!(asked(search.on_count(&upstream(0), 11, 1.0, 0.3)), [upstream(1)]);
    assert_eq!(search.on_count(&upstream(1), 2, 1.0, 0.3), SearchStep::Send(upstream(1)));
    assert_eq!(search.load(&upstream(0)), 11.0);
}

#[test]
fn the_least_loaded_engine_is_taken_if_all_are_above_the_load_bound() {
    let mut search = TrackerSearch::new(SEQUENTIAL, choices(5), 0);
    search.start();
    search.on_count(&upstream(0), 16, 1.0, 0.3);
    search.on_count(&upstream(1), 14, 1.0, 0.3);
    assert_eq!(search.on_count(&upstream(2), 15, 1.0, 0.3), SearchStep::Send(upstream(1)));
}

#[test]
fn a_slow_engine_gets_fewer_requests_and_is_taken_if_no_other_has_capacity() {
    let mut search = TrackerSearch::new(SEQUENTIAL, choices(5), 0);
    search.start();
    assert_eq!(asked(search.on_count(&upstream(0), 5, 4.0, 0.3)), [upstream(1)]);
    assert_eq!(search.on_count(&upstream(1), 7, 1.0, 0.3), SearchStep::Send(upstream(1)));
    let mut search = TrackerSearch::new(SEQUENTIAL, choices(5), 0);
    search.start();
    assert_eq!(search.on_count(&upstream(0), 2, 4.0, 0.3), SearchStep::Send(upstream(0)));
    let mut search = TrackerSearch::new(SEQUENTIAL, choices(5), 0);
    search.start();
    search.on_count(&upstream(0), 17, 4.0, 1.0);
    search.on_count(&upstream(1), 18, 1.0, 1.0);
    assert_eq!(search.on_count(&upstream(2), 19, 1.0, 1.0), SearchStep::Send(upstream(0)));
}

#[test]
fn a_request_is_not_sent_to_a_full_engine() {
    let mut search = TrackerSearch::new(SEQUENTIAL, choices(5), 0);
    search.start();
    search.on_count(&upstream(0), 18, 1.0, 1.0);
    search.on_count(&upstream(1), 19, 1.0, 1.0);
    assert_eq!(search.on_count(&upstream(2), 30, 1.0, 1.0), SearchStep::NoCapacity);
    assert_eq!(TrackerSearch::new(SEQUENTIAL, Vec::new(), 0).start(), SearchStep::NoCapacity);
}

#[test]
fn a_load_tracker_that_does_not_answer_delays_no_request() {
    let mut search = TrackerSearch::new(SEQUENTIAL, choices(5), 0);
    search.start();
    assert_eq!(search.on_timeout(0.3), SearchStep::Send(upstream(0)));
    assert_eq!(
        search.on_count(&upstream(0), 40, 1.0, 0.3),
        SearchStep::Wait,
        "the answer arrived late"
    );
}

#[test]
fn half_of_the_requests_skip_an_engine_whose_load_tracker_does_not_answer() {
    let mut search = TrackerSearch::new(SEQUENTIAL, choices(5), 1);
    search.start();
    assert_eq!(asked(search.on_timeout(0.3)), [upstream(1)]);
    assert_eq!(search.on_count(&upstream(1), 3, 1.0, 0.3), SearchStep::Send(upstream(1)));
    let mut search = TrackerSearch::new(SEQUENTIAL, choices(1), 1);
    search.start();
    assert_eq!(
        search.on_no_answer(&upstream(0), 0.3),
        SearchStep::Send(upstream(0)),
        "there is no other engine"
    );
}

#[test]
fn the_less_loaded_of_two_upstreams_without_engines_is_chosen() {
    let mut search = TrackerSearch::new(IN_PAIRS, choices(6), 0);
    assert_eq!(asked(search.start()), [upstream(0), upstream(1)]);
    assert_eq!(search.on_count(&upstream(1), 3, 1.0, 0.3), SearchStep::Wait);
    assert_eq!(search.on_count(&upstream(0), 5, 1.0, 0.3), SearchStep::Send(upstream(1)));
    let mut search = TrackerSearch::new(IN_PAIRS, choices(6), 0);
    search.start();
    search.on_count(&upstream(0), 30, 1.0, 0.3);
    assert_eq!(asked(search.on_count(&upstream(1), 25, 1.0, 0.3)), [upstream(2), upstream(3)]);
    assert_eq!(search.asked().count(), 4);
}
