//! Retry budget that limits retries to a share of the live traffic.

use std::time::{Duration, Instant};

/// Budget units that one retry costs.
const UNITS_PER_RETRY: u64 = 1000;

/// Largest number of retries that the budget accumulates.
const MAX_SAVED_RETRIES: u64 = 100;

/// Limit on the number of retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAllowance {
    /// Every retryable failure is retried.
    Unbounded,
    /// Retries are limited to a share of the requests plus a fixed rate.
    Ratio {
        /// Retries per 100 requests.
        percent: u32,
        /// Retries per second that are allowed independently of the request rate.
        per_second: u32,
    },
}

/// Token bucket that keeps retries within a share of the live traffic.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    saved_units: u64,
    last_refill: Instant,
}

impl RetryBudget {
    /// Creates a budget at `now` that holds the retries of one second.
    pub fn new(allowance: RetryAllowance, now: Instant) -> Self {
        let saved_units = match allowance {
            RetryAllowance::Unbounded => 0,
            RetryAllowance::Ratio { per_second, .. } => u64::from(per_second) * UNITS_PER_RETRY,
        };
        Self { allowance, saved_units, last_refill: now }
    }

    /// Records a new request, which adds its share of a retry to the budget.
    pub fn count_request(&mut self) {
        if let RetryAllowance::Ratio { percent, .. } = self.allowance {
            self.add_units(u64::from(percent) * UNITS_PER_RETRY / 100);
        }
    }

    /// Takes one retry from the budget at `now`. Returns false if the budget is exhausted.
    pub fn take_retry(&mut self, now: Instant) -> bool {
        let has_retry = self.has_retry(now);
        if has_retry && self.allowance != RetryAllowance::Unbounded {
            self.saved_units -= UNITS_PER_RETRY;
        }
        has_retry
    }

    /// Returns whether the budget allows a retry at `now`, without taking it.
    pub fn has_retry(&mut self, now: Instant) -> bool {
        let RetryAllowance::Ratio { per_second, .. } = self.allowance else {
            return true;
        };
        self.refill(now, per_second);
        self.saved_units >= UNITS_PER_RETRY
    }

    /// Returns the time from `now` until the budget allows a retry without new requests.
    pub fn next_retry(&self, now: Instant) -> Duration {
        match self.allowance {
            RetryAllowance::Ratio { per_second, .. } if self.saved_units < UNITS_PER_RETRY => {
                let missing_millis = (UNITS_PER_RETRY - self.saved_units) * 1000 / UNITS_PER_RETRY;
                let wait = Duration::from_millis(missing_millis / u64::from(per_second.max(1)));
                (self.last_refill + wait).saturating_duration_since(now)
            }
            _ => Duration::ZERO,
        }
    }

    fn refill(&mut self, now: Instant, per_second: u32) {
        let elapsed = now.saturating_duration_since(self.last_refill);
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.last_refill += Duration::from_millis(millis);
        self.add_units(
            millis.saturating_mul(u64::from(per_second)).saturating_mul(UNITS_PER_RETRY) / 1000,
        );
    }

    fn add_units(&mut self, amount: u64) {
        self.saved_units =
            self.saved_units.saturating_add(amount).min(MAX_SAVED_RETRIES * UNITS_PER_RETRY);
    }
}
