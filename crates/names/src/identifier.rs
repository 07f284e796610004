//! Numeric identifiers that the system generates.

use std::fmt;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::Error;

/// Defines a newtype over `u64` that is written as 16 hexadecimal digits.
macro_rules! define_identifier {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $type(pub u64);

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:016x}", self.0)
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                u64::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| Error::InvalidNumber { kind: $kind, text: text.to_string() })
            }
        }
    };
}

define_identifier!(
    /// Identifier of a request of a caller, unique in the fleet.
    Request,
    "request id"
);
define_identifier!(
    /// Identifier of one attempt to have an upstream answer a request, unique in the fleet.
    Attempt,
    "attempt id"
);
define_identifier!(
    /// Incarnation of an instance. A restarted process has a greater incarnation.
    Incarnation,
    "incarnation"
);

impl Incarnation {
    /// Returns the incarnation of a process that starts now: the wall clock in microseconds since
    /// the Unix epoch. A later process has a greater incarnation unless the clock was set back in
    /// the meantime.
    pub fn from_clock() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
    }
}
