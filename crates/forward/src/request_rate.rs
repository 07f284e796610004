//! Rates of requests.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Highest rate, in requests per second, that an upstream can reasonably ask for.
const MAX_PER_SECOND: f64 = 1e6;

/// Lowest rate that is applied. An upstream that wants no requests gets one now and then, since only
/// its answers say that it wants more again.
const MIN_PER_SECOND: f64 = 0.05;

/// Number of requests per second, between 0 and a million.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

/// Error from a number or text that is not a rate of requests.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "\"{text}\" is not a number of requests per second; help: use a decimal number from 0 to 1000000"
)]
pub struct InvalidRate {
    /// The rejected text.
    text: String,
}

impl RequestRate {
    /// Returns the number of requests per second that is applied.
    pub fn as_per_second(self) -> f64 {
        self.0.max(MIN_PER_SECOND)
    }

    /// Returns the time between two requests at this rate.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.as_per_second())
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        match (0.0..=MAX_PER_SECOND).contains(&per_second) {
            true => Ok(Self(per_second)),
            false => Err(InvalidRate { text: per_second.to_string() }),
        }
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl FromStr for RequestRate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<Self, InvalidRate> {
        let per_second: Option<f64> = text.trim().parse().ok();
        let rate = per_second.and_then(|per_second| Self::try_from(per_second).ok());
        rate.ok_or_else(|| InvalidRate { text: text.to_string() })
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.0)
    }
}
