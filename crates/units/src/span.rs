//! Time spans, as they appear in settings.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Name of the quantity in error messages.
const NAME: &str = "span of time";

/// Time span with a resolution of one millisecond. The replicated state stores deadlines that are
/// computed from time spans.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Span {
    millis: u64,
}

impl Span {
    /// Returns a time span of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self { millis }
    }

    /// Returns a time span of `seconds` seconds.
    pub const fn from_seconds(seconds: u64) -> Self {
        Self { millis: seconds * 1000 }
    }

    /// Returns the length in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.millis
    }

    /// Returns the length as a [`Duration`].
    pub const fn as_duration(self) -> Duration {
        Duration::from_millis(self.millis)
    }
}

fn millis_per(unit: &str) -> Option<u64> {
    match unit {
        "ms" => Some(1),
        "s" => Some(1000),
        "m" => Some(60_000),
        "h" => Some(3_600_000),
        "d" => Some(86_400_000),
        _ => None,
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (number, unit) = crate::split_unit(NAME, text)?;
        let factor = millis_per(&unit).ok_or_else(|| Error::UnknownUnit {
            quantity: NAME,
            text: text.to_string(),
            unit,
        })?;
        let millis = number
            .checked_mul(factor)
            .ok_or_else(|| Error::TooLarge { quantity: NAME, text: text.to_string() })?;
        Ok(Self { millis })
    }
}

impl fmt::Display for Span {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for unit in ["d", "h", "m", "s"] {
            let factor = millis_per(unit).unwrap_or(1);
            if self.millis >= factor && self.millis.is_multiple_of(factor) {
                return write!(formatter, "{}{unit}", self.millis / factor);
            }
        }
        write!(formatter, "{}ms", self.millis)
    }
}

crate::impl_string_conversions!(Span);
