//! The measured service times of an upstream.

use std::time::Duration;

use crate::Tokens;

/// Least weight of the newest sample in the moving averages.
const GAIN: f64 = 1.0 / 16.0;

/// Finished requests before which a service time counts as unknown.
const MIN_SAMPLES: u32 = 4;

/// Part of the mean square below which the spread of costs says nothing.
const MIN_SPREAD: f64 = 1e-6;

/// Longest span of time that is forecast.
const MAX_FORECAST: Duration = Duration::from_secs(3600);

/// Service time by cost: a line through moving averages of finished requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pace {
    samples: u32,
    tokens: f64,
    seconds: f64,
    tokens_squared: f64,
    tokens_seconds: f64,
}

impl Pace {
    /// Takes a finished request.
    pub(super) fn observe(&mut self, cost: Tokens, elapsed: Duration) {
        self.samples = self.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        let (tokens, seconds) = (cost.0 as f64, elapsed.as_secs_f64());
        let blend = |average: &mut f64, sample: f64| *average += gain * (sample - *average);
        blend(&mut self.tokens, tokens);
        blend(&mut self.seconds, seconds);
        blend(&mut self.tokens_squared, tokens * tokens);
        blend(&mut self.tokens_seconds, tokens * seconds);
    }

    /// Whether enough requests finished to tell.
    pub(super) fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES && self.tokens > 0.0
    }

    /// How long one slot takes for a request; zero while that is not known.
    pub(super) fn service(&self, cost: Tokens) -> Duration {
        if !self.is_known() {
            return Duration::ZERO;
        }
        let spread = self.tokens_squared - self.tokens * self.tokens;
        let rate = self.seconds / self.tokens;
        let is_spread = spread > MIN_SPREAD * self.tokens_squared;
        let slope = if is_spread {
            ((self.tokens_seconds - self.tokens * self.seconds) / spread).clamp(0.0, rate)
        } else {
            rate
        };
        span(self.seconds + slope * (cost.0 as f64 - self.tokens))
    }

    /// How long one slot takes for many requests with `tokens` together.
    pub(super) fn work(&self, tokens: u64) -> Duration {
        if !self.is_known() {
            return Duration::ZERO;
        }
        span(self.seconds / self.tokens * tokens as f64)
    }
}

fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_FORECAST).min(MAX_FORECAST)
}

/// How long `room` slots take for `work` of one slot when they give it `percent` of their time.
pub(super) fn drain(work: Duration, room: u32, percent: u32) -> Duration {
    let slots = f64::from(room.max(1)) * f64::from(percent.max(1)) / 100.0;
    span(work.as_secs_f64() / slots)
}
