//! Names that people give to things.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

const MAX_NAME_BYTES: usize = 96;

fn is_allowed(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '.' | '_' | '-' | ':' | '/')
}

fn check(what: &'static str, name: &str) -> Result<(), Error> {
    if name.is_empty() {
        return Err(Error::Empty { what, limit: MAX_NAME_BYTES });
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(Error::Long {
            what,
            name: name.chars().take(MAX_NAME_BYTES).collect(),
            length: name.len(),
            limit: MAX_NAME_BYTES,
        });
    }
    match name.chars().find(|character| !is_allowed(*character)) {
        Some(character) => Err(Error::Character { what, name: name.to_string(), character }),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(String);

        impl $type {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(name: String) -> Result<Self, Error> {
                check($what, &name)?;
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

name!(
    /// One running turmericrelay process.
    Instance,
    "instance"
);
name!(
    /// A data centre that holds instances and upstreams.
    DataCentre,
    "data centre"
);
name!(
    /// A model engine or plain service that answers requests.
    Upstream,
    "upstream"
);
name!(
    /// A caller's account, which limits and weights apply to.
    ClientAccount,
    "client account"
);
name!(
    /// A service that callers address.
    Service,
    "service"
);
name!(
    /// A kind of work, which carries rank and deadline.
    Kind,
    "kind of work"
);
name!(
    /// A model that engines serve.
    Model,
    "model"
);
name!(
    /// A person or program that applies declarations.
    Operator,
    "operator"
);
