//! Refusals and failures, in the error form of the chat-completions format.

use std::time::Duration;

use dispatch::Verdict;
use serde_json::json;

use crate::{Header, Reply, Status};

/// Header that says whether a refused request may have run.
pub(crate) const VERDICT_HEADER: &str = "x-turmericrelay-verdict";

/// A refusal or failure, as a caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: Status,
    /// Short name that programs can rely on.
    pub code: String,
    /// What is wrong and what to do, for people.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// How long the caller should wait before it asks again.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// A refusal of a request that did not run.
    pub fn not_run(status: Status, code: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            code: code.to_string(),
            message: message.into(),
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// A failure of a request that may have run.
    pub fn may_have_run(status: Status, code: &str, message: impl Into<String>) -> Self {
        Self { verdict: Verdict::MayHaveRun, ..Self::not_run(status, code, message) }
    }

    /// The same problem, with the time after which to ask again.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// The name of the error's type in the chat-completions format.
    fn kind(&self) -> &'static str {
        match self.status.0 {
            400..=499 if self.status != Status::TOO_MANY_REQUESTS => "invalid_request_error",
            429 => "rate_limit_error",
            _ => "server_error",
        }
    }

    /// The body in the error form of the chat-completions format.
    pub fn body(&self) -> String {
        json!({
            "error": {
                "message": self.message,
                "type": self.kind(),
                "code": self.code,
                "param": null,
            }
        })
        .to_string()
    }

    /// The problem as a whole reply.
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
