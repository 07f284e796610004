//! Cold engines are chosen although warm ones have capacity, or long prompts take their allowance
//! from short ones.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use forward::{
    Affinity, Candidate, ColdLimits, LeastLoad, NamedLimit, Policy, PromptLength, RateLimits,
    RoutingKey, SearchCandidate, SearchConfig, SearchStep, TrackerSearch, move_cold_last,
};
use names::{Instance, Upstream};
use test_case::test_case;

const SLOTS: u32 = 16;
const UPSTREAM: (u32, u64) = (77, 1);

fn name(index: usize) -> Upstream {
    format!("engine-{index}").parse().unwrap()
}

fn candidate(index: usize, load: f64, limit: NamedLimit) -> Candidate {
    Candidate {
        upstream: name(index),
        is_local: true,
        load,
        slots: SLOTS,
        backlog: 0.0,
        slow_start_share: if limit == NamedLimit::Cold { 0.15 } else { 1.0 },
        is_unresponsive: false,
        limit,
        cost: None,
        is_avoided: false,
    }
}

fn keys() -> impl Iterator<Item = RoutingKey> {
    (0..400).map(|number| RoutingKey { affinity_key: Some(number / 4), random: number * 7919 })
}

const LEAST_LOAD: LeastLoad = LeastLoad { max_utilisation: 1.5, remote_penalty: 2.0 };

fn policies() -> [Box<dyn Policy>; 2] {
    [Box::new(Affinity::new(2.0, 6)), Box::new(LEAST_LOAD)]
}

/// Guards against cold engines that take requests because they look empty.
#[test]
fn no_request_goes_to_a_cold_engine_while_a_warm_one_has_capacity() {
    let mut candidates: Vec<Candidate> =
        (0..6).map(|index| candidate(index, 9.0, NamedLimit::None)).collect();
    candidates.extend((6..9).map(|index| candidate(index, 0.0, NamedLimit::Cold)));
    for policy in policies() {
        for key in keys() {
            let chosen = policy.choose(&candidates, key).unwrap();
            assert_ne!(candidates[chosen].limit, NamedLimit::Cold, "{key:?}");
        }
    }
}

/// Guards against requests that wait for a warm engine while a cold one has allowance.
#[test_case(24.0; "warm engines full")]
#[test_case(70.0; "warm engines above the bound")]
fn cold_engines_take_what_warm_ones_have_no_capacity_for(load: f64) {
    let mut candidates: Vec<Candidate> =
        (0..6).map(|index| candidate(index, load, NamedLimit::None)).collect();
    candidates.extend((6..9).map(|index| candidate(index, 1.0, NamedLimit::Cold)));
    for policy in policies() {
        for key in keys() {
            let chosen = policy.choose(&candidates, key).unwrap();
            assert_eq!(candidates[chosen].limit, NamedLimit::Cold, "{key:?}");
        }
    }
}

fn choice(index: usize, limit: NamedLimit) -> SearchCandidate {
    SearchCandidate {
        upstream: name(index),
        slots: SLOTS,
        estimate: f64::INFINITY,
        limit,
        cost: None,
    }
}

/// Guards against a search that asks about a cold engine first, or together with a warm one.
#[test_case(1; "one at a time")]
#[test_case(2; "two at a time")]
fn a_search_asks_about_cold_engines_after_the_warm_ones(breadth: usize) {
    use NamedLimit::{Cold, None, Recent};
    let limits = [Cold, None, Cold, Recent, None, Cold, Cold];
    let mut choices: Vec<SearchCandidate> =
        limits.iter().enumerate().map(|(index, limit)| choice(index, *limit)).collect();
    assert_eq!(move_cold_last(&mut choices, 2), 2);
    let order: Vec<Upstream> = choices.iter().map(|choice| choice.upstream.clone()).collect();
    assert_eq!(order, [1, 3, 4, 0, 2].map(name));
    let config = SearchConfig { breadth, max_upstreams: 5, max_utilisation: 1.1, load_bound: 1.5 };
    let mut search = TrackerSearch::new(config, choices, 2);
    let mut step = search.start();
    let mut asked = Vec::new();
    while let SearchStep::Ask(choices) = step {
        let is_cold = choices[0].limit == Cold;
        assert!(choices.iter().all(|choice| (choice.limit == Cold) == is_cold), "{choices:?}");
        step = SearchStep::Wait;
        for choice in choices {
            // The warm engines are full.
            let requests = if is_cold { 1 } else { 60 };
            step = search.on_count(&choice.upstream, requests, 1.0, 1.0);
            asked.push(choice.upstream);
        }
    }
    assert_eq!(asked[..3], [1, 3, 4].map(name));
    assert_eq!(step, SearchStep::Send(name(0)));
}

/// Guards against long prompts that use up an allowance that short prompts would take.
#[test]
fn a_load_tracker_grants_short_prompts_before_long_ones() {
    let me: Instance = "10.1.0.1".parse().unwrap();
    let start = Instant::now();
    let mut limits = RateLimits::new(me);
    let peers = (2..72).map(|number| format!("10.1.0.{number}").parse().unwrap()).collect();
    limits.set_instances(Vec::new(), 71);
    limits.set_senders(start, peers, |_| true);
    let cold = ColdLimits::new(7.9, 1.5, 5.0).unwrap();
    let begin = start + Duration::from_secs(5);
    limits.set_cold(begin, UPSTREAM, cold, begin + Duration::from_secs(60), true);
    let play = |short_offered: u64, limits: &mut RateLimits, from: Instant| {
        let (mut short, mut long) = (0, 0);
        for millisecond in 0..10_000 {
            let now = from + Duration::from_millis(millisecond);
            if millisecond % 20 == 0 {
                long += usize::from(limits.grant_prompt(now, UPSTREAM.0, PromptLength::Long, true));
            }
            if millisecond % (1000 / short_offered) == 7 {
                short +=
                    usize::from(limits.grant_prompt(now, UPSTREAM.0, PromptLength::Short, true));
            }
        }
        (short, long)
    };
    let (short, long) = play(3, &mut limits, begin);
    // 31 are offered, the first one while the bucket is still empty.
    assert!(short >= 30, "{short} short prompts below the rate");
    assert!((40..=49).contains(&long), "{long} long prompts take the rest");
    let (short, long) = play(20, &mut limits, begin + Duration::from_secs(20));
    assert!(short >= 75, "{short} short prompts");
    assert!(long <= 2, "{long} long prompts beside waiting short ones");
}

/// Guards against an allowance that lowers a named limit, or a named limit that raises an allowance.
#[test_case(3.0, 3.0; "named limit is lower")]
#[test_case(100.0, 7.9; "allowance is lower")]
fn the_lower_of_a_named_limit_and_the_cold_allowance_applies(named: f64, expected: f64) {
    for instances in [1, 71] {
        let start = Instant::now();
        let mut limits = RateLimits::new("10.1.0.1".parse().unwrap());
        limits.set_instances(Vec::new(), instances);
        limits.set_senders(start, Vec::new(), |_| true);
        let cold = ColdLimits::new(7.9, 1.5, 5.0).unwrap();
        let begin = start + Duration::from_secs(5);
        let rate = named.try_into().unwrap();
        limits.record(begin, UPSTREAM.0, UPSTREAM.1, Some(rate));
        limits.set_cold(begin, UPSTREAM, cold, begin + Duration::from_secs(20), true);
        let mut sent = 0;
        for millisecond in 0..20_000 {
            let now = begin + Duration::from_millis(millisecond);
            let may_send = limits.next_request(now, UPSTREAM.0, UPSTREAM.1).is_none()
                && (instances == 1
                    || limits.grant_prompt(now, UPSTREAM.0, PromptLength::Short, true));
            if may_send {
                limits.count_request(now, UPSTREAM.0, UPSTREAM.1);
                sent += 1;
            }
        }
        let per_second = f64::from(sent) / 20.0;
        assert!((per_second - expected).abs() < 0.2, "{instances}: {per_second} a second");
    }
}
