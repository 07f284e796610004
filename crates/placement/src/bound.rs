//! The bound on the load of one upstream relative to the mean.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Candidate, Error};

const PERCENT: u64 = 100;

/// The multiple of the mean load that an upstream may carry, in percent; at least 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct Bound {
    percent: u32,
}

impl Default for Bound {
    fn default() -> Self {
        Self { percent: 125 }
    }
}

impl TryFrom<u32> for Bound {
    type Error = Error;

    fn try_from(percent: u32) -> Result<Self, Error> {
        if u64::from(percent) < PERCENT {
            Err(Error::Bound { percent })
        } else {
            Ok(Self { percent })
        }
    }
}

impl From<Bound> for u32 {
    fn from(bound: Bound) -> u32 {
        bound.percent
    }
}

impl FromStr for Bound {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.strip_suffix('%').unwrap_or(text);
        let percent: u32 = digits.parse().map_err(|_| Error::Text { text: text.to_string() })?;
        Self::try_from(percent)
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}%", self.percent)
    }
}

/// Requests in flight and slots of a set of upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// Requests in flight.
    pub in_flight: u64,
    /// Requests that the upstreams work on at once.
    pub slots: u64,
}

impl Sum {
    /// The sum over `candidates`.
    pub fn of(candidates: &[Candidate]) -> Self {
        candidates.iter().fold(Self::default(), |sum, candidate| Self {
            in_flight: sum.in_flight + u64::from(candidate.in_flight),
            slots: sum.slots + u64::from(candidate.slots),
        })
    }
}

impl Bound {
    /// Most requests in flight at an upstream with `slots`, one more request counted into the
    /// mean; rounded up.
    pub fn most(self, sum: Sum, slots: u32) -> u32 {
        let most = self.load(sum, slots).div_ceil(divisor(sum));
        u32::try_from(most).unwrap_or(u32::MAX)
    }

    /// The same rounded down, but at least one: for an owner that may not be the only one.
    pub fn most_rounded_down(self, sum: Sum, slots: u32) -> u32 {
        let most = self.load(sum, slots) / divisor(sum);
        u32::try_from(most).unwrap_or(u32::MAX).max(1)
    }

    fn load(self, sum: Sum, slots: u32) -> u64 {
        (sum.in_flight + 1) * u64::from(slots) * u64::from(self.percent)
    }
}

/// What the load of an upstream is divided by for its share of the bound.
fn divisor(sum: Sum) -> u64 {
    (sum.slots * PERCENT).max(1)
}
