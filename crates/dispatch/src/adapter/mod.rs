//! How each protocol of upstreams is spoken.

mod chat_completions;
mod plain;

use names::Attempt;

use crate::{Field, Verdict};

pub use chat_completions::ChatCompletions;
pub use plain::Plain;

/// Header of a call with the attempt's id; an upstream that knows it sends it back.
const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Header of a call with the number of content events that the caller has, sent back by an
/// engine that goes on from there.
const RESUME_HEADER: &str = "x-resume-offset";

/// Header in which an upstream says that it refused a request before it started.
const VERDICT_HEADER: &str = "x-turmericrelay-verdict";

/// The head of an upstream's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Its headers.
    pub headers: Vec<Field>,
}

impl Head {
    /// The value of the header `name`, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|field| field.name == name).map(|field| field.value.as_str())
    }

    /// Whether the end of the body can be told from a broken connection.
    pub fn is_framed(&self) -> bool {
        matches!(self.status, 204 | 304)
            || self.header("content-length").is_some()
            || self.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }

    fn is_of(&self, attempt: Attempt) -> bool {
        self.header(ATTEMPT_HEADER).is_none_or(|value| value == attempt.to_string())
    }

    fn says_not_run(&self) -> bool {
        self.header(VERDICT_HEADER) == Some("not-run")
    }
}

/// What the head of an answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// The answer is for the caller.
    Accepted,
    /// The upstream failed or refused.
    Failed(Verdict),
    /// The answer belongs to another attempt.
    Crossed,
    /// The engine started from the beginning and not from where the answer broke off.
    NotResumed,
}

/// One protocol of upstreams.
pub trait Adapter {
    /// The headers of a call that the protocol needs, `offset` content events into the answer.
    fn headers(&self, attempt: Attempt, offset: u64) -> Vec<Field>;

    /// Judges the head of the answer to such a call.
    fn judge(&self, attempt: Attempt, offset: u64, head: &Head) -> Judgement;

    /// Whether a body that ended without an error is whole.
    fn is_whole(&self, head: &Head, body: &[u8]) -> bool;

    /// Whether a stream that broke off can be resumed.
    fn can_resume(&self) -> bool;
}

fn field(name: &str, value: String) -> Field {
    Field { name: name.to_string(), value }
}
