//! Answers to callers and their encoding as HTTP/1.1.

use std::fmt;

use crate::Header;

/// An HTTP status code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Status(pub u16);

impl Status {
    /// The request was answered.
    pub const OK: Self = Self(200);
    /// The caller should send the same request to another instance.
    pub const TEMPORARY_REDIRECT: Self = Self(307);
    /// The request is malformed.
    pub const BAD_REQUEST: Self = Self(400);
    /// The API key is missing or unknown.
    pub const UNAUTHORIZED: Self = Self(401);
    /// The path or service does not exist.
    pub const NOT_FOUND: Self = Self(404);
    /// The path does not support the method.
    pub const METHOD_NOT_ALLOWED: Self = Self(405);
    /// The request did not arrive completely in time.
    pub const REQUEST_TIMEOUT: Self = Self(408);
    /// The request conflicts with an earlier one.
    pub const CONFLICT: Self = Self(409);
    /// The body is larger than the limit.
    pub const BODY_TOO_LARGE: Self = Self(413);
    /// The caller exceeds its limit, or the deadline cannot be met.
    pub const TOO_MANY_REQUESTS: Self = Self(429);
    /// The request line and headers are larger than the limit.
    pub const HEAD_TOO_LARGE: Self = Self(431);
    /// The upstream failed.
    pub const BAD_GATEWAY: Self = Self(502);
    /// The request cannot be served at present.
    pub const UNAVAILABLE: Self = Self(503);
    /// The deadline expired before the answer was complete.
    pub const GATEWAY_TIMEOUT: Self = Self(504);

    /// Returns whether callers take the status as the promise that the request did not run and
    /// never will.
    pub fn is_promise(self) -> bool {
        matches!(self.0, 408 | 421 | 429 | 503)
    }

    fn reason(self) -> &'static str {
        match self.0 {
            200 => "OK",
            201 => "Created",
            204 => "No Content",
            307 => "Temporary Redirect",
            400 => "Bad Request",
            401 => "Unauthorized",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            413 => "Content Too Large",
            429 => "Too Many Requests",
            431 => "Request Header Fields Too Large",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            504 => "Gateway Timeout",
            _ => "Status",
        }
    }
}

impl fmt::Display for Status {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// An answer to a caller, or part of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// A complete answer.
    Whole {
        /// HTTP status.
        status: Status,
        /// Headers, without those of the framing.
        headers: Vec<Header>,
        /// Complete body.
        body: Vec<u8>,
    },
    /// The start of a streamed answer.
    Start {
        /// HTTP status.
        status: Status,
        /// Headers, without those of the framing.
        headers: Vec<Header>,
        /// Total length of the body in bytes, if known. Otherwise the body is sent in chunked
        /// encoding.
        length: Option<u64>,
    },
    /// The start of a streamed answer that has neither a length nor chunks, and ends with its
    /// connection.
    StartUnframed {
        /// HTTP status.
        status: Status,
        /// Headers, without those of the framing.
        headers: Vec<Header>,
    },
    /// The next bytes of the body of a streamed answer.
    Part(Vec<u8>),
    /// The end of a complete streamed answer.
    End,
    /// The streamed answer cannot be completed. The connection is closed without the end of the
    /// answer.
    Cut,
}

fn append_head(status: Status, headers: &[Header], out: &mut Vec<u8>) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", status.reason()).as_bytes());
    for header in headers {
        out.extend_from_slice(format!("{}: {}\r\n", header.name, header.value).as_bytes());
    }
}

/// Appends a complete answer to `out`.
pub(crate) fn append_whole(status: Status, headers: &[Header], body: &[u8], out: &mut Vec<u8>) {
    append_head(status, headers, out);
    out.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
}

/// Appends the head of a streamed answer to `out`.
pub(crate) fn append_start(
    status: Status,
    headers: &[Header],
    length: Option<u64>,
    out: &mut Vec<u8>,
) {
    append_head(status, headers, out);
    match length {
        Some(length) => {
            out.extend_from_slice(format!("content-length: {length}\r\n\r\n").as_bytes());
        }
        None => out.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n"),
    }
}

/// Appends the head of an answer that ends with its connection to `out`.
pub(crate) fn append_start_unframed(status: Status, headers: &[Header], out: &mut Vec<u8>) {
    append_head(status, headers, out);
    out.extend_from_slice(b"\r\n");
}

/// Appends one chunk of a streamed answer to `out`. Empty parts are skipped, because an empty chunk
/// would end the answer.
pub(crate) fn append_chunk(part: &[u8], out: &mut Vec<u8>) {
    if part.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
    out.extend_from_slice(part);
    out.extend_from_slice(b"\r\n");
}

/// Appends the last chunk of a streamed answer to `out`.
pub(crate) fn append_last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}
