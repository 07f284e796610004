//! The pace of engines, and the choice among engines by cost.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use forward::{
    CachedContext, EngineCost, EngineWork, NamedLimit, Pace, PaceEstimate, PromptSize, PromptWork,
    SearchCandidate, SearchConfig, SearchStep, TrackerSearch, UpstreamWork, cheapest,
};
use names::Upstream;
use test_case::test_case;

const SEARCH: SearchConfig =
    SearchConfig { breadth: 1, max_upstreams: 3, max_utilisation: 1.1, load_bound: 1.5 };

/// A short urgent prompt.
const SHORT: PromptSize = PromptSize { own_tokens: 130.0, shared_tokens: 699.0, is_urgent: true };

/// A long prompt of the lowest rank.
const LONG: PromptSize =
    PromptSize { own_tokens: 1300.0, shared_tokens: 10_512.0, is_urgent: false };

const IDLE: EngineWork = EngineWork { unread_tokens: 0.0, urgent: 0.0, pace_percent: 100.0 };

/// Mean number of requests per slot.
const MEAN: f64 = 0.5;

fn pace(percent: f64) -> Pace {
    Pace::from_percent(percent).unwrap()
}

fn upstream(number: usize) -> Upstream {
    format!("engine-{number}").parse().unwrap()
}

/// Returns the costs of three engines, the first of which is the home of the context.
fn costs(prompt: PromptSize, works: [EngineWork; 3]) -> Vec<EngineCost> {
    let context = |index| if index == 0 { CachedContext::Expected } else { CachedContext::Absent };
    let cost = |(index, work)| EngineCost { prompt, context: context(index), work };
    works.into_iter().enumerate().map(cost).collect()
}

fn search(prompt: PromptSize, limit: NamedLimit) -> TrackerSearch {
    let choice = |(index, cost)| SearchCandidate {
        upstream: upstream(index),
        slots: 16,
        estimate: 4.0,
        limit: if index == 0 { NamedLimit::None } else { limit },
        cost: Some(cost),
    };
    let choices = costs(prompt, [IDLE; 3]).into_iter().enumerate().map(choice).collect();
    TrackerSearch::new(SEARCH, choices, 0)
}

fn asked(step: SearchStep) -> Vec<Upstream> {
    match step {
        SearchStep::Ask(choices) => choices.into_iter().map(|choice| choice.upstream).collect(),
        SearchStep::Send(_) | SearchStep::Wait | SearchStep::NoCapacity => Vec::new(),
    }
}

/// Answers that an engine has `requests` requests with `unread_tokens` tokens before `prompt`.
fn answer(
    search: &mut TrackerSearch,
    number: usize,
    prompt: PromptSize,
    unread_tokens: u32,
) -> SearchStep {
    let own = (prompt.own_tokens + prompt.shared_tokens) as u32;
    let work = UpstreamWork { requests: 5, urgent: 0, unread_tokens: unread_tokens + own };
    search.record_work(&upstream(number), work, Some(100.0));
    search.on_count(&upstream(number), work.requests, 1.0, MEAN)
}

#[test_case(0.0)]
#[test_case(-1.0)]
#[test_case(5.0)]
#[test_case(1e9)]
#[test_case(f64::NAN)]
#[test_case(f64::INFINITY)]
fn an_invalid_pace_is_not_used(percent: f64) {
    assert_eq!(Pace::from_percent(percent), None);
}

#[test]
fn an_old_pace_is_not_used_for_ever() {
    let (mut estimate, begin) = (PaceEstimate::default(), Instant::now());
    assert!(!estimate.is_reported());
    assert_eq!(estimate.percent(begin), 100.0);
    estimate.record(begin, pace(250.0));
    assert!(estimate.is_reported());
    let after = |millis| estimate.percent(begin + Duration::from_millis(millis));
    assert_eq!((after(0), after(500)), (250.0, 250.0));
    assert!(after(600) < 250.0 && after(750) < after(600));
    assert_eq!((after(1000), after(60_000)), (100.0, 100.0));
}

#[test]
fn one_odd_pace_among_many_does_not_decide() {
    let (mut estimate, begin) = (PaceEstimate::default(), Instant::now());
    for step in 0..20 {
        estimate.record(begin + Duration::from_millis(10 * step), pace(100.0));
    }
    let now = begin + Duration::from_millis(200);
    estimate.record(now, pace(1000.0));
    assert!(estimate.percent(now) < 400.0);
    estimate.record(begin, pace(10_000.0));
    assert!(estimate.percent(now) < 400.0, "an older pace arrived late");
    for step in 0..10 {
        estimate.record(now + Duration::from_millis(50 * step), pace(250.0));
    }
    let percent = estimate.percent(now + Duration::from_millis(500));
    assert!((240.0..260.0).contains(&percent), "{percent}");
}

#[test]
fn unread_tokens_of_ended_requests_do_not_stay() {
    let (mut work, now) = (PromptWork::default(), Instant::now());
    let cost = EngineCost { prompt: LONG, context: CachedContext::Absent, work: IDLE };
    let [first, second] = [1, 2].map(names::Request);
    work.begin(first, &cost);
    work.begin(first, &cost);
    work.begin(second, &EngineCost { prompt: SHORT, context: CachedContext::Held, ..cost });
    assert_eq!((work.unread_tokens(), work.urgent()), (11_812.0 + 130.0, 1));
    assert_eq!(work.work(now, second).unread_tokens, 11_812.0);
    assert_eq!(work.work(now, second).urgent, 0.0);
    work.record_read(first);
    assert_eq!(work.unread_tokens(), 130.0);
    work.end(second);
    work.end(first);
    assert_eq!((work.unread_tokens(), work.urgent()), (0.0, 0));
}

#[test]
fn a_short_urgent_prompt_leaves_an_engine_that_reads_a_long_one() {
    let reading = EngineWork { unread_tokens: 11_812.0, ..IDLE };
    let chosen = |works| {
        let costs: Vec<_> = costs(SHORT, works).into_iter().map(Some).collect();
        cheapest(&costs)
    };
    assert_eq!(chosen([reading, IDLE, IDLE]), 1);
    assert_eq!(chosen([reading, reading, IDLE]), 2);
    assert_eq!(chosen([reading; 3]), 0);
    let few = EngineWork { unread_tokens: 1000.0, ..IDLE };
    assert_eq!(chosen([few, IDLE, IDLE]), 0, "the context is worth more");
}

#[test]
fn a_long_prompt_goes_to_the_holder_with_the_fewest_urgent_requests() {
    let busy = EngineWork { urgent: 6.0, ..IDLE };
    let at = |context, work| Some(EngineCost { prompt: LONG, context, work });
    let (held, absent) = (CachedContext::Held, CachedContext::Absent);
    assert_eq!(cheapest(&[at(held, busy), at(absent, IDLE), at(held, IDLE)]), 2);
    assert_eq!(cheapest(&[at(held, busy), at(absent, IDLE), at(absent, IDLE)]), 0);
}

#[test]
fn a_slow_engine_is_left_only_for_a_clear_gain() {
    let slow = EngineWork { pace_percent: 250.0, ..IDLE };
    let working = EngineWork { unread_tokens: 2000.0, ..slow };
    let costs = |prompt, works| -> Vec<_> { costs(prompt, works).into_iter().map(Some).collect() };
    assert_eq!(cheapest(&costs(SHORT, [slow, IDLE, IDLE])), 0);
    assert_eq!(cheapest(&costs(SHORT, [working, IDLE, IDLE])), 1);
    assert_eq!(cheapest(&[]), 0);
    let mut unknown = costs(SHORT, [working, IDLE, IDLE]);
    unknown[0] = None;
    assert_eq!(cheapest(&unknown), 0);
}

#[test]
fn other_load_trackers_are_not_asked_while_the_first_engine_is_cheap() {
    for prompt in [SHORT, LONG] {
        let mut search = search(prompt, NamedLimit::None);
        assert_eq!(asked(search.start()), [upstream(0)]);
        assert_eq!(answer(&mut search, 0, prompt, 0), SearchStep::Send(upstream(0)));
        assert!(!search.is_moved());
    }
}

#[test]
fn a_search_that_could_gain_asks_the_others_at_the_same_time() {
    let mut moved = search(SHORT, NamedLimit::None);
    moved.start();
    let step = answer(&mut moved, 0, SHORT, 11_812);
    assert_eq!(asked(step), [upstream(1), upstream(2)]);
    assert_eq!(answer(&mut moved, 1, SHORT, 11_812), SearchStep::Wait);
    assert_eq!(answer(&mut moved, 2, SHORT, 0), SearchStep::Send(upstream(2)));
    assert!(moved.is_moved());

    let mut silent = search(SHORT, NamedLimit::None);
    silent.start();
    answer(&mut silent, 0, SHORT, 11_812);
    assert_eq!(answer(&mut silent, 1, SHORT, 11_812), SearchStep::Wait);
    assert_eq!(silent.on_timeout(MEAN), SearchStep::Send(upstream(2)), "its own estimate is 0");

    let mut other = search(LONG, NamedLimit::None);
    other.start();
    let step = answer(&mut other, 0, LONG, 11_812);
    assert_eq!(step, SearchStep::Send(upstream(0)), "reading the context again costs more");
}

#[test]
fn a_cheap_engine_above_the_load_bound_is_not_taken() {
    let mut search = search(SHORT, NamedLimit::None);
    search.start();
    answer(&mut search, 0, SHORT, 11_812);
    search.on_count(&upstream(1), 16, 1.0, MEAN);
    let step = search.on_count(&upstream(2), 16, 1.0, MEAN);
    assert_eq!(step, SearchStep::Send(upstream(0)));
}

#[test]
fn a_search_for_a_lower_cost_uses_up_no_rate_limit() {
    let mut search = search(SHORT, NamedLimit::Recent);
    search.start();
    assert_eq!(answer(&mut search, 0, SHORT, 11_812), SearchStep::Send(upstream(0)));
}
