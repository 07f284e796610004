//! Model of an upstream's service times.

use std::time::Duration;

use crate::Tokens;

/// Smallest weight of a new sample in the moving averages.
const MIN_SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// Fewest finished requests for which the service time counts as known.
const MIN_SAMPLES: u32 = 4;

/// Fraction of the mean square below which the variance of the costs is too small for a fit.
const MIN_RELATIVE_VARIANCE: f64 = 1e-6;

/// Longest estimated duration.
const MAX_ESTIMATE: Duration = Duration::from_secs(3600);

/// Linear model of the service time by cost, fitted to moving averages of finished requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceTime {
    samples: u32,
    tokens: f64,
    seconds: f64,
    tokens_squared: f64,
    tokens_seconds: f64,
}

impl ServiceTime {
    /// Adds a finished request to the moving averages.
    pub(super) fn observe(&mut self, cost: Tokens, elapsed: Duration) {
        self.samples = self.samples.saturating_add(1);
        let sample_weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let (tokens, seconds) = (cost.0 as f64, elapsed.as_secs_f64());
        let update =
            |average: &mut f64, sample: f64| *average += sample_weight * (sample - *average);
        update(&mut self.tokens, tokens);
        update(&mut self.seconds, seconds);
        update(&mut self.tokens_squared, tokens * tokens);
        update(&mut self.tokens_seconds, tokens * seconds);
    }

    /// Returns whether enough requests have finished for an estimate.
    pub(super) fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES && self.tokens > 0.0
    }

    /// Returns the time that one slot takes for a request, or zero while the time is not known.
    pub(super) fn of_request(&self, cost: Tokens) -> Duration {
        if !self.is_known() {
            return Duration::ZERO;
        }
        let variance = self.tokens_squared - self.tokens * self.tokens;
        let seconds_per_token = self.seconds / self.tokens;
        let has_variance = variance > MIN_RELATIVE_VARIANCE * self.tokens_squared;
        let slope = if has_variance {
            ((self.tokens_seconds - self.tokens * self.seconds) / variance)
                .clamp(0.0, seconds_per_token)
        } else {
            seconds_per_token
        };
        to_duration(self.seconds + slope * (cost.0 as f64 - self.tokens))
    }

    /// Returns the time that one slot takes for many requests with `tokens` tokens in total, or
    /// zero while the time is not known.
    pub(super) fn total(&self, tokens: u64) -> Duration {
        if !self.is_known() {
            return Duration::ZERO;
        }
        to_duration(self.seconds / self.tokens * tokens as f64)
    }
}

fn to_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_ESTIMATE).min(MAX_ESTIMATE)
}

/// Returns the time in which `slot_count` slots that spend `percent` of their time on it complete
/// the `work` of one slot.
pub(super) fn drain_time(work: Duration, slot_count: u32, percent: u32) -> Duration {
    let slots = f64::from(slot_count.max(1)) * f64::from(percent.max(1)) / 100.0;
    to_duration(work.as_secs_f64() / slots)
}
