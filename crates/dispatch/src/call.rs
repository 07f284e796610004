//! One HTTP call to an upstream.

use std::time::Instant;

use names::Attempt;

use crate::Verdict;

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
    /// The whole URL.
    pub url: String,
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

/// Takes events from the threads that make calls.
pub trait Sink: Send + Sync {
    /// Takes one event.
    fn deliver(&self, event: Event);
}
