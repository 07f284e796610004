//! Identifiers of parts of prompts and of runs of upstreams.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Identifier of a part of a prompt, written as 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Part(pub u64);

impl fmt::Display for Part {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for Part {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| Error::InvalidPart { text: text.to_string() })
    }
}

/// One run of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// Short hash of the name of the upstream.
    pub upstream: u32,
    /// Start of the run.
    pub born: u64,
}
