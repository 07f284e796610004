//! Parser of request lines and headers.

use std::str::FromStr;

use dispatch::Verdict;
use http1::{Declaration, Framing, Rule, Version};

use crate::problem::VERDICT_HEADER;
use crate::{Method, Problem, Rejection};

/// Limit on the number of headers in a request.
const MAX_HEADERS: usize = 64;

/// One header of a request or reply.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Header {
    /// Name, in lower case.
    pub name: String,
    /// Header value.
    pub value: String,
}

impl Header {
    /// Creates the header `name`, given in lower case, with `value`.
    pub fn new(name: &str, value: impl Into<String>) -> Self {
        Self { name: name.to_string(), value: value.into() }
    }

    /// Creates the header that says whether a request may have run.
    pub fn verdict(verdict: Verdict) -> Self {
        Self::new(VERDICT_HEADER, verdict.to_string())
    }
}

/// Length of the body that follows a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// A number of bytes.
    Known(usize),
    /// The body comes in chunks.
    Chunked,
}

/// The parsed head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// HTTP method.
    pub method: Method,
    /// Path with the query.
    pub path: String,
    /// Headers with names in lower case, sorted by name.
    pub headers: Vec<Header>,
    /// Whether the caller wants the connection to stay open after the reply.
    pub keeps_alive: bool,
    /// Whether the caller can read an answer in chunks, which came with HTTP/1.1.
    pub reads_chunks: bool,
    /// Whether the caller waits for a `100 Continue` response before it sends the body.
    pub expects_continue: bool,
    /// Length of the head in bytes.
    pub length: usize,
    /// Length of the body that follows.
    pub body: BodyLength,
}

/// Outcome of parsing the bytes received so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseOutcome {
    /// More bytes are needed.
    Partial,
    /// The head is complete.
    Complete(Head),
    /// The head is malformed, unsupported or too large.
    Refused(Problem),
}

fn malformed(message: impl Into<String>) -> ParseOutcome {
    ParseOutcome::Refused(Problem::rejected(Rejection::BadRequest, "malformed_request", message))
}

fn broken(rule: Rule) -> ParseOutcome {
    malformed(format!("the request is not valid HTTP: {rule}"))
}

fn collect_headers(raw: &[httparse::Header<'_>]) -> Option<Vec<Header>> {
    let mut headers = Vec::with_capacity(raw.len());
    for header in raw {
        let value = std::str::from_utf8(header.value).ok()?;
        headers.push(Header { name: header.name.to_ascii_lowercase(), value: value.to_string() });
    }
    headers.sort();
    Some(headers)
}

fn find<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|header| header.name == name)?;
    Some(header.value.trim())
}

/// Returns the length of the body that follows a head.
fn body_length(version: Version, headers: &[Header]) -> Result<BodyLength, Rule> {
    let fields = headers.iter().map(|header| (header.name.as_str(), header.value.as_str()));
    match Framing::try_from(Declaration::new(version, fields))? {
        Framing::Length(length) => {
            usize::try_from(length.0).map(BodyLength::Known).map_err(|_| Rule::ContentLength)
        }
        Framing::Chunks => Ok(BodyLength::Chunked),
        Framing::UntilClose => Ok(BodyLength::Known(0)),
    }
}

impl Head {
    /// Parses the head at the start of `bytes`. The head may be at most `limit` bytes long.
    pub fn parse(bytes: &[u8], limit: usize) -> ParseOutcome {
        let mut raw = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut raw);
        let length = match request.parse(bytes) {
            Ok(httparse::Status::Complete(length)) if length <= limit => length,
            Ok(httparse::Status::Partial) if bytes.len() < limit => {
                return match http1::check_line_ends(bytes) {
                    Ok(()) => ParseOutcome::Partial,
                    Err(rule) => broken(rule),
                };
            }
            Ok(_) => {
                let message = format!("request line and headers are larger than {limit} bytes");
                return ParseOutcome::Refused(Problem::rejected(
                    Rejection::HeadTooLarge,
                    "head_too_large",
                    message,
                ));
            }
            Err(error) => return malformed(format!("request is not valid HTTP: {error}")),
        };
        if let Err(rule) = http1::check_line_ends(&bytes[..length]) {
            return broken(rule);
        }
        Self::from_request(&request, length)
    }

    fn from_request(request: &httparse::Request<'_, '_>, length: usize) -> ParseOutcome {
        let method = request.method.unwrap_or_default();
        let Ok(method) = Method::from_str(method) else {
            return malformed(format!("method \"{method}\" is not supported"));
        };
        let Some(headers) = collect_headers(request.headers) else {
            return malformed("a header value is not UTF-8");
        };
        let version = if request.version == Some(1) { Version::Http11 } else { Version::Http10 };
        let body = match body_length(version, &headers) {
            Ok(body) => body,
            Err(rule) => return broken(rule),
        };
        let connection = find(&headers, "connection").unwrap_or_default().to_ascii_lowercase();
        let keeps_alive = match version {
            Version::Http11 => connection != "close",
            Version::Http10 => connection == "keep-alive",
        };
        let expects_continue = find(&headers, "expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
        ParseOutcome::Complete(Self {
            method,
            path: request.path.unwrap_or_default().to_string(),
            headers,
            keeps_alive,
            reads_chunks: version == Version::Http11,
            expects_continue,
            length,
            body,
        })
    }
}
