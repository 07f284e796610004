//! What crashes of upstreams are recorded under, and identifiers of runs of upstreams.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::Error;

/// What requests have in common that may crash upstreams, such as a part of their prompts. Written
/// as 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

impl Key {
    /// Returns the key of a request that consists of `fields`. Equal requests have equal keys.
    pub fn of_request(fields: &[&[u8]]) -> Self {
        let mut hash = Xxh3::new();
        for field in fields {
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        Self(hash.digest())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| Error::InvalidKey { text: text.to_string() })
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
