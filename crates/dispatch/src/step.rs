//! What to do after a failed attempt.

use std::time::{Duration, Instant};

use crate::{Budget, Verdict};

/// Most attempts that a request gets of which the caller has received nothing.
const MAX_ATTEMPTS: usize = 4;

/// Most attempts that a started stream gets without going on.
const MAX_STREAM_ATTEMPTS: usize = 10;

/// Wait before the third attempt; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// Shortest silence after which an attempt is given up.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// Longest wait before an attempt.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// How a request stands when an attempt has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Whether the attempt may have run.
    pub verdict: Verdict,
    /// Whether the request may run twice without harm.
    pub is_idempotent: bool,
    /// Attempts made since the caller last received anything.
    pub attempts: usize,
    /// Whether the caller has received part of the answer.
    pub has_started: bool,
    /// Whether the caller received something of this attempt.
    pub has_progress: bool,
    /// Whether another attempt can go on where this one broke off.
    pub can_resume: bool,
    /// When the answer must be whole.
    pub deadline: Instant,
}

/// The next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Make another attempt from the start.
    Retry,
    /// Make another attempt from where the answer broke off.
    Resume,
    /// Tell the caller that the request failed.
    Refuse,
    /// Cut the answer so that the caller can tell that it is not whole.
    Cut,
}

impl Failure {
    /// Chooses the next step at `now`. Another attempt is taken from the `budget`, unless this one
    /// got the caller further: an engine that is lost must not cost all its callers their streams.
    pub fn next_step(&self, now: Instant, budget: &mut Budget) -> Step {
        let give_up = if self.has_started { Step::Cut } else { Step::Refuse };
        let go_on = match self.has_started {
            true if self.can_resume => Step::Resume,
            true => return Step::Cut,
            false => Step::Retry,
        };
        let is_harmless = self.verdict.allows_retry(self.is_idempotent);
        let limit = if self.has_started { MAX_STREAM_ATTEMPTS } else { MAX_ATTEMPTS };
        let has_time = self.attempts < limit && now < self.deadline;
        let is_affordable = |budget: &mut Budget| self.has_progress || budget.take_retry(now);
        if is_harmless && has_time && is_affordable(budget) { go_on } else { give_up }
    }

    /// How long to wait before the next of so many `attempts`; the second one comes at once.
    pub fn backoff(attempts: usize) -> Duration {
        match u32::try_from(attempts) {
            Ok(attempts @ 2..=16) => (FIRST_BACKOFF * (1 << (attempts - 2))).min(MAX_BACKOFF),
            Ok(0..=1) => Duration::ZERO,
            _ => MAX_BACKOFF,
        }
    }

    /// When an attempt that is silent from `now` on is given up for another one: after a third
    /// of the time that is left, but not before a second.
    pub fn silence_deadline(now: Instant, deadline: Instant) -> Instant {
        let left = deadline.saturating_duration_since(now);
        now + (left / 3).max(MIN_SILENCE)
    }
}
