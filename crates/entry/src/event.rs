//! Events that the server sends to its handler.

use stakker::Fwd;

use crate::{Header, Hold, Reply, Unsent};

/// Supported HTTP methods.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "UPPERCASE")]
pub enum Method {
    /// Reads a resource.
    Get,
    /// Reads only the headers of a resource.
    Head,
    /// Submits a request.
    Post,
    /// Replaces a resource.
    Put,
    /// Changes part of a resource.
    Patch,
    /// Removes a resource.
    Delete,
}

/// A complete request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Id of the request, unique in the fleet.
    pub id: names::Request,
    /// HTTP method.
    pub method: Method,
    /// Path with the query.
    pub path: String,
    /// Headers with names in lower case, sorted by name.
    pub headers: Vec<Header>,
    /// Body, without transfer encoding.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of the header `name`, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let index = self.headers.binary_search_by(|header| header.name.as_str().cmp(name)).ok()?;
        Some(self.headers[index].value.as_str())
    }
}

/// Event on a connection.
pub enum Event {
    /// A complete request arrived.
    Arrived {
        /// The received request.
        request: Request,
        /// Evidence that the request has not run.
        unsent: Unsent,
        /// Memory that is reserved for the request. It has to be kept as long as the body.
        hold: Hold,
        /// Receives the parts of the answer.
        reply: Fwd<Reply>,
    },
    /// The caller disconnected before its request was answered.
    Left {
        /// Id of the unanswered request.
        request: names::Request,
    },
    /// A connection was refused, or was closed because of an invalid or late request or because the
    /// caller did not read the answer.
    Refused {
        /// Short name of the reason, for counters.
        reason: &'static str,
    },
}
