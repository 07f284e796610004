//! How many retries the live traffic may cause.

use std::time::{Duration, Instant};

/// A whole retry, in the unit in which a budget is counted.
const RETRY: u64 = 1000;

/// Most retries that are saved up.
const MAX_SAVED: u64 = 100;

/// How retries are limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Allowance {
    /// Every failure that may be retried is retried.
    Unbounded,
    /// A share of the requests, and some retries a second in any case.
    Share {
        /// Retries for 100 requests.
        percent: u32,
        /// Retries a second that quiet traffic may have.
        per_second: u32,
    },
}

/// Counts requests and retries, so that retries stay a share of the live traffic.
#[derive(Debug, Clone)]
pub struct Budget {
    allowance: Allowance,
    saved: u64,
    refilled: Instant,
}

impl Budget {
    /// A budget at `now` that holds the retries of one second.
    pub fn new(allowance: Allowance, now: Instant) -> Self {
        let saved = match allowance {
            Allowance::Unbounded => 0,
            Allowance::Share { per_second, .. } => u64::from(per_second) * RETRY,
        };
        Self { allowance, saved, refilled: now }
    }

    /// Counts a new request.
    pub fn count_request(&mut self) {
        if let Allowance::Share { percent, .. } = self.allowance {
            self.save(u64::from(percent) * RETRY / 100);
        }
    }

    /// Takes one retry at `now`; false when the budget has none left.
    pub fn take_retry(&mut self, now: Instant) -> bool {
        let Allowance::Share { per_second, .. } = self.allowance else {
            return true;
        };
        self.refill(now, per_second);
        if self.saved < RETRY {
            return false;
        }
        self.saved -= RETRY;
        true
    }

    /// How long after `now` the next retry is affordable without new traffic.
    pub fn next_retry(&self, now: Instant) -> Duration {
        match self.allowance {
            Allowance::Share { per_second, .. } if self.saved < RETRY => {
                let missing = (RETRY - self.saved) * 1000 / RETRY;
                let wait = Duration::from_millis(missing / u64::from(per_second.max(1)));
                (self.refilled + wait).saturating_duration_since(now)
            }
            _ => Duration::ZERO,
        }
    }

    fn refill(&mut self, now: Instant, per_second: u32) {
        let elapsed = now.saturating_duration_since(self.refilled);
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.refilled += Duration::from_millis(millis);
        self.save(millis.saturating_mul(u64::from(per_second)).saturating_mul(RETRY) / 1000);
    }

    fn save(&mut self, amount: u64) {
        self.saved = self.saved.saturating_add(amount).min(MAX_SAVED * RETRY);
    }
}
