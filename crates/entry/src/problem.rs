//! Refusals and failures, encoded as the error object of the chat-completions format.

use std::time::Duration;

use dispatch::Verdict;
use serde_json::json;

use crate::{Header, Reply, Status, Unsent};

/// Header that says whether a refused or failed request may have run.
pub(crate) const VERDICT_HEADER: &str = "x-turmericrelay-verdict";

/// Why a request itself is refused, whatever the state of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The request is malformed.
    BadRequest,
    /// The API key is missing or unknown.
    Unauthorized,
    /// The path or service does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The request line and headers are larger than the limit.
    HeadTooLarge,
}

impl Rejection {
    fn status(self) -> Status {
        match self {
            Self::BadRequest => Status::BAD_REQUEST,
            Self::Unauthorized => Status::UNAUTHORIZED,
            Self::NotFound => Status::NOT_FOUND,
            Self::MethodNotAllowed => Status::METHOD_NOT_ALLOWED,
            Self::BodyTooLarge => Status::BODY_TOO_LARGE,
            Self::HeadTooLarge => Status::HEAD_TOO_LARGE,
        }
    }
}

/// A refusal or failure that is reported to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    status: Status,
    code: String,
    message: String,
    verdict: Verdict,
    retry_after: Option<Duration>,
}

impl Problem {
    fn new(verdict: Verdict, status: Status, code: &str, message: impl Into<String>) -> Self {
        Self { status, code: code.to_string(), message: message.into(), verdict, retry_after: None }
    }

    /// Creates the refusal of a request that did not run and never will.
    pub fn not_run(_: &Unsent, status: Status, code: &str, message: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, status, code, message)
    }

    /// Creates the refusal of a request that is at fault itself.
    pub fn rejected(rejection: Rejection, code: &str, message: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, rejection.status(), code, message)
    }

    /// Creates the failure of a request that may have run.
    pub fn may_have_run(status: Status, code: &str, message: impl Into<String>) -> Self {
        Self::new(Verdict::MayHaveRun, status, code, message)
    }

    /// Creates the refusal or failure of a request, which may have run unless there is evidence
    /// that it has not.
    pub fn with_evidence(
        unsent: Option<&Unsent>,
        status: Status,
        code: &str,
        message: impl Into<String>,
    ) -> Self {
        match unsent {
            Some(unsent) => Self::not_run(unsent, status, code, message),
            None => Self::may_have_run(status, code, message),
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Returns the stable error code for programs.
    pub fn code(&self) -> &str {
        &self.code
    }

    /// Returns the description of the problem and its remedy, for people.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns the time that the caller should wait before it retries, if known.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Sets the time that the caller should wait before it retries.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Returns the error type in the chat-completions format.
    fn error_type(&self) -> &'static str {
        match self.status.0 {
            400..=499 if self.status != Status::TOO_MANY_REQUESTS => "invalid_request_error",
            429 => "rate_limit_error",
            _ => "server_error",
        }
    }

    /// Returns the body: the error object of the chat-completions format as JSON.
    pub fn body(&self) -> String {
        json!({
            "error": {
                "message": self.message,
                "type": self.error_type(),
                "code": self.code,
                "param": null,
            }
        })
        .to_string()
    }

    /// Converts the problem to a complete reply. The retry-after header is rounded up to seconds.
    pub fn into_reply(self) -> Reply {
        let mut headers =
            vec![Header::new("content-type", "application/json"), Header::verdict(self.verdict)];
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_millis().div_ceil(1000).max(1);
            headers.push(Header::new("retry-after", seconds.to_string()));
        }
        Reply::Whole { status: self.status, headers, body: self.body().into_bytes() }
    }
}
