//! An instance's estimate of the ledger's time.

use std::time::Instant;

use crate::Time;

/// Estimates the ledger's time from the last one seen and the monotonic clock.
///
/// The estimate lags by the delay of what was seen last. It is never ahead, so that no record
/// expires early through a wall clock that jumps or an instance that was frozen.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock {
    seen: Option<(Instant, Time)>,
}

impl Clock {
    /// The ledger's time at `now`, zero while none has been seen.
    pub fn time(&self, now: Instant) -> Time {
        match self.seen {
            Some((at, time)) => time.after(now.saturating_duration_since(at)),
            None => Time::default(),
        }
    }

    /// Takes a time that the ledger gave, seen at `now`.
    pub fn observe(&mut self, now: Instant, time: Time) {
        if self.seen.is_none() || time > self.time(now) {
            self.seen = Some((now, time));
        }
    }
}
