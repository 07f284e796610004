//! What the server tells its handler.

use stakker::Fwd;

use crate::{Header, Reply};

/// Methods that callers may use.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "UPPERCASE")]
pub enum Method {
    /// Reads.
    Get,
    /// Reads the headers alone.
    Head,
    /// Submits.
    Post,
    /// Replaces.
    Put,
    /// Changes in part.
    Patch,
    /// Removes.
    Delete,
}

/// A whole request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its id, unique in the fleet.
    pub id: names::Request,
    /// Its method.
    pub method: Method,
    /// Its path with the query.
    pub path: String,
    /// Its headers, names in lower case, sorted by name.
    pub headers: Vec<Header>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Request {
    /// The value of the header `name`, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let index = self.headers.binary_search_by(|header| header.name.as_str().cmp(name)).ok()?;
        Some(self.headers[index].value.as_str())
    }
}

/// What happened on a connection.
pub enum Event {
    /// A whole request arrived; the answer goes to `reply`.
    Arrived {
        /// The request.
        request: Request,
        /// Where the answer goes.
        reply: Fwd<Reply>,
    },
    /// The caller of an unanswered request went away.
    Left {
        /// The request's id.
        request: names::Request,
    },
    /// A connection was refused or closed for what it sent or did not read.
    Refused {
        /// Short name of the reason, for counters.
        reason: &'static str,
    },
}
