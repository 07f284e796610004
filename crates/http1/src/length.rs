//! Length of a body.

use std::fmt;
use std::str::FromStr;

use crate::Rule;

/// Length of a body in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Length(pub u64);

impl fmt::Display for Length {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for Length {
    type Err = Rule;

    /// Parses one or more digits. The parser of integers would also accept a sign.
    fn from_str(text: &str) -> Result<Self, Rule> {
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(Rule::ContentLength);
        }
        text.parse().map(Self).map_err(|_| Rule::ContentLength)
    }
}
