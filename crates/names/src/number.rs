//! Numbers that the system gives to things.

use std::fmt;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::Error;

macro_rules! number {
    ($(#[$doc:meta])* $type:ident, $what:literal) => {
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
                    .map_err(|_| Error::Number { what: $what, text: text.to_string() })
            }
        }
    };
}

number!(
    /// One request of a caller, unique in the fleet.
    Request,
    "request id"
);
number!(
    /// One attempt to have an upstream answer a request, unique in the fleet.
    Attempt,
    "attempt id"
);
number!(
    /// One run of an instance: a restarted process has a greater one.
    Incarnation,
    "incarnation"
);

impl Incarnation {
    /// The wall clock in microseconds, so that a later run has a greater number unless the clock
    /// was set back meanwhile.
    pub fn of_clock() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
    }
}
