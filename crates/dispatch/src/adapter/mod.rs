//! Adapters for the protocols of upstreams.

mod chat_completions;
mod plain;

use http1::Framing;
use names::Attempt;

use crate::{Field, Verdict};

pub use chat_completions::ChatCompletions;
pub use plain::Plain;

/// Request header that carries the attempt id. Upstreams that support the header return it in the
/// response.
const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Request header that carries the number of content events that the caller has received. An
/// engine that resumes the stream at this offset returns the header in the response.
const RESUME_HEADER: &str = "x-resume-offset";

/// Response header by which an upstream reports that it rejected a request before running it.
const VERDICT_HEADER: &str = "x-turmericrelay-verdict";

/// Response headers of this protocol.
pub(crate) const HEAD_FIELDS: [&str; 3] = [ATTEMPT_HEADER, RESUME_HEADER, VERDICT_HEADER];

/// Status and headers of an upstream's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: Vec<Field>,
    /// Where the body ends.
    pub framing: Framing,
}

impl Head {
    /// Returns the value of the header `name`, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|field| field.name == name).map(|field| field.value.as_str())
    }

    /// Returns whether the head delimits the body, so that the end of the body can be
    /// distinguished from a broken connection.
    pub fn has_delimited_body(&self) -> bool {
        !http1::allows_content(self.status) || self.framing.is_delimited()
    }

    /// Returns whether the response carries the id of `attempt`.
    pub fn names_attempt(&self, attempt: Attempt) -> bool {
        self.header(ATTEMPT_HEADER) == Some(&attempt.to_string())
    }

    fn matches_attempt(&self, attempt: Attempt) -> bool {
        self.header(ATTEMPT_HEADER).is_none_or(|value| value == attempt.to_string())
    }

    fn reports_not_run(&self) -> bool {
        self.header(VERDICT_HEADER) == Some("not-run")
    }
}

/// Outcome of the check of a response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadOutcome {
    /// The response can be passed on to the caller.
    Accepted,
    /// The upstream failed or rejected the request.
    Failed(Verdict),
    /// The response belongs to another attempt.
    WrongAttempt,
    /// The engine started the stream from the beginning instead of the requested offset.
    NotResumed,
}

/// Protocol of upstreams.
pub trait Adapter {
    /// Returns the request headers that the protocol requires for an attempt that continues after
    /// `offset` content events.
    fn headers(&self, attempt: Attempt, offset: u64) -> Vec<Field>;

    /// Checks the response head of an attempt that continues after `offset` content events.
    fn check_head(&self, attempt: Attempt, offset: u64, head: &Head) -> HeadOutcome;

    /// Returns whether a body that ended without a connection error is complete.
    fn is_complete(&self, head: &Head, body: &[u8]) -> bool;

    /// Returns whether an interrupted stream can be resumed by another attempt.
    fn can_resume(&self) -> bool;
}

fn header_field(name: &str, value: String) -> Field {
    Field { name: name.to_string(), value }
}
