//! Estimate of the ledger time on one instance.

use std::time::Instant;

use crate::Time;

/// Estimates the ledger time from the last observed ledger time and the monotonic clock.
///
/// The estimate lags by the delay of the last observation and is never ahead of the ledger time.
/// A wall clock that jumps or an instance that was frozen therefore cannot make a record expire
/// early.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock {
    last_observed: Option<(Instant, Time)>,
}

impl Clock {
    /// Returns the estimated ledger time at `now`, or zero before the first observation.
    pub fn time(&self, now: Instant) -> Time {
        match self.last_observed {
            Some((observed_at, time)) => time.after(now.saturating_duration_since(observed_at)),
            None => Time::default(),
        }
    }

    /// Records that the ledger reported `time` and that the report arrived at `now`.
    pub fn observe(&mut self, now: Instant, time: Time) {
        if self.last_observed.is_none() || time > self.time(now) {
            self.last_observed = Some((now, time));
        }
    }
}
