//! What an instance that is stopping still takes.

use std::time::{Duration, Instant};

/// For how long a stopping instance takes every request: balancers that ask every second need up
/// to two periods to see twice that it is not ready, and one for an answer on its way. It stays
/// below three seconds, up to which what is sent to a stopping instance may be cut at its end.
const OPEN_SPAN: Duration = Duration::from_millis(2900);

/// The planned stop of an instance.
#[derive(Debug, Clone, Copy)]
pub struct Departure {
    open_until: Instant,
    end: Instant,
}

impl Departure {
    /// A stop that begins at `now` and ends, with all requests that still run cut, at `end`.
    pub fn new(now: Instant, end: Instant) -> Self {
        Self { open_until: now + OPEN_SPAN, end }
    }

    /// Whether a request that is read at `now` and must be answered by `deadline` is taken. Later
    /// than most, only one that is over before the end: a caller whose answer would be cut is
    /// served better by another instance.
    pub fn takes(&self, now: Instant, deadline: Instant) -> bool {
        now < self.open_until || deadline <= self.end
    }
}
