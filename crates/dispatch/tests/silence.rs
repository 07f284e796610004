//! Action for a silent attempt, with and without a permit at another upstream.

use std::time::{Duration, Instant};

use dispatch::{FailedAttempt, RetryAllowance, RetryBudget, SilenceAction, SilentAttempt, Verdict};
use test_case::test_case;

const NO_RETRIES: RetryAllowance = RetryAllowance::Ratio { percent: 0, per_second: 0 };
const ONE_RETRY: RetryAllowance = RetryAllowance::Ratio { percent: 0, per_second: 1 };

/// An attempt without progress since `start`, with nine seconds left at that time.
fn silent_since(start: Instant) -> SilentAttempt {
    let failure = FailedAttempt {
        verdict: Verdict::MayHaveRun,
        is_idempotent: true,
        attempts: 1,
        has_started: false,
        has_progress: false,
        is_dangerous: false,
        can_resume: true,
        deadline: start + Duration::from_secs(9),
    };
    SilentAttempt { failure, last_progress: start, has_permit: false }
}

#[test_case(2900, false => SilenceAction::Wait; "not silent yet")]
#[test_case(2900, true => SilenceAction::Wait; "not silent any more when the permit came")]
#[test_case(3000, false => SilenceAction::Seek; "silent")]
#[test_case(3000, true => SilenceAction::Move; "silent with a permit")]
#[test_case(9000, true => SilenceAction::Wait; "after the deadline")]
fn next_step(millis: u64, has_permit: bool) -> SilenceAction {
    let start = Instant::now();
    let now = start + Duration::from_millis(millis);
    let attempt = SilentAttempt { has_permit, ..silent_since(start) };
    attempt.next_step(now, &mut RetryBudget::new(ONE_RETRY, now))
}

#[test]
fn silence_ends_no_attempt_that_no_other_may_follow() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let silent = silent_since(start);
    let failure = silent.failure;
    let last_attempts = [
        FailedAttempt { is_idempotent: false, ..failure },
        FailedAttempt { attempts: 4, ..failure },
        FailedAttempt { has_started: true, can_resume: false, ..failure },
    ];
    for (failure, has_permit) in
        last_attempts.into_iter().flat_map(|last| [(last, false), (last, true)])
    {
        let mut budget = RetryBudget::new(RetryAllowance::Unbounded, now);
        let attempt = SilentAttempt { failure, has_permit, ..silent };
        assert_eq!(attempt.next_step(now, &mut budget), SilenceAction::Wait, "{attempt:?}");
    }
}

#[test]
fn only_a_move_is_charged_to_the_budget() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let seeking = silent_since(start);
    let moving = SilentAttempt { has_permit: true, ..seeking };
    let mut budget = RetryBudget::new(ONE_RETRY, now);
    for _ in 0..5 {
        assert_eq!(seeking.next_step(now, &mut budget), SilenceAction::Seek);
    }
    assert_eq!(moving.next_step(now, &mut budget), SilenceAction::Move);
    assert_eq!(seeking.next_step(now, &mut budget), SilenceAction::Wait);
    assert_eq!(moving.next_step(now, &mut budget), SilenceAction::Wait);
}

#[test]
fn a_stream_with_progress_moves_on_an_exhausted_budget() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let silent = silent_since(start);
    let failure = FailedAttempt { has_started: true, has_progress: true, ..silent.failure };
    let mut budget = RetryBudget::new(NO_RETRIES, now);
    let seeking = SilentAttempt { failure, ..silent };
    assert_eq!(seeking.next_step(now, &mut budget), SilenceAction::Seek);
    let moving = SilentAttempt { has_permit: true, ..seeking };
    assert_eq!(moving.next_step(now, &mut budget), SilenceAction::Move);
}

#[test]
fn the_next_check_follows_after_another_silence_period() {
    let start = Instant::now();
    let after = |millis: u64| start + Duration::from_millis(millis);
    let attempt = silent_since(start);
    assert_eq!(attempt.next_check(after(1000)), after(3000));
    assert_eq!(attempt.next_check(after(3000)), after(5000));
    assert_eq!(attempt.next_check(after(8500)), after(9500));
}
