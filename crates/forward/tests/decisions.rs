//! What follows failures, what may be sent again, who waits, and where a stream goes on.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use dispatch::Verdict;
use forward::{Allowance, Gauge, Line, Next, Report, Setback, Tail, Window};
use test_case::test_case;

fn setback() -> Setback {
    Setback {
        verdict: Verdict::MayHaveRun,
        is_idempotent: true,
        has_started: false,
        can_resume: false,
        runs: 1,
        refusals: 0,
        attempts: 2,
        has_time: true,
    }
}

#[test_case(setback(), Next::Again; "an idempotent request goes on")]
#[test_case(Setback { is_idempotent: false, ..setback() }, Next::Fail; "a booking that may have run")]
#[test_case(
    Setback { is_idempotent: false, verdict: Verdict::NotRun, runs: 0, refusals: 1, attempts: 1, ..setback() },
    Next::Again; "a booking that did not run")]
#[test_case(
    Setback { verdict: Verdict::NotRun, runs: 0, refusals: 4, ..setback() },
    Next::Refuse; "refused everywhere")]
#[test_case(Setback { runs: 2, ..setback() }, Next::Fail; "no attempts left")]
#[test_case(Setback { has_time: false, ..setback() }, Next::Fail; "no time left")]
#[test_case(
    Setback { has_time: false, verdict: Verdict::NotRun, runs: 0, ..setback() },
    Next::Refuse; "no time and not run")]
#[test_case(Setback { has_started: true, ..setback() }, Next::Cut; "an answer that has begun")]
#[test_case(
    Setback { has_started: true, can_resume: true, ..setback() },
    Next::Resume; "a stream that can go on")]
#[test_case(
    Setback { verdict: Verdict::NotRun, runs: 1, refusals: 1, attempts: 1, ..setback() },
    Next::Fail; "refused after it may have run")]
fn failures_have_their_step(setback: Setback, expected: Next) {
    assert_eq!(setback.next(|| true), expected);
}

#[test]
fn without_budget_nothing_is_sent_again() {
    assert_eq!(setback().next(|| false), Next::Fail);
    let refused = Setback { verdict: Verdict::NotRun, runs: 0, refusals: 1, ..setback() };
    assert_eq!(refused.next(|| false), Next::Refuse);
    let started = Setback { has_started: true, can_resume: true, ..setback() };
    assert_eq!(started.next(|| false), Next::Cut);
}

const ALLOWANCE: Allowance = Allowance { ratio: 0.2, extra: 52.0, span: Duration::from_secs(10) };

/// Every request fails everywhere; answers days on which all upstreams return errors. In no span
/// may the instances together send more again than the allowance says.
#[test]
fn all_instances_together_keep_to_the_allowance_in_every_span() {
    let start = Instant::now();
    let mut windows = vec![Window::default(); 6];
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for step in 0..3000u32 {
        // Load comes in waves and unevenly.
        let at = start + Duration::from_millis(u64::from(step) * 10);
        let window = &mut windows[(step % 7 % 6) as usize];
        if step % 1000 < 400 {
            window.count(at, Duration::from_secs(60));
            requests.push(at);
        }
        if window.take(at, ALLOWANCE, 6) {
            repeats.push(at);
        }
    }
    let within = |times: &[Instant], from: Instant| {
        times.iter().filter(|time| **time >= from && **time < from + ALLOWANCE.span).count() as f64
    };
    for step in 0..200 {
        let from = start + Duration::from_millis(step * 100);
        let before = from.checked_sub(ALLOWANCE.span / 2).unwrap_or(from);
        let earlier = from.checked_sub(ALLOWANCE.span).unwrap_or(from);
        let counted = [from, before, earlier].map(|from| within(&requests, from));
        let most = counted.into_iter().fold(0.0, f64::max) * ALLOWANCE.ratio + ALLOWANCE.extra;
        assert!(within(&repeats, from) <= most, "span from step {step}");
    }
    assert!(repeats.len() > 50, "the allowance was hardly used: {}", repeats.len());
}

#[test]
fn a_gauge_follows_reports_and_what_is_sent_after_them() {
    let now = Instant::now();
    let mut gauge = Gauge::default();
    gauge.begin(500.0);
    gauge.begin(700.0);
    assert_eq!(gauge.backlog(), 1200.0);
    assert_eq!(gauge.load(now, 3, None), 6.0);
    gauge.report(now, Report { running: 9, waiting: 1, slots: 64 });
    assert_eq!(gauge.load(now, 3, None), 10.0);
    gauge.begin(0.0);
    assert_eq!(gauge.load(now, 3, None), 11.0);
    gauge.end();
    gauge.end();
    assert_eq!(gauge.load(now, 3, None), 9.0);
    assert_eq!(gauge.load(now + Duration::from_secs(5), 3, None), 3.0);
    gauge.hear(now - Duration::from_millis(100), 40);
    assert_eq!(gauge.load(now, 3, None), 9.0, "its own word is newer");
    gauge.hear(now + Duration::from_millis(900), 40);
    assert_eq!(gauge.load(now + Duration::from_millis(900), 3, None), 40.0);
}

#[test]
fn the_urgent_go_first_and_the_rest_in_order_of_arrival() {
    let now = Instant::now();
    let until = now + Duration::from_secs(1);
    let mut line = Line::default();
    for (rank, item) in [(2, 'a'), (0, 'b'), (1, 'c'), (0, 'd'), (2, 'e')] {
        line.push(rank, until, item);
    }
    line.push(1, now, 'f');
    assert_eq!(line.items(), ['b', 'd', 'c', 'f', 'a', 'e']);
    assert_eq!(line.expire(now), ['f']);
    line.remove(&'d');
    assert_eq!(line.items(), ['b', 'c', 'a', 'e']);
    assert_eq!(line.next_expiry(), Some(until));
}

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn a_stream_that_breaks_anywhere_goes_on_without_loss_or_repeat() {
    for cut in 0..STREAM.len() {
        let mut tail = Tail::new(None);
        let mut out = Vec::new();
        tail.take(&STREAM.as_bytes()[..cut], &mut out).unwrap();
        let after: usize = tail.last().map_or(0, |last| last.parse().unwrap());
        tail.restart();
        let rest: String = STREAM.split_inclusive("\n\n").skip(after).collect::<Vec<_>>().concat();
        tail.take(rest.as_bytes(), &mut out).unwrap();
        assert_eq!(String::from_utf8(out).unwrap(), STREAM, "cut after {cut} bytes");
        assert!(tail.is_between_events());
    }
}

#[test]
fn a_torn_event_shows() {
    let mut tail = Tail::new(Some("4".to_string()));
    let mut out = Vec::new();
    tail.take(b"id: 5\nda", &mut out).unwrap();
    assert!(!tail.is_between_events());
    assert_eq!((tail.last(), out.len()), (Some("4"), 0));
}
