//! Names that operators and callers choose.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 96;

fn is_allowed(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '.' | '_' | '-' | ':' | '/')
}

fn validate(kind: &'static str, name: &str) -> Result<(), Error> {
    if name.is_empty() {
        return Err(Error::Empty { kind, limit: MAX_NAME_BYTES });
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(Error::TooLong {
            kind,
            name: name.chars().take(MAX_NAME_BYTES).collect(),
            length: name.len(),
            limit: MAX_NAME_BYTES,
        });
    }
    match name.chars().find(|character| !is_allowed(*character)) {
        Some(character) => Err(Error::InvalidCharacter { kind, name: name.to_string(), character }),
        None => Ok(()),
    }
}

/// Defines a newtype over `String` that holds a valid name.
macro_rules! define_name {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(String);

        impl $type {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(name: String) -> Result<Self, Error> {
                validate($kind, &name)?;
                Ok(Self(name))
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(name: &str) -> Result<Self, Error> {
                Self::try_from(name.to_string())
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> String {
                name.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

define_name!(
    /// Name of an instance, which is one turmericrelay process of the fleet.
    Instance,
    "instance"
);
define_name!(
    /// Name of a data centre, which contains instances and upstreams.
    DataCentre,
    "data centre"
);
define_name!(
    /// Name of an upstream: a model engine or a plain service that answers requests.
    Upstream,
    "upstream"
);
define_name!(
    /// Name of the account of a caller. Rate limits and weights apply to it.
    ClientAccount,
    "client account"
);
define_name!(
    /// Name of a service that callers send requests to.
    Service,
    "service"
);
define_name!(
    /// Name of a kind of work, which determines the rank and the deadline of a request.
    Kind,
    "kind of work"
);
define_name!(
    /// Name of a model that engines serve.
    Model,
    "model"
);
define_name!(
    /// Name of an operator, a person or program that applies declarations.
    Operator,
    "operator"
);
