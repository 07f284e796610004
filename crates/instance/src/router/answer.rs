//! An upstream's answer on its way to the caller.

use dispatch::{Field, Progress};
use entry::{Header, Reply, Status};

/// The event that ends a whole stream.
const DONE: &[u8] = b"data: [DONE]";

/// Headers of upstreams that are passed on.
const PASSED_HEADERS: [&str; 4] = ["cache-control", "content-type", "etag", "location"];

/// What to do after a piece of the answer.
pub(super) enum Outcome {
    /// Wait for more.
    Nothing,
    /// Pass these on and wait for more.
    Replies(Vec<Reply>),
    /// Pass this on; the answer is whole.
    Finished(Reply),
    /// The answer ended before it was whole.
    Broken(String),
}

enum Phase {
    Waiting,
    Streaming { tail: Vec<u8> },
    Collecting { status: Status, headers: Vec<Header>, body: Vec<u8> },
}

/// Turns the progress of a call into replies.
pub(super) struct Answer {
    streams: bool,
    phase: Phase,
}

fn pass_on(fields: Vec<Field>) -> Vec<Header> {
    let passed = fields.into_iter().filter(|field| PASSED_HEADERS.contains(&field.name.as_str()));
    passed.map(|field| Header { name: field.name, value: field.value }).collect()
}

fn is_event_stream(headers: &[Header]) -> bool {
    headers.iter().any(|header| {
        header.name == "content-type" && header.value.starts_with("text/event-stream")
    })
}

impl Answer {
    /// An answer of which nothing has arrived; `streams` when the caller wants it as a stream.
    pub(super) fn new(streams: bool) -> Self {
        Self { streams, phase: Phase::Waiting }
    }

    /// Takes the next progress. A collected body may have at most `limit` bytes.
    pub(super) fn take(&mut self, progress: Progress, limit: usize) -> Outcome {
        match progress {
            Progress::Head { status, headers } => self.start(Status(status), pass_on(headers)),
            Progress::Part(part) => self.add(part, limit),
            Progress::End => self.end(),
            Progress::Failed { reason, .. } => Outcome::Broken(reason),
        }
    }

    fn start(&mut self, status: Status, headers: Vec<Header>) -> Outcome {
        if self.streams && status == Status::OK && is_event_stream(&headers) {
            self.phase = Phase::Streaming { tail: Vec::new() };
            return Outcome::Replies(vec![Reply::Start { status, headers }]);
        }
        self.phase = Phase::Collecting { status, headers, body: Vec::new() };
        Outcome::Nothing
    }

    fn add(&mut self, part: Vec<u8>, limit: usize) -> Outcome {
        match &mut self.phase {
            Phase::Waiting => Outcome::Broken("the answer has no head".to_string()),
            Phase::Streaming { tail } => {
                tail.extend_from_slice(&part);
                let excess = tail.len().saturating_sub(2 * DONE.len());
                tail.drain(..excess);
                Outcome::Replies(vec![Reply::Part(part)])
            }
            Phase::Collecting { body, .. } if body.len() + part.len() > limit => {
                Outcome::Broken(format!("the answer is larger than {limit} bytes"))
            }
            Phase::Collecting { body, .. } => {
                body.extend_from_slice(&part);
                Outcome::Nothing
            }
        }
    }

    fn end(&mut self) -> Outcome {
        match std::mem::replace(&mut self.phase, Phase::Waiting) {
            Phase::Waiting => Outcome::Broken("the answer has no head".to_string()),
            Phase::Streaming { tail } if tail.windows(DONE.len()).any(|part| part == DONE) => {
                Outcome::Finished(Reply::End)
            }
            Phase::Streaming { .. } => {
                Outcome::Broken("the stream ended before it was whole".to_string())
            }
            Phase::Collecting { status, headers, body } => {
                Outcome::Finished(Reply::Whole { status, headers, body })
            }
        }
    }
}
