//! Choice of the next action for an attempt whose upstream is silent.

use std::time::Instant;

use crate::{FailedAttempt, RetryBudget};

/// State of a running attempt when its silence is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilentAttempt {
    /// State of the request if the attempt were given up now.
    pub failure: FailedAttempt,
    /// Time of the last progress of the attempt.
    pub last_progress: Instant,
    /// Whether another upstream has granted a permit for the request.
    pub has_permit: bool,
}

/// Next action for a running attempt that may be silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceAction {
    /// Keep the attempt and check it again later.
    Wait,
    /// Keep the attempt and ask for a permit at another upstream.
    Seek,
    /// Give the attempt up for one at the upstream that granted the permit.
    Move,
}

impl SilentAttempt {
    /// Chooses the next action at `now`. A silent upstream may go on at any time, so the attempt
    /// is given up only for a permit. Only a move is charged to the `budget`.
    pub fn next_step(&self, now: Instant, budget: &mut RetryBudget) -> SilenceAction {
        let is_silent = now >= self.silence_deadline();
        if !is_silent || !self.failure.allows_another(now) {
            return SilenceAction::Wait;
        }
        let is_free = self.failure.has_progress;
        match self.has_permit {
            true if is_free || budget.take_retry(now) => SilenceAction::Move,
            false if is_free || budget.has_retry(now) => SilenceAction::Seek,
            _ => SilenceAction::Wait,
        }
    }

    /// Returns the time of the next check after one at `now` that kept the attempt.
    pub fn next_check(&self, now: Instant) -> Instant {
        let next = self.silence_deadline();
        if now < next { next } else { FailedAttempt::silence_deadline(now, self.failure.deadline) }
    }

    fn silence_deadline(&self) -> Instant {
        FailedAttempt::silence_deadline(self.last_progress, self.failure.deadline)
    }
}
