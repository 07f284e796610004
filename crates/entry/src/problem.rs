//! Refusals and failures, encoded as the error object of the chat-completions format.

use std::time::Duration;

use dispatch::Verdict;
use serde_json::json;

use crate::{Header, Reply, Status};

/// Header that says whether a refused or failed request may have run.
pub(crate) const VERDICT_HEADER: &str = "x-turmericrelay-verdict";

/// A refusal or failure that is reported to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: Status,
    /// Stable error code for programs.
    pub code: String,
    /// Description of the problem and its remedy, for people.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time that the caller should wait before it retries, if known.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(status: Status, code: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            code: code.to_string(),
            message: message.into(),
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// Creates the failure of a request that may have run.
    pub fn may_have_run(status: Status, code: &str, message: impl Into<String>) -> Self {
        Self { verdict: Verdict::MayHaveRun, ..Self::not_run(status, code, message) }
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
