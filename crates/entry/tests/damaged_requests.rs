//! Requests of which one byte is replaced by every value, dropped, or doubled: they are refused or wait
//! for more bytes, or are exactly what the bytes mean by a second reading of the grammar.

#![allow(clippy::unwrap_used)]

#[path = "../../http1/tests/grammar/mod.rs"]
mod grammar;

use std::str::FromStr;

use entry::{Body, BodyOutcome, Head, Method, ParseOutcome};
use test_case::test_case;

/// Limits on the sizes of head and body, which no request here exceeds.
const LIMIT: usize = 1 << 20;

/// Method, path and body of a request, and the bytes behind it.
type Meaning = Option<(Method, String, Vec<u8>, Vec<u8>)>;

/// Returns the meaning by the reader, to which the bytes arrive in pieces.
fn read(bytes: &[u8], piece: usize) -> Meaning {
    let mut received = Vec::new();
    let mut request: Option<(Head, Body)> = None;
    let mut pieces = bytes.chunks(piece);
    loop {
        received.extend_from_slice(pieces.next()?);
        if request.is_none() {
            match Head::parse(&received, LIMIT) {
                ParseOutcome::Partial => continue,
                ParseOutcome::Refused(_) => return None,
                ParseOutcome::Complete(head) => {
                    received.drain(..head.length);
                    let body = Body::new(head.body);
                    request = Some((head, body));
                }
            }
        }
        let (head, body) = request.as_mut()?;
        match body.read(&mut received, LIMIT) {
            BodyOutcome::Partial => {}
            BodyOutcome::Refused(_) => return None,
            BodyOutcome::Complete(body) => {
                let rest = received.into_iter().chain(pieces.flatten().copied()).collect();
                return Some((head.method, head.path.clone(), body, rest));
            }
        }
    }
}

/// Returns method, path and version of a request line.
fn request_line(line: &str) -> Option<(Method, &str, &str)> {
    let mut words = line.split(' ');
    let (method, path, version) = (words.next()?, words.next()?, words.next()?);
    let is_valid = words.next().is_none()
        && !path.is_empty()
        && matches!(version, "HTTP/1.0" | "HTTP/1.1")
        && !path.contains(['\t', '\u{fffd}']);
    Some((Method::from_str(method).ok().filter(|_| is_valid)?, path, version))
}

/// Returns the meaning by the second reading. Empty lines before a request are skipped.
fn mean(mut bytes: &[u8]) -> Meaning {
    while let Some(behind) = bytes.strip_prefix(b"\r\n") {
        bytes = behind;
    }
    let message = grammar::message(bytes, |line| line.ends_with("HTTP/1.0"), |_| false)?;
    let (method, path, _) = request_line(&message.start_line)?;
    if message.trailers > 0 {
        return None;
    }
    let (body, rest) = match message.body {
        Some(body) => (body, message.rest),
        // Without a length and chunks a request has no body.
        None => (Vec::new(), message.rest),
    };
    Some((method, path.to_string(), body, rest))
}

#[test_case("POST /a HTTP/1.1\r\nHost: b\r\nContent-Length: 12\r\n\r\nhello, world"; "length")]
#[test_case("POST /a HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nhello, \r\n05;a = \"b\\\"\"; c=d\r\nworld\r\n0\r\n\r\n"; "chunks")]
#[test_case("POST /a HTTP/1.1\r\nhost: b\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab: c\r\n0\r\n\r\n"; "chunk that looks like a field")]
#[test_case("GET /a?b=c HTTP/1.1\r\nHost: b\r\n\r\n"; "no body")]
#[test_case("POST /a HTTP/1.0\r\ncontent-length: 5\r\n\r\nhello"; "HTTP 1 0")]
#[test_case("POST /a HTTP/1.1\r\nhost: b\r\ncontent-length: 2\r\n\r\nokGET /c HTTP/1.1\r\n\r\n"; "before another request")]
fn a_damaged_request_is_refused_or_what_its_bytes_mean(sound: &str) {
    assert!(mean(sound.as_bytes()).is_some());
    assert_eq!(read(sound.as_bytes(), sound.len()), mean(sound.as_bytes()));
    grammar::for_each_damage(sound.as_bytes(), |bytes| {
        let meaning = mean(bytes);
        for piece in [bytes.len(), 1] {
            let text = String::from_utf8_lossy(bytes);
            assert_eq!(read(bytes, piece), meaning, "in pieces of {piece}: {text:?}");
        }
    });
}
