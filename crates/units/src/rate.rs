//! Rates, as they appear in settings and declarations.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Name of the quantity in error messages.
const NAME: &str = "rate";

/// Number of events per second or minute. The resolution is one event per minute.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Rate {
    per_minute: u64,
}

impl Rate {
    /// Returns a rate of `count` events per second.
    pub const fn per_second(count: u64) -> Self {
        Self { per_minute: count * 60 }
    }

    /// Returns the number of events per second.
    pub fn as_per_second(self) -> f64 {
        self.per_minute as f64 / 60.0
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (number, unit) = crate::split_unit(NAME, text)?;
        let factor = match unit.as_str() {
            "/s" => 60,
            "/m" => 1,
            _ => return Err(Error::UnknownUnit { quantity: NAME, text: text.to_string(), unit }),
        };
        let per_minute = number
            .checked_mul(factor)
            .ok_or_else(|| Error::TooLarge { quantity: NAME, text: text.to_string() })?;
        Ok(Self { per_minute })
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.per_minute.is_multiple_of(60) {
            write!(formatter, "{}/s", self.per_minute / 60)
        } else {
            write!(formatter, "{}/m", self.per_minute)
        }
    }
}

crate::impl_string_conversions!(Rate);
