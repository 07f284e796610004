//! Rate limits that upstreams name: instances that cannot ask each other keep them together.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use forward::{LimitChange, LimitReport, NamedLimit, RateLimits, RequestRate};
use names::Instance;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const UPSTREAM: u32 = 77;
const BORN: u64 = 1;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).unwrap()
}

fn instances(count: usize) -> Vec<Instance> {
    let name = |number| format!("10.1.0.{number}").parse().unwrap();
    (0..count).map(name).collect()
}

/// Returns the limits of all instances of a fleet.
fn fleet(count: usize) -> Vec<RateLimits> {
    let all = instances(count);
    let limits = |me: &Instance| {
        let mut limits = RateLimits::new(me.clone());
        let peers = all.iter().filter(|peer| *peer != me).cloned().collect();
        limits.set_instances(peers, count);
        limits
    };
    all.iter().map(limits).collect()
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Offers requests at random instances and returns the times at which they are sent. `skew` is the
/// share of all requests that arrive at the first instance.
fn offer(fleet: &mut [RateLimits], start: Instant, per_second: f64, skew: f64) -> Vec<Instant> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut sent = Vec::new();
    for millisecond in 0..40_000 {
        let now = start + millis(millisecond);
        if rng.random::<f64>() >= per_second / 1000.0 {
            continue;
        }
        let index = if rng.random::<f64>() < skew { 0 } else { rng.random_range(0..fleet.len()) };
        // The last instance is the load tracker, which only a large fleet asks.
        let is_granted = fleet.len() < 16 || fleet.last_mut().unwrap().grant(now, UPSTREAM);
        if fleet[index].next_request(now, UPSTREAM, BORN).is_none() && is_granted {
            fleet[index].count_request(now, UPSTREAM, BORN);
            sent.push(now);
        }
    }
    sent
}

/// Returns the greatest number of requests in four seconds.
fn most_in_four_seconds(sent: &[Instant]) -> usize {
    let window = |first: &Instant| {
        sent.iter().filter(|at| *at >= first && **at < *first + millis(4000)).count()
    };
    sent.iter().map(window).max().unwrap_or(0)
}

#[test_case(6, 6.2, 60.0, 0.0; "small fleet")]
#[test_case(6, 6.2, 60.0, 0.6; "most requests at one instance")]
#[test_case(6, 0.3, 20.0, 0.0; "below one request a second")]
#[test_case(6, 0.0, 20.0, 0.0; "no requests")]
#[test_case(15, 4.0, 60.0, 0.0; "fifteen instances")]
#[test_case(71, 5.0, 200.0, 0.0; "large fleet")]
#[test_case(295, 6.2, 600.0, 0.0; "hundreds of instances")]
#[test_case(295, 0.5, 600.0, 0.0; "hundreds of instances and half a request a second")]
#[test_case(1, 10.0, 60.0, 0.0; "one instance")]
fn a_limit_holds_for_all_instances_together(count: usize, limit: f64, offered: f64, skew: f64) {
    let start = Instant::now();
    let mut fleet = fleet(count);
    for limits in &mut fleet {
        limits.record(start, UPSTREAM, BORN, Some(rate(limit)));
    }
    let sent = offer(&mut fleet, start, offered, skew);
    let allowed = (limit * 4.0 * 1.5 + 5.0) as usize;
    assert!(most_in_four_seconds(&sent) <= allowed, "{}", most_in_four_seconds(&sent));
    let used = sent.len() as f64 / 40.0;
    println!("{count} instances, limit {limit}: {used:.2} a second");
    assert!(used <= limit * 1.1 + 0.15, "{used}");
    assert!(used >= limit * 0.5, "{used}");
}

#[test]
fn the_limit_falls_rises_and_ends_with_the_answers_that_say_so() {
    let now = Instant::now();
    let mut limits = RateLimits::new(instances(1)[0].clone());
    assert_eq!(limits.record(now, UPSTREAM, BORN, None), None);
    assert_eq!(limits.next_request(now, UPSTREAM, BORN), None);
    assert_eq!(limits.record(now, UPSTREAM, BORN, Some(rate(4.0))), Some(LimitChange::Begun));
    assert!(limits.next_request(now, UPSTREAM, BORN).is_some());
    assert_eq!(limits.record(now, UPSTREAM, BORN, Some(rate(4.1))), None);
    assert_eq!(limits.record(now, UPSTREAM, BORN, Some(rate(8.0))), Some(LimitChange::Changed));
    let next = limits.next_request(now, UPSTREAM, BORN).unwrap();
    assert_eq!(next, now + millis(125));
    assert_eq!(limits.record(now, UPSTREAM, BORN, None), Some(LimitChange::Ended));
    assert_eq!(limits.next_request(now, UPSTREAM, BORN), None);
    assert_eq!(limits.next_request(now, UPSTREAM, BORN + 1), None);
}

#[test]
fn an_instance_that_heard_nothing_itself_keeps_the_limit_that_another_one_tells() {
    let now = Instant::now();
    let mut fleet = fleet(2);
    fleet[0].record(now, UPSTREAM, BORN, Some(rate(4.0)));
    let reports = fleet[0].take_reports(now, |_, _| true);
    assert_eq!(reports.len(), 1);
    assert_eq!(fleet[1].merge(now + millis(2), reports[0]), Some(LimitChange::Begun));
    assert!(fleet[1].next_request(now + millis(2), UPSTREAM, BORN).is_some());
    assert_eq!(fleet[1].take_reports(now + millis(3), |_, _| true), []);
    // An older answer, told later, does not end the limit.
    let older = LimitReport { limit: None, age_ms: 500, ..reports[0] };
    assert_eq!(fleet[1].merge(now + millis(4), older), None);
    fleet[0].record(now + millis(900), UPSTREAM, BORN, None);
    let ends = fleet[0].take_reports(now + millis(900), |_, _| true);
    assert_eq!(fleet[1].merge(now + millis(901), ends[0]), Some(LimitChange::Ended));
}

#[test]
fn the_end_of_a_limit_is_told_a_few_times_and_a_limit_as_long_as_it_is_named() {
    let now = Instant::now();
    let mut limits = fleet(2).remove(0);
    let mut reports = 0;
    for second in 0..60 {
        let at = now + Duration::from_secs(second);
        limits.record(at, UPSTREAM, BORN, Some(rate(4.0)));
        reports += limits.take_reports(at, |_, _| true).len();
    }
    assert!((25..=31).contains(&reports), "{reports}");
    let end = now + Duration::from_secs(60);
    limits.record(end, UPSTREAM, BORN, None);
    let told =
        (0..100).map(|step| limits.take_reports(end + millis(step * 100), |_, _| true).len());
    assert_eq!(told.sum::<usize>(), 3);
}

#[test]
fn an_instance_without_a_share_forgets_a_limit_that_nobody_repeats() {
    let now = Instant::now();
    let mut fleet = fleet(15);
    for limits in &mut fleet {
        limits.record(now, UPSTREAM, BORN, Some(rate(3.0)));
    }
    let later = now + Duration::from_secs(60);
    for limits in &mut fleet {
        limits.take_reports(later, |_, _| true);
    }
    let is_named = |limits: &&RateLimits| limits.named(later, UPSTREAM, BORN) == NamedLimit::Old;
    let keeps = fleet.iter().filter(is_named).count();
    assert_eq!(keeps, 6, "holders");
    for limits in &mut fleet {
        limits.take_reports(later, |_, _| false);
        assert_eq!(limits.named(later, UPSTREAM, BORN), NamedLimit::None);
    }
}

#[test_case("6.2", Some(6.2); "decimal")]
#[test_case(" 0.25 ", Some(0.25); "below one")]
#[test_case("0", Some(0.0); "zero")]
#[test_case("-1", None; "negative")]
#[test_case("NaN", None; "not a number")]
#[test_case("inf", None; "infinite")]
#[test_case("1e99", None; "absurd")]
#[test_case("6,2", None; "comma")]
#[test_case("", None; "empty")]
fn a_rate_is_a_number_of_requests_between_0_and_a_million(text: &str, expected: Option<f64>) {
    assert_eq!(text.parse::<RequestRate>().ok().map(f64::from), expected);
}
