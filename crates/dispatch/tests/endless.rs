//! Parser tests with upstreams that send bytes without end and with damaged responses.

#![allow(clippy::unwrap_used)]

use dispatch::{CorrelationHeader, EventSplitter, ResponseError, ResponsePart, ResponseReader};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Number of bytes after which the parser must have rejected an endless response.
const REJECTION_LIMIT: usize = 8 << 20;

/// Largest number of bytes that a parser may buffer at any time.
const MAX_BUFFERED_BYTES: usize = 80 << 10;

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: mine\r\n";

fn reader() -> ResponseReader {
    let echo = CorrelationHeader { name: "x-id".to_string(), value: "mine".to_string() };
    ResponseReader::new(Some(echo), false)
}

/// Takes all available parts and appends the body to `body`. Returns whether the response ended.
fn collect_parts(reader: &mut ResponseReader, body: &mut Vec<u8>) -> Result<bool, ResponseError> {
    while let Some(part) = reader.next_part()? {
        match part {
            ResponsePart::Body(bytes) => body.extend_from_slice(&bytes),
            ResponsePart::End => return Ok(true),
            ResponsePart::Head { .. } => {}
        }
    }
    Ok(false)
}

#[test_case("HTTP/1.1 200 ", "very ", 4096; "status line")]
#[test_case("HTTP/1.1 200 OK\r\nx-long: ", "long", 4096; "header")]
#[test_case("HTTP/1.1 200 OK\r\nx-long: ", "long", 1; "header that comes slowly")]
#[test_case("HTTP/1.1 200 OK\r\n", "x-one: 1\r\n", 1000; "number of headers")]
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n", 1000; "interim responses")]
#[test_case("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n", 3; "interim responses with headers")]
#[test_case("CHUNKS", "0", 512; "chunk size")]
#[test_case("CHUNKS5;", "extension", 512; "chunk extension")]
#[test_case("CHUNKS0\r\n", "x-trailer: 1\r\n", 512; "number of trailers")]
#[test_case("CHUNKS0\r\nx-trailer: ", "long", 512; "trailer")]
#[test_case("", "HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 1\r\n\r\nx", 700; "duplicates")]
#[test_case("HTTP/1.1 200 OK\r\nx-id: other\r\n\r\n", "endless", 4096; "endless late duplicate")]
fn an_endless_response_is_rejected_with_bounded_buffering(
    prefix: &str,
    repeated: &str,
    chunk_size: usize,
) {
    let prefix = prefix.replace("CHUNKS", &format!("{HEAD}transfer-encoding: chunked\r\n\r\n"));
    let mut reader = reader();
    let mut body = Vec::new();
    reader.push(prefix.as_bytes());
    let text = repeated.repeat(chunk_size.div_ceil(repeated.len()) + 1);
    let mut sent = prefix.len();
    // A chunk that ends inside `repeated` is continued at that position by the next chunk.
    while sent < REJECTION_LIMIT {
        let from = (sent - prefix.len()) % repeated.len();
        reader.push(&text.as_bytes()[from..from + chunk_size]);
        sent += chunk_size;
        match collect_parts(&mut reader, &mut body) {
            Ok(has_ended) => assert!(!has_ended),
            Err(error) => {
                assert!(matches!(error, ResponseError::Malformed(_)), "{error}");
                assert_eq!(body.len(), 0);
                return;
            }
        }
        assert!(
            reader.buffered_bytes() <= MAX_BUFFERED_BYTES,
            "{} bytes buffered",
            reader.buffered_bytes()
        );
    }
    assert_eq!(sent, 0, "the bytes were still not rejected at the limit");
}

#[test_case("content-length: 2\r\n\r\nhi"; "known length")]
#[test_case("transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"; "chunks")]
fn bytes_after_a_response_are_dropped_and_prevent_reuse(rest: &str) {
    let mut reader = reader();
    let mut body = Vec::new();
    reader.push(format!("{HEAD}{rest}").as_bytes());
    assert_eq!(collect_parts(&mut reader, &mut body), Ok(true));
    assert!(reader.is_reusable());
    for _ in 0..1000 {
        reader.push(&[b'x'; 4096]);
        assert_eq!(collect_parts(&mut reader, &mut body), Ok(false));
    }
    assert_eq!((reader.buffered_bytes(), body.as_slice()), (0, &b"hi"[..]));
    assert!(!reader.is_reusable());
}

#[test_case("data: never"; "data")]
#[test_case(": comment "; "comment")]
fn an_event_without_end_is_rejected(repeated: &str) {
    let mut splitter = EventSplitter::default();
    let mut sent = 0;
    while sent < REJECTION_LIMIT {
        splitter.push(repeated.as_bytes());
        sent += repeated.len();
        if splitter.next_event().is_err() {
            return;
        }
    }
    assert_eq!(sent, 0, "the bytes were still not rejected at the limit");
}

/// Damages `bytes` at up to three random positions.
fn damage(random: &mut Pcg64Mcg, bytes: &mut Vec<u8>) {
    for _ in 0..random.random_range(0..4) {
        let position = random.random_range(0..bytes.len());
        match random.random_range(0..4) {
            0 => bytes[position] = random.random(),
            1 => bytes.truncate(position.max(1)),
            2 => bytes.insert(position, b"\r\n:0;a"[random.random_range(0..6)]),
            _ => {
                let copy = bytes[position..].to_vec();
                bytes.extend(copy);
            }
        }
    }
}

/// Outcome of a response. A head that breaks several rules is refused for the one that is seen first,
/// which depends on what has arrived.
#[derive(Debug, PartialEq)]
enum Outcome {
    Ended(bool),
    Malformed,
    Truncated,
}

impl From<Result<bool, ResponseError>> for Outcome {
    fn from(result: Result<bool, ResponseError>) -> Self {
        match result {
            Ok(has_ended) => Self::Ended(has_ended),
            Err(ResponseError::Malformed(_)) => Self::Malformed,
            Err(ResponseError::Truncated) => Self::Truncated,
        }
    }
}

/// Parses `bytes` in chunks of `chunk_size` bytes, which the connection holds when the parser starts, and
/// returns the body and the outcome.
fn parse(bytes: &[u8], chunk_size: usize) -> (Vec<u8>, Outcome) {
    let (mut reader, mut body) = (reader(), Vec::new());
    let mut parts = bytes.chunks(chunk_size).peekable();
    while let Some(part) = parts.next() {
        reader.push(part);
        reader.expect_more(parts.peek().is_some());
        match collect_parts(&mut reader, &mut body) {
            Ok(false) => {}
            outcome => return (body, outcome.into()),
        }
    }
    let closed = reader.close().map(|rest| body.extend(rest));
    (body, closed.map(|()| true).into())
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn the_parse_of_a_damaged_response_is_independent_of_chunk_sizes(seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let responses = [
        format!("{HEAD}content-length: 11\r\n\r\nhello world"),
        format!("{HEAD}transfer-encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nx: 1\r\n\r\n"),
        format!("HTTP/1.1 100 Continue\r\n\r\n{HEAD}\r\nhello"),
        format!("HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 1\r\n\r\nx{HEAD}\r\nhello"),
    ];
    for round in 0..1500 {
        let mut bytes = responses[round % responses.len()].clone().into_bytes();
        damage(&mut random, &mut bytes);
        let expected = parse(&bytes, bytes.len());
        for chunk_size in [1, 2, 7] {
            let (body, outcome) = parse(&bytes, chunk_size);
            let text = String::from_utf8_lossy(&bytes);
            assert_eq!(outcome, expected.1, "in chunks of {chunk_size}: {text:?}");
            let is_same = match outcome {
                // Less of the body is passed on if the broken rule is seen earlier.
                Outcome::Malformed => body.starts_with(&expected.0),
                Outcome::Ended(_) | Outcome::Truncated => body == expected.0,
            };
            assert!(is_same, "in chunks of {chunk_size}: {text:?}: {body:?}, {:?}", expected.0);
        }
    }
}
