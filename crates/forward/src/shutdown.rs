//! Requests that an instance accepts while it shuts down.

use std::time::{Duration, Instant};

/// How long an instance that shuts down accepts every request. A load balancer that checks
/// readiness every second needs up to two periods to see two failed checks, and one more for a
/// response in transit. The duration stays below three seconds: requests sent to a stopping
/// instance up to that time may be cut at the end of the shutdown.
const ACCEPT_ALL_DURATION: Duration = Duration::from_millis(2900);

/// Graceful shutdown of an instance.
#[derive(Debug, Clone, Copy)]
pub struct Shutdown {
    accepts_all_until: Instant,
    end: Instant,
}

impl Shutdown {
    /// Creates a shutdown that begins at `now` and cuts all requests that still run at `end`.
    pub fn new(now: Instant, end: Instant) -> Self {
        Self { accepts_all_until: now + ACCEPT_ALL_DURATION, end }
    }

    /// Returns whether a request that is read at `now` and must be answered by `deadline` is
    /// accepted. After the first seconds, only requests whose deadline is not after the end of the
    /// shutdown are accepted, because the response to any other request could be cut. Another
    /// instance can complete such a request.
    pub fn accepts(&self, now: Instant, deadline: Instant) -> bool {
        now < self.accepts_all_until || deadline <= self.end
    }
}
