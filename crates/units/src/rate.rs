//! Rates, as written in settings and declarations.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

const WHAT: &str = "rate";

/// A number of events a minute.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Rate {
    per_minute: u64,
}

impl Rate {
    /// A rate of `count` events a second.
    pub const fn per_second(count: u64) -> Self {
        Self { per_minute: count * 60 }
    }

    /// Events a second.
    pub fn as_per_second(self) -> f64 {
        self.per_minute as f64 / 60.0
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (number, unit) = crate::split(WHAT, text)?;
        let factor = match unit.as_str() {
            "/s" => 60,
            "/m" => 1,
            _ => return Err(Error::Unit { what: WHAT, text: text.to_string(), unit }),
        };
        let per_minute = number
            .checked_mul(factor)
            .ok_or_else(|| Error::Large { what: WHAT, text: text.to_string() })?;
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

crate::text_form!(Rate);
