//! Estimates how long work takes on the machine of an upstream.

use std::time::{Duration, Instant};

/// Lowest and highest valid pace, in percent. A lower pace would draw all requests to one upstream,
/// and no machine is a hundred times slower than usual and still answers.
const VALID_PERCENT: std::ops::RangeInclusive<f64> = 10.0..=10_000.0;

/// Pace of an upstream that names none.
const USUAL_PERCENT: f64 = 100.0;

/// How long a named pace is valid. The pace of an engine changes about twice per second.
const VALIDITY: Duration = Duration::from_millis(500);

/// Time in which the estimate returns to the usual pace after the validity of the last named one.
const DECAY_DURATION: Duration = Duration::from_millis(500);

/// Time constant of the moving average: a fifth of the time for which a pace is valid.
const SMOOTHING_TIME: Duration = Duration::from_millis(100);

/// Minimum weight of a new figure, so that many figures at the same time have an effect.
const MIN_SAMPLE_WEIGHT: f64 = 0.3;

/// Time that work takes on the machine of an upstream, in percent of the usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace(u16);

impl Pace {
    /// Returns the pace of `percent`, or `None` if the figure is invalid.
    pub fn from_percent(percent: f64) -> Option<Self> {
        VALID_PERCENT.contains(&percent).then(|| Self(percent.round() as u16))
    }

    /// Returns the pace in percent.
    pub fn percent(self) -> u16 {
        self.0
    }
}

#[derive(Debug, Clone, Copy)]
struct Average {
    percent: f64,
    /// Time of the last figure.
    at: Instant,
}

/// Moving average of the pace that an upstream names in its answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceEstimate {
    average: Option<Average>,
}

impl PaceEstimate {
    /// Records that the upstream named `pace` at `at`. A figure that is older than the last one is
    /// ignored.
    pub fn record(&mut self, at: Instant, pace: Pace) {
        let sample = f64::from(pace.0);
        let percent = match self.average {
            Some(last) if at < last.at => return,
            Some(last) if at < last.at + VALIDITY => {
                let age = (at - last.at).as_secs_f64();
                let weight = 1.0 - (-age / SMOOTHING_TIME.as_secs_f64()).exp();
                last.percent + (sample - last.percent) * weight.max(MIN_SAMPLE_WEIGHT)
            }
            _ => sample,
        };
        self.average = Some(Average { percent, at });
    }

    /// Returns the estimate at `now`, in percent. The estimate is 100 without a recent figure.
    pub fn percent(&self, now: Instant) -> f64 {
        let Some(Average { percent, at }) = self.average else {
            return USUAL_PERCENT;
        };
        let expired_for = now.saturating_duration_since(at + VALIDITY).as_secs_f64();
        let weight = (1.0 - expired_for / DECAY_DURATION.as_secs_f64()).max(0.0);
        USUAL_PERCENT + (percent - USUAL_PERCENT) * weight
    }

    /// Returns whether the upstream has named a pace.
    pub fn is_reported(&self) -> bool {
        self.average.is_some()
    }
}
