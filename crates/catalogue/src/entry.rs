//! Entries of a catalogue, as findings and differences name them.

use std::fmt;

use names::{ClientAccount, Service};

/// An entry of a catalogue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// The version number of the document.
    Number,
    /// The limits on the requests of callers.
    Limits,
    /// A route.
    Route(String),
    /// A service.
    Service(Service),
    /// The list of all client accounts.
    Accounts,
    /// A client account.
    Account(ClientAccount),
}

impl fmt::Display for Entry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number => formatter.write_str("document number"),
            Self::Limits => formatter.write_str("limits"),
            Self::Route(name) => write!(formatter, "route \"{name}\""),
            Self::Service(name) => write!(formatter, "service \"{name}\""),
            Self::Accounts => formatter.write_str("client accounts"),
            Self::Account(name) => write!(formatter, "client account \"{name}\""),
        }
    }
}
