//! Action after a failed attempt, and number of retries during an outage.

use std::time::{Duration, Instant};

use dispatch::{FailedAttempt, FailureAction, RetryAllowance, RetryBudget, Verdict};
use test_case::test_case;

const SHARE: RetryAllowance = RetryAllowance::Ratio { percent: 20, per_second: 10 };

fn failure(verdict: Verdict, is_idempotent: bool, has_started: bool) -> FailedAttempt {
    let deadline = Instant::now() + Duration::from_secs(10);
    FailedAttempt {
        verdict,
        is_idempotent,
        attempts: 1,
        has_started,
        has_progress: false,
        is_dangerous: false,
        can_resume: true,
        deadline,
    }
}

#[test_case(Verdict::NotRun, false, false => FailureAction::Retry; "not run")]
#[test_case(Verdict::MayHaveRun, false, false => FailureAction::Refuse; "may have run")]
#[test_case(Verdict::MayHaveRun, true, false => FailureAction::Retry; "idempotent")]
#[test_case(Verdict::MayHaveRun, true, true => FailureAction::Resume; "started stream")]
#[test_case(Verdict::MayHaveRun, false, true => FailureAction::Truncate; "started and not idempotent")]
fn next_step(verdict: Verdict, is_idempotent: bool, has_started: bool) -> FailureAction {
    let now = Instant::now();
    failure(verdict, is_idempotent, has_started).next_step(now, &mut RetryBudget::new(SHARE, now))
}

#[test]
fn no_retry_follows_after_the_deadline_or_the_last_attempt() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(RetryAllowance::Unbounded, now);
    let first = failure(Verdict::NotRun, true, false);
    assert_eq!(
        FailedAttempt { deadline: now, ..first }.next_step(now, &mut budget),
        FailureAction::Refuse
    );
    assert_eq!(
        FailedAttempt { attempts: 100, ..first }.next_step(now, &mut budget),
        FailureAction::Refuse
    );
    let unresumable = FailedAttempt { has_started: true, can_resume: false, ..first };
    assert_eq!(unresumable.next_step(now, &mut budget), FailureAction::Truncate);
}

/// Returns the number of calls during an outage of `seconds` at `rate` requests per second.
fn calls_in_outage(allowance: RetryAllowance, rate: u32, seconds: u32) -> u32 {
    let start = Instant::now();
    let mut budget = RetryBudget::new(allowance, start);
    let mut calls = 0;
    for number in 0..rate * seconds {
        let now = start + Duration::from_secs(1) * number / rate;
        budget.count_request();
        let deadline = now + Duration::from_secs(10);
        for attempts in 1.. {
            calls += 1;
            let verdict = Verdict::MayHaveRun;
            let failure = FailedAttempt { attempts, deadline, ..failure(verdict, true, false) };
            if failure.next_step(now, &mut budget) != FailureAction::Retry {
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
    let unbounded = calls_in_outage(RetryAllowance::Unbounded, rate, seconds);
    let bounded = calls_in_outage(SHARE, rate, seconds);
    println!("{requests} requests: {unbounded} calls unbounded, {bounded} within the budget");
    assert_eq!(unbounded, 4 * requests);
    assert!(bounded <= requests * 125 / 100, "{bounded} calls");
}

#[test]
fn a_stream_with_progress_resumes_on_an_exhausted_budget() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(RetryAllowance::Ratio { percent: 0, per_second: 0 }, now);
    let without_progress = failure(Verdict::MayHaveRun, true, true);
    assert_eq!(without_progress.next_step(now, &mut budget), FailureAction::Truncate);
    let with_progress = FailedAttempt { has_progress: true, ..without_progress };
    assert_eq!(with_progress.next_step(now, &mut budget), FailureAction::Resume);
}

#[test]
fn retries_are_possible_at_a_low_request_rate() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(SHARE, now);
    let granted = (0..100).filter(|_| budget.take_retry(now)).count();
    assert_eq!(granted, 10);
    assert!(budget.next_retry(now) <= Duration::from_millis(100));
    assert!(budget.take_retry(now + Duration::from_millis(100)));
}

#[test]
fn backoff_doubles_up_to_one_second() {
    let delays_ms = [1, 2, 3, 4, 20].map(|attempts| FailedAttempt::backoff(attempts).as_millis());
    assert_eq!(delays_ms, [0, 50, 100, 200, 1000]);
}
