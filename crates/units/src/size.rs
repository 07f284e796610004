//! Byte sizes, as written in settings.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

const WHAT: &str = "byte size";

/// A number of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Size {
    bytes: usize,
}

impl Size {
    /// A size of `bytes` bytes.
    pub const fn from_bytes(bytes: usize) -> Self {
        Self { bytes }
    }

    /// A size of `kibibytes` times 1,024 bytes.
    pub const fn from_kibibytes(kibibytes: usize) -> Self {
        Self { bytes: kibibytes * 1024 }
    }

    /// The number of bytes.
    pub const fn as_bytes(self) -> usize {
        self.bytes
    }
}

fn bytes_per(unit: &str) -> Option<usize> {
    match unit {
        "B" => Some(1),
        "KiB" => Some(1 << 10),
        "MiB" => Some(1 << 20),
        "GiB" => Some(1 << 30),
        _ => None,
    }
}

impl FromStr for Size {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (number, unit) = crate::split(WHAT, text)?;
        let factor = bytes_per(&unit).ok_or_else(|| Error::Unit {
            what: WHAT,
            text: text.to_string(),
            unit,
        })?;
        let large = || Error::Large { what: WHAT, text: text.to_string() };
        let number = usize::try_from(number).map_err(|_| large())?;
        let bytes = number.checked_mul(factor).ok_or_else(large)?;
        Ok(Self { bytes })
    }
}

impl fmt::Display for Size {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for unit in ["GiB", "MiB", "KiB"] {
            let factor = bytes_per(unit).unwrap_or(1);
            if self.bytes >= factor && self.bytes.is_multiple_of(factor) {
                return write!(formatter, "{}{unit}", self.bytes / factor);
            }
        }
        write!(formatter, "{}B", self.bytes)
    }
}

crate::text_form!(Size);
