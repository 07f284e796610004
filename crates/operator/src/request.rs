//! Requests and responses of the operators' port.

use serde::Serialize;
use serde_json::json;

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
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response of `status` with `value` as JSON.
    pub fn json<T>(status: u16, value: &T) -> Self
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self { status, content_type: "application/json".to_string(), body }
    }

    /// A response of `status` with plain text.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        let body = text.into().into_bytes();
        Self { status, content_type: "text/plain; charset=utf-8".to_string(), body }
    }

    /// An error response: a short `code` for programs and a message for people.
    pub fn error(status: u16, code: &str, message: impl Into<String>) -> Self {
        Self::json(status, &json!({ "error": { "code": code, "message": message.into() } }))
    }
}

/// Answers requests; may block.
pub trait Handler: Send + Sync {
    /// Answers one request.
    fn handle(&self, request: Request) -> Response;
}
