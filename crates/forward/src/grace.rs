//! Time limits of a graceful shutdown.

use std::ops::Range;
use std::time::{Duration, Instant};

/// Interval between two beats of a heartbeat.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two beats from which on the process was held up.
const HOLD_UP_INTERVAL: Duration = Duration::from_millis(120);

/// Time after a hold-up within which the process has not handled all that waited meanwhile.
const CATCH_UP_TIME: Duration = Duration::from_millis(200);

/// Longest time for which a signal is taken to have waited. A longer one would leave too little time
/// for the requests in progress if the signal did not wait.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Fraction of the time limit after which requests in progress are aborted.
const END_FRACTION: f64 = 0.9;

/// Fraction of the time limit for which requests in progress continue in any case. The platform
/// allows aborts only in the last sixth.
const MIN_END_FRACTION: f64 = 0.84;

/// Records when the process was last held up, so that a signal that it receives afterwards may have
/// waited.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    last: Instant,
    hold_up: Option<Range<Instant>>,
}

impl Heartbeat {
    /// Creates a heartbeat whose first beat is at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last: now, hold_up: None }
    }

    /// Records a beat.
    pub fn beat(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last) >= HOLD_UP_INTERVAL {
            // Between two hold-ups in quick succession, a signal may not have been handled.
            let previous = self.hold_up.take().filter(|previous| {
                self.last.saturating_duration_since(previous.end) < CATCH_UP_TIME
            });
            self.hold_up = Some(previous.map_or(self.last, |previous| previous.start)..now);
        }
        self.last = now;
    }

    /// Returns the earliest time at which a signal that was received at `received_at` may have been
    /// sent, as known at `now`.
    pub fn earliest_sending(&self, received_at: Instant, now: Instant) -> Instant {
        let mut heartbeat = self.clone();
        heartbeat.beat(now);
        let hold_up = heartbeat.hold_up.filter(|hold_up| {
            hold_up.contains(&received_at)
                || received_at.saturating_duration_since(hold_up.end) < CATCH_UP_TIME
        });
        hold_up.map_or(received_at, |hold_up| hold_up.start.min(received_at))
    }
}

/// Time limits of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grace {
    /// Time from which the limits count.
    pub begin: Instant,
    /// Time at which requests in progress are aborted.
    pub end: Instant,
}

impl Grace {
    /// Returns the limits for a signal that was sent between `earliest` and `received_at`, if the
    /// process is killed `limit` after the signal.
    pub fn new(earliest: Instant, received_at: Instant, limit: Duration) -> Self {
        let begin = received_at.checked_sub(MAX_WAIT).map_or(earliest, |bound| bound.max(earliest));
        let min_end = received_at + limit.mul_f64(MIN_END_FRACTION);
        let end = min_end.max(begin + limit.mul_f64(END_FRACTION));
        Self { begin, end }
    }
}
