//! Limits the number of retries in a sliding window of a fixed length.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of retries that all instances together may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Number of retries per request.
    pub ratio: f64,
    /// Number of additional retries of all instances together.
    pub extra: f64,
    /// Length of the window in which both are counted.
    pub span: Duration,
}

/// Share of the allowance that is used, since the windows of the instances are not aligned.
const USED_SHARE: f64 = 0.8;

/// Counts the requests and retries of this instance for one service.
///
/// Each instance limits itself to the ratio of its own requests and to its share of the additional
/// retries, so that all instances together stay within the allowance even while they cannot
/// communicate.
#[derive(Debug, Clone, Default)]
pub struct RetryWindow {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

fn drop_expired(times: &mut VecDeque<Instant>, now: Instant, span: Duration) {
    while times.front().is_some_and(|time| *time + span <= now) {
        times.pop_front();
    }
}

impl RetryWindow {
    /// Counts a request of a caller.
    pub fn count(&mut self, now: Instant, span: Duration) {
        drop_expired(&mut self.requests, now, span);
        self.requests.push_back(now);
    }

    /// Returns whether a retry is left at `now` in the share of this instance, one of `instances`.
    pub fn has_retry(&mut self, now: Instant, allowance: RetryAllowance, instances: usize) -> bool {
        drop_expired(&mut self.requests, now, allowance.span);
        drop_expired(&mut self.retries, now, allowance.span);
        let share = allowance.extra / instances.max(1) as f64;
        let max_retries = (self.requests.len() as f64 * allowance.ratio + share) * USED_SHARE;
        ((self.retries.len() + 1) as f64) <= max_retries
    }

    /// Takes one retry at `now`. Returns false when the share of this instance, one of `instances`,
    /// is used up.
    pub fn take(&mut self, now: Instant, allowance: RetryAllowance, instances: usize) -> bool {
        let is_allowed = self.has_retry(now, allowance, instances);
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }
}
