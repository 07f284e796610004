//! Action after a failed attempt, and number of retries during an outage.

use std::time::{Duration, Instant};

use dispatch::{Allowance, Budget, Failure, Step, Verdict};
use test_case::test_case;

const SHARE: Allowance = Allowance::Share { percent: 20, per_second: 10 };

fn failure(verdict: Verdict, is_idempotent: bool, has_started: bool) -> Failure {
    let deadline = Instant::now() + Duration::from_secs(10);
    Failure {
        verdict,
        is_idempotent,
        attempts: 1,
        has_started,
        has_progress: false,
        can_resume: true,
        deadline,
    }
}

#[test_case(Verdict::NotRun, false, false => Step::Retry; "not run")]
#[test_case(Verdict::MayHaveRun, false, false => Step::Refuse; "may have run")]
#[test_case(Verdict::MayHaveRun, true, false => Step::Retry; "idempotent")]
#[test_case(Verdict::MayHaveRun, true, true => Step::Resume; "started stream")]
#[test_case(Verdict::MayHaveRun, false, true => Step::Cut; "started and not idempotent")]
fn next_step(verdict: Verdict, is_idempotent: bool, has_started: bool) -> Step {
    let now = Instant::now();
    failure(verdict, is_idempotent, has_started).next_step(now, &mut Budget::new(SHARE, now))
}

#[test]
fn no_retry_follows_after_the_deadline_or_the_last_attempt() {
    let now = Instant::now();
    let mut budget = Budget::new(Allowance::Unbounded, now);
    let first = failure(Verdict::NotRun, true, false);
    assert_eq!(Failure { deadline: now, ..first }.next_step(now, &mut budget), Step::Refuse);
    assert_eq!(Failure { attempts: 100, ..first }.next_step(now, &mut budget), Step::Refuse);
    let unresumable = Failure { has_started: true, can_resume: false, ..first };
    assert_eq!(unresumable.next_step(now, &mut budget), Step::Cut);
}

/// Returns the number of calls during an outage of `seconds` at `rate` requests per second.
fn calls_in_outage(allowance: Allowance, rate: u32, seconds: u32) -> u32 {
    let start = Instant::now();
    let mut budget = Budget::new(allowance, start);
    let mut calls = 0;
    for number in 0..rate * seconds {
        let now = start + Duration::from_secs(1) * number / rate;
        budget.count_request();
        let deadline = now + Duration::from_secs(10);
        for attempts in 1.. {
            calls += 1;
            let verdict = Verdict::MayHaveRun;
            let failure = Failure { attempts, deadline, ..failure(verdict, true, false) };
            if failure.next_step(now, &mut budget) != Step::Retry {
                break;
            }
        }
    }
    calls
}

#[test]
fn the_budget_bounds_retries_during_an_outage() {
    let (rate, seconds) = (1000, 10);
    let requests = rate * seconds;
    let unbounded = calls_in_outage(Allowance::Unbounded, rate, seconds);
    let bounded = calls_in_outage(SHARE, rate, seconds);
    println!("{requests} requests: {unbounded} calls unbounded, {bounded} within the budget");
    assert_eq!(unbounded, 4 * requests);
    assert!(bounded <= requests * 125 / 100, "{bounded} calls");
}

#[test]
fn a_stream_with_progress_resumes_on_an_exhausted_budget() {
    let now = Instant::now();
    let mut budget = Budget::new(Allowance::Share { percent: 0, per_second: 0 }, now);
    let without_progress = failure(Verdict::MayHaveRun, true, true);
    assert_eq!(without_progress.next_step(now, &mut budget), Step::Cut);
    let with_progress = Failure { has_progress: true, ..without_progress };
    assert_eq!(with_progress.next_step(now, &mut budget), Step::Resume);
}

#[test]
fn retries_are_possible_at_a_low_request_rate() {
    let now = Instant::now();
    let mut budget = Budget::new(SHARE, now);
    let taken = (0..100).filter(|_| budget.take_retry(now)).count();
    assert_eq!(taken, 10);
    assert!(budget.next_retry(now) <= Duration::from_millis(100));
    assert!(budget.take_retry(now + Duration::from_millis(100)));
}

#[test]
fn backoff_doubles_up_to_one_second() {
    let waits = [1, 2, 3, 4, 20].map(|attempts| Failure::backoff(attempts).as_millis());
    assert_eq!(waits, [0, 50, 100, 200, 1000]);
}
