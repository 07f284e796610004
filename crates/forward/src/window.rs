//! How much may be sent again, in any span of a fixed length.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// What all instances together may send again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that, in all instances together.
    pub extra: f64,
    /// The span that both are counted in.
    pub span: Duration,
}

/// Share of the allowance that is used, since instances count their spans apart.
const USED_SHARE: f64 = 0.8;

/// Counts the requests and repeats of this instance for one service.
///
/// Each instance keeps to the ratio by its own requests and to its share of the rest, so that all
/// together keep to the allowance also while they cannot talk to each other.
#[derive(Debug, Clone, Default)]
pub struct Window {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

fn forget(times: &mut VecDeque<Instant>, now: Instant, span: Duration) {
    while times.front().is_some_and(|time| *time + span <= now) {
        times.pop_front();
    }
}

impl Window {
    /// Counts a request of a caller.
    pub fn count(&mut self, now: Instant, span: Duration) {
        forget(&mut self.requests, now, span);
        self.requests.push_back(now);
    }

    /// Takes one repeat at `now`; false when none is left to this one of so many `instances`.
    pub fn take(&mut self, now: Instant, allowance: Allowance, instances: usize) -> bool {
        forget(&mut self.requests, now, allowance.span);
        forget(&mut self.repeats, now, allowance.span);
        let share = allowance.extra / instances.max(1) as f64;
        let most = (self.requests.len() as f64 * allowance.ratio + share) * USED_SHARE;
        let is_left = ((self.repeats.len() + 1) as f64) <= most;
        if is_left {
            self.repeats.push_back(now);
        }
        is_left
    }
}
