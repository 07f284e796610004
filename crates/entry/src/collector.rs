//! Collects streamed answers for callers that cannot read chunks.

use crate::{Header, Reply, Status};

/// Next action for a collected answer.
pub(crate) enum Collection {
    /// Send this reply.
    Send(Reply),
    /// Wait for the next part.
    Wait,
    /// The answer is larger than the limit.
    TooLarge,
}

/// Maximum size in bytes of a collected answer where no limit is set. The caller gets nothing of such an
/// answer before its end, so that a larger one is better refused early.
const DEFAULT_LIMIT_BYTES: usize = 256 << 10;

/// Collects a streamed answer, so that it is sent with its length. Without chunks and without a
/// length, a caller could not tell a cut answer from a complete one.
pub(crate) struct Collector {
    limit: usize,
    started: Option<(Status, Vec<Header>)>,
    body: Vec<u8>,
}

impl Collector {
    /// Creates a collector for an answer of at most `limit` bytes, if there is a limit.
    pub(crate) fn new(limit: Option<usize>) -> Self {
        Self { limit: limit.unwrap_or(DEFAULT_LIMIT_BYTES), started: None, body: Vec::new() }
    }

    /// Returns the number of bytes of memory that the collected part of the answer takes.
    pub(crate) fn collected_bytes(&self) -> usize {
        self.body.capacity()
    }

    /// Takes the next reply.
    pub(crate) fn take(&mut self, reply: Reply) -> Collection {
        match (reply, self.started.take()) {
            (Reply::Start { status, headers, length: None }, _) => {
                self.started = Some((status, headers));
                Collection::Wait
            }
            (Reply::Part(part), Some(_)) if self.body.len() + part.len() > self.limit => {
                Collection::TooLarge
            }
            (Reply::Part(part), Some(started)) => {
                self.started = Some(started);
                self.body.extend_from_slice(&part);
                Collection::Wait
            }
            (Reply::End, Some((status, headers))) => {
                let body = std::mem::take(&mut self.body);
                Collection::Send(Reply::Whole { status, headers, body })
            }
            (reply, _) => Collection::Send(reply),
        }
    }
}
