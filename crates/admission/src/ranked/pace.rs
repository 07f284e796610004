//! The measured service rate of an upstream.

use std::time::Duration;

use crate::Tokens;

/// Weight of the newest sample in the moving average.
const GAIN: f64 = 1.0 / 16.0;

/// Longest span of time that is forecast.
const MAX_FORECAST: Duration = Duration::from_secs(3600);

/// Seconds that one slot takes for one token: a moving average over finished requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pace {
    seconds_per_token: Option<f64>,
}

impl Pace {
    /// Takes a finished request. One without tokens, such as an error at once, tells nothing.
    pub(super) fn observe(&mut self, used: Tokens, elapsed: Duration) {
        if used.0 == 0 {
            return;
        }
        let sample = elapsed.as_secs_f64() / used.0 as f64;
        let average = self.seconds_per_token.unwrap_or(sample);
        self.seconds_per_token = Some(average + GAIN * (sample - average));
    }

    /// How long one slot takes for `tokens`; zero before the first sample.
    pub(super) fn service(&self, tokens: u64) -> Duration {
        scale(self.seconds_per_token.unwrap_or(0.0), tokens as f64)
    }

    /// How long `room` slots take for `tokens` when they give it `percent` of their time.
    pub(super) fn drain(&self, tokens: u64, room: u32, percent: u32) -> Duration {
        let slots = f64::from(room.max(1)) * f64::from(percent.max(1)) / 100.0;
        scale(self.seconds_per_token.unwrap_or(0.0), tokens as f64 / slots)
    }
}

fn scale(seconds: f64, factor: f64) -> Duration {
    Duration::try_from_secs_f64(seconds * factor).unwrap_or(MAX_FORECAST).min(MAX_FORECAST)
}
