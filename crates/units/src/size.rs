//! Byte sizes, as they appear in settings.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Name of the quantity in error messages.
const NAME: &str = "byte size";

/// Size in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Size {
    bytes: usize,
}

impl Size {
    /// Returns a size of `bytes` bytes.
    pub const fn from_bytes(bytes: usize) -> Self {
        Self { bytes }
    }

    /// Returns a size of `kibibytes` KiB, each of 1,024 bytes.
    pub const fn from_kibibytes(kibibytes: usize) -> Self {
        Self { bytes: kibibytes * 1024 }
    }

    /// Returns the size in bytes.
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
        let (number, unit) = crate::split_unit(NAME, text)?;
        let factor = bytes_per(&unit).ok_or_else(|| Error::UnknownUnit {
            quantity: NAME,
            text: text.to_string(),
            unit,
        })?;
        let too_large = || Error::TooLarge { quantity: NAME, text: text.to_string() };
        let number = usize::try_from(number).map_err(|_| too_large())?;
        let bytes = number.checked_mul(factor).ok_or_else(too_large)?;
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

crate::impl_string_conversions!(Size);
