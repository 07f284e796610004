//! HTTP requests and responses of the operators' port.

use std::time::Duration;

use serde::Serialize;
use serde_json::json;

/// Delay before a retry that a response for a temporary failure asks for.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// HTTP request with its complete body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// HTTP method in upper case.
    pub method: String,
    /// Path of the URL, without the query.
    pub path: String,
    /// Query of the URL without the question mark; empty if the URL has no query.
    pub query: String,
    /// Bearer token of the `authorization` header, if the request has one.
    pub token: Option<String>,
    /// Bytes of the body; empty if the request has no body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of the first query parameter called `name`, without percent-decoding.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }
}

/// HTTP response with its complete body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Delay before a retry, sent as the `retry-after` header, if the failure is temporary.
    pub retry_after: Option<Duration>,
    /// Bytes of the body.
    pub body: Vec<u8>,
}

/// Returns whether `status` stands for a temporary failure: the fleet has no leader, the instance
/// is not ready, or there was no answer before the timeout.
fn is_temporary(status: u16) -> bool {
    matches!(status, 503 | 504)
}

impl Response {
    fn new(status: u16, content_type: &str, body: Vec<u8>) -> Self {
        let retry_after = is_temporary(status).then_some(RETRY_DELAY);
        Self { status, content_type: content_type.to_string(), retry_after, body }
    }

    /// Creates a response whose body is `value` in JSON.
    pub fn json<T>(status: u16, value: &T) -> Self
    where
        T: Serialize,
    {
        Self::from_json_bytes(status, serde_json::to_vec(value).unwrap_or_default())
    }

    /// Creates a response from the bytes of a body that is already encoded as JSON.
    pub fn from_json_bytes(status: u16, body: Vec<u8>) -> Self {
        Self::new(status, "application/json", body)
    }

    /// Creates a response whose body is plain text.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Self::new(status, "text/plain; charset=utf-8", text.into().into_bytes())
    }

    /// Creates an error response in JSON, with a short `code` for programs and a message for
    /// people.
    pub fn error(status: u16, code: &str, message: impl Into<String>) -> Self {
        Self::json(status, &json!({ "error": { "code": code, "message": message.into() } }))
    }

    /// Returns the response marked as a temporary failure, whatever its status is, which asks the
    /// client to retry.
    pub fn as_temporary(self) -> Self {
        Self { retry_after: Some(RETRY_DELAY), ..self }
    }
}

/// Handler of the requests to the operators' port.
pub trait Handler: Send + Sync {
    /// Returns the response to one request. May block its server thread.
    fn handle(&self, request: Request) -> Response;
}
