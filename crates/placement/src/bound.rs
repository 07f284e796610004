//! The bound on the load of one upstream relative to the mean load.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Candidate, Error};

const PERCENT: u64 = 100;

/// Maximum load of an upstream as a multiple of the mean load, in percent; at least 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct LoadBound {
    percent: u32,
}

impl Default for LoadBound {
    fn default() -> Self {
        Self { percent: 125 }
    }
}

impl TryFrom<u32> for LoadBound {
    type Error = Error;

    fn try_from(percent: u32) -> Result<Self, Error> {
        if u64::from(percent) < PERCENT {
            Err(Error::Bound { percent })
        } else {
            Ok(Self { percent })
        }
    }
}

impl From<LoadBound> for u32 {
    fn from(bound: LoadBound) -> u32 {
        bound.percent
    }
}

impl FromStr for LoadBound {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.strip_suffix('%').unwrap_or(text);
        let percent: u32 = digits.parse().map_err(|_| Error::Text { text: text.to_string() })?;
        Self::try_from(percent)
    }
}

impl fmt::Display for LoadBound {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}%", self.percent)
    }
}

/// Total requests in flight and total slots of a set of upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TotalLoad {
    /// Number of requests in flight.
    pub in_flight: u64,
    /// Number of requests that the upstreams can process at once.
    pub slots: u64,
}

impl TotalLoad {
    /// Returns the total over `candidates`.
    pub fn of(candidates: &[Candidate]) -> Self {
        candidates.iter().fold(Self::default(), |total, candidate| Self {
            in_flight: total.in_flight + u64::from(candidate.in_flight),
            slots: total.slots + u64::from(candidate.slots),
        })
    }
}

impl LoadBound {
    /// Returns the maximum number of requests in flight at an upstream with `slots` slots, rounded
    /// up. The mean counts one request more than `total`, the one that is being placed.
    pub fn max_in_flight(self, total: TotalLoad, slots: u32) -> u32 {
        let limit = self.scaled_load(total, slots).div_ceil(divisor(total));
        u32::try_from(limit).unwrap_or(u32::MAX)
    }

    /// Returns the same number as [`LoadBound::max_in_flight`], but rounded down and at least one,
    /// for an owner that may not be the only owner.
    pub fn max_in_flight_rounded_down(self, total: TotalLoad, slots: u32) -> u32 {
        let limit = self.scaled_load(total, slots) / divisor(total);
        u32::try_from(limit).unwrap_or(u32::MAX).max(1)
    }

    /// Returns the load for an upstream with `slots` slots, multiplied by the [`divisor`].
    fn scaled_load(self, total: TotalLoad, slots: u32) -> u64 {
        (total.in_flight + 1) * u64::from(slots) * u64::from(self.percent)
    }
}

/// Returns the divisor that converts the scaled load into a number of requests for one upstream.
fn divisor(total: TotalLoad) -> u64 {
    (total.slots * PERCENT).max(1)
}
