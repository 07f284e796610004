//! HTTP calls to upstreams and their progress.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http1::{Framing, Rule};
use names::Attempt;

use crate::adapter::HEAD_FIELDS;
use crate::{Outbound, Verdict};

/// HTTP header of a request or a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Header name in lower case.
    pub name: String,
    /// Header value.
    pub value: String,
}

/// Whether a call may use an idle connection of the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// The call may use an idle connection.
    Allowed,
    /// The call opens a new connection. If the connection is refused, the request cannot have been
    /// sent.
    Never,
}

/// HTTP call to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Attempt that the call belongs to.
    pub attempt: Attempt,
    /// HTTP method in upper case.
    pub method: String,
    /// Socket address of the upstream.
    pub address: SocketAddr,
    /// Path and query of the request target.
    pub path: String,
    /// Request headers.
    pub headers: Vec<Field>,
    /// Request body.
    pub body: Vec<u8>,
    /// Deadline for establishing the connection.
    pub connect_deadline: Instant,
    /// Deadline for the complete response.
    pub deadline: Instant,
    /// Whether the call may use an idle connection of the pool.
    pub reuse: ConnectionReuse,
}

/// Progress of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// The head of the response arrived.
    Head {
        /// HTTP status code.
        status: u16,
        /// Response headers.
        headers: Vec<Field>,
        /// Where the body ends.
        framing: Framing,
    },
    /// The next bytes of the response body arrived.
    Body(Vec<u8>),
    /// Bytes of the response arrived that are not passed on yet.
    Received,
    /// The response is complete, as its length or its last chunk shows.
    End,
    /// The upstream has closed the connection properly, and the response has neither a length nor
    /// chunks that would show whether it is complete.
    Closed,
    /// Nothing was sent because this instance already has as many connections to the upstream as it
    /// may open. This says nothing about the health of the upstream.
    NotSent {
        /// Description of the limit.
        reason: String,
    },
    /// The call failed.
    Failed {
        /// Whether the request may have run.
        verdict: Verdict,
        /// Rule of HTTP/1.1 that the response breaks, if that is the failure.
        rule: Option<Rule>,
        /// Description of the failure.
        reason: String,
    },
}

/// Progress of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallEvent {
    /// Attempt that made progress.
    pub attempt: Attempt,
    /// Latest progress of the attempt.
    pub progress: Progress,
}

/// Error from the conversion of a call to an HTTP request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidCall {
    /// The method or path is empty or contains a space or a control character.
    #[error("method `{method}` or path `{path}` is empty or has a space or control character")]
    RequestLine {
        /// Rejected method.
        method: String,
        /// Rejected path.
        path: String,
    },
    /// The header name is not a valid name, or the value contains a control character.
    #[error("header `{name}` has an invalid name or a control character in the value")]
    Header {
        /// Name of the rejected header.
        name: String,
    },
}

fn has_control_character(text: &str) -> bool {
    text.bytes().any(|byte| byte.is_ascii_control())
}

fn is_empty_or_has_separator(text: &str) -> bool {
    text.is_empty() || text.bytes().any(|byte| byte.is_ascii_control() || byte == b' ')
}

impl TryFrom<Call> for Outbound {
    type Error = InvalidCall;

    fn try_from(call: Call) -> Result<Self, InvalidCall> {
        let head = encode_head(&call)?;
        Ok(Self {
            attempt: call.attempt,
            address: call.address,
            head,
            has_no_body: call.method == "HEAD",
            body: Rc::from(call.body),
            echo: None,
            head_fields: &HEAD_FIELDS,
            connect_deadline: call.connect_deadline.min(call.deadline),
            deadline: Some(call.deadline),
            max_connection_idle: match call.reuse {
                ConnectionReuse::Allowed => Duration::MAX / 4,
                ConnectionReuse::Never => Duration::ZERO,
            },
            first_sent_at: None,
            holds_chunks: false,
            max_connections: usize::MAX,
        })
    }
}

/// Returns the request line and the headers, including the empty line that ends them.
fn encode_head(call: &Call) -> Result<Vec<u8>, InvalidCall> {
    let Call { method, path, address, .. } = call;
    if is_empty_or_has_separator(method) || is_empty_or_has_separator(path) {
        return Err(InvalidCall::RequestLine { method: method.clone(), path: path.clone() });
    }
    let length = call.body.len();
    let mut head =
        format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {length}\r\n");
    for Field { name, value } in &call.headers {
        if is_empty_or_has_separator(name) || name.contains(':') || has_control_character(value) {
            return Err(InvalidCall::Header { name: name.clone() });
        }
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    Ok(head.into_bytes())
}
