//! Requests and responses of the operators' port.

use std::time::Duration;

use serde::Serialize;
use serde_json::json;

/// When to ask again after something that may mend soon.
const SOON: Duration = Duration::from_secs(1);

/// A request with its whole body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty when there is none.
    pub query: String,
    /// Bearer token, if one was presented.
    pub token: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// The value of the query parameter `name`, taken literally.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }
}

/// A whole response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// When to ask again, if the refusal can pass by itself.
    pub retry_after: Option<Duration>,
    /// The body.
    pub body: Vec<u8>,
}

/// Statuses of refusals that pass by themselves: no leader, not ready, no answer in time.
fn passes(status: u16) -> bool {
    matches!(status, 503 | 504)
}

impl Response {
    fn new(status: u16, content_type: &str, body: Vec<u8>) -> Self {
        let retry_after = passes(status).then_some(SOON);
        Self { status, content_type: content_type.to_string(), retry_after, body }
    }

    /// A response of `status` with `value` as JSON.
    pub fn json<T>(status: u16, value: &T) -> Self
    where
        T: Serialize,
    {
        Self::encoded(status, serde_json::to_vec(value).unwrap_or_default())
    }

    /// A response of `status` with a body that is JSON already.
    pub fn encoded(status: u16, body: Vec<u8>) -> Self {
        Self::new(status, "application/json", body)
    }

    /// A response of `status` with plain text.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Self::new(status, "text/plain; charset=utf-8", text.into().into_bytes())
    }

    /// An error response: a short `code` for programs and a message for people.
    pub fn error(status: u16, code: &str, message: impl Into<String>) -> Self {
        Self::json(status, &json!({ "error": { "code": code, "message": message.into() } }))
    }

    /// The same response of something that passes by itself soon, whatever its status.
    pub fn passing(self) -> Self {
        Self { retry_after: Some(SOON), ..self }
    }
}

/// Answers requests; may block.
pub trait Handler: Send + Sync {
    /// Answers one request.
    fn handle(&self, request: Request) -> Response;
}
