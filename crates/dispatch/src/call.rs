//! One HTTP call to an upstream.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use names::Attempt;

use crate::{Outbound, Verdict};

/// A header of a call or its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// Whether a call may use a connection that earlier calls left open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any open connection will do.
    Allowed,
    /// A new connection, so that a refused connection proves that nothing was sent.
    Never,
}

/// One HTTP call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The attempt that it belongs to.
    pub attempt: Attempt,
    /// Its method, in upper case.
    pub method: String,
    /// Where the upstream is called.
    pub address: SocketAddr,
    /// Its path and query.
    pub path: String,
    /// Its headers.
    pub headers: Vec<Field>,
    /// Its body.
    pub body: Vec<u8>,
    /// When the connection must stand.
    pub connect_by: Instant,
    /// When the whole answer must have arrived.
    pub deadline: Instant,
    /// Whether open connections may be used.
    pub reuse: Reuse,
}

/// What became of a call so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// The answer's head arrived.
    Head {
        /// Its status.
        status: u16,
        /// Its headers.
        headers: Vec<Field>,
    },
    /// The next bytes of the answer arrived.
    Part(Vec<u8>),
    /// The answer is whole.
    End,
    /// The call failed.
    Failed {
        /// Whether the request may have run.
        verdict: Verdict,
        /// What went wrong.
        reason: String,
    },
}

/// Progress of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The attempt.
    pub attempt: Attempt,
    /// What became of it.
    pub progress: Progress,
}

/// A call that no request can be made of.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Unfit {
    /// The method or path would end the request line.
    #[error("method `{method}` or path `{path}` does not fit a request line")]
    Line {
        /// The method.
        method: String,
        /// The path.
        path: String,
    },
    /// The header would end its line.
    #[error("header `{name}` does not fit a line")]
    Header {
        /// Its name.
        name: String,
    },
}

fn breaks_line(text: &str) -> bool {
    text.bytes().any(|byte| byte.is_ascii_control())
}

fn breaks_word(text: &str) -> bool {
    text.is_empty() || text.bytes().any(|byte| byte.is_ascii_control() || byte == b' ')
}

impl TryFrom<Call> for Outbound {
    type Error = Unfit;

    fn try_from(call: Call) -> Result<Self, Unfit> {
        let head = head(&call)?;
        Ok(Self {
            attempt: call.attempt,
            address: call.address,
            head,
            has_no_body: call.method == "HEAD",
            body: Rc::from(call.body),
            echo: None,
            connect_by: call.connect_by.min(call.deadline),
            deadline: Some(call.deadline),
            idle_at_most: match call.reuse {
                Reuse::Allowed => Duration::MAX / 4,
                Reuse::Never => Duration::ZERO,
            },
            connections: usize::MAX,
        })
    }
}

/// The request line and the headers, with the empty line behind them.
fn head(call: &Call) -> Result<Vec<u8>, Unfit> {
    let Call { method, path, address, .. } = call;
    if breaks_word(method) || breaks_word(path) {
        return Err(Unfit::Line { method: method.clone(), path: path.clone() });
    }
    let length = call.body.len();
    let mut head =
        format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {length}\r\n");
    for Field { name, value } in &call.headers {
        if breaks_word(name) || name.contains(':') || breaks_line(value) {
            return Err(Unfit::Header { name: name.clone() });
        }
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    Ok(head.into_bytes())
}
