//! Choice of the next action after a failed attempt.

use std::time::{Duration, Instant};

use crate::{RetryBudget, Verdict};

/// Largest number of attempts for a request of which the caller has received nothing.
const MAX_ATTEMPTS: usize = 4;

/// Largest number of attempts for a started stream without progress.
const MAX_STREAM_ATTEMPTS: usize = 10;

/// Delay before the third attempt. The delay doubles with each further attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Shortest time without progress after which an attempt is silent.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest delay before an attempt.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// State of a request when one of its attempts has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the upstream may have run the failed attempt.
    pub verdict: Verdict,
    /// Whether the request is idempotent, so that it may run more than once.
    pub is_idempotent: bool,
    /// Number of attempts since the caller last received any data.
    pub attempts: usize,
    /// Whether the caller has received part of the response.
    pub has_started: bool,
    /// Whether the caller received data of the failed attempt.
    pub has_progress: bool,
    /// Whether another attempt can resume the stream where the failed attempt stopped.
    pub can_resume: bool,
    /// Deadline for the complete response.
    pub deadline: Instant,
    /// Whether another attempt could crash another upstream.
    pub is_dangerous: bool,
}

/// Next action after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureAction {
    /// Make another attempt from the beginning.
    Retry,
    /// Make another attempt that resumes the response where the failed attempt stopped.
    Resume,
    /// Respond to the caller with an error.
    Refuse,
    /// Abort the response in a way that lets the caller detect that the response is incomplete.
    Truncate,
}

impl FailedAttempt {
    /// Chooses the next action at `now`. Another attempt is charged to the `budget` unless the
    /// failed attempt delivered data to the caller. Otherwise the loss of one engine could exhaust
    /// the budget and abort the streams of all its callers.
    pub fn next_step(&self, now: Instant, budget: &mut RetryBudget) -> FailureAction {
        let (proceed, abandon) = match self.has_started {
            true => (FailureAction::Resume, FailureAction::Truncate),
            false => (FailureAction::Retry, FailureAction::Refuse),
        };
        let is_affordable = |budget: &mut RetryBudget| self.has_progress || budget.take_retry(now);
        if self.allows_another(now) && is_affordable(budget) { proceed } else { abandon }
    }

    /// Returns whether another attempt may follow at `now` if the budget allows it.
    pub(crate) fn allows_another(&self, now: Instant) -> bool {
        let can_continue = !self.has_started || self.can_resume;
        let is_safe = self.verdict.allows_retry(self.is_idempotent);
        let limit = if self.has_started { MAX_STREAM_ATTEMPTS } else { MAX_ATTEMPTS };
        let is_allowed = can_continue && is_safe && !self.is_dangerous;
        is_allowed && self.attempts < limit && now < self.deadline
    }

    /// Returns the delay before the next attempt after `attempts` attempts. The second attempt
    /// follows without delay.
    pub fn backoff(attempts: usize) -> Duration {
        match u32::try_from(attempts) {
            Ok(attempts @ 2..=16) => (INITIAL_BACKOFF * (1 << (attempts - 2))).min(MAX_BACKOFF),
            Ok(0..=1) => Duration::ZERO,
            _ => MAX_BACKOFF,
        }
    }

    /// Returns the time from which an attempt without progress since `now` is silent: after a third
    /// of the time until `deadline`, but after at least one second.
    pub fn silence_deadline(now: Instant, deadline: Instant) -> Instant {
        let remaining = deadline.saturating_duration_since(now);
        now + (remaining / 3).max(MIN_SILENCE_TIMEOUT)
    }
}
