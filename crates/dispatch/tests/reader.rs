//! Parser tests with complete and damaged responses that arrive in chunks of any size.

#![allow(clippy::unwrap_used)]

use dispatch::{CorrelationHeader, Field, ResponseError, ResponsePart, ResponseReader};
use http1::Rule;
use test_case::test_case;

#[derive(Debug, Default, PartialEq)]
struct ParsedResponse {
    statuses: Vec<u16>,
    body: Vec<u8>,
    has_ended: bool,
    error: Option<ResponseError>,
    is_reusable: bool,
}

fn echo() -> Option<CorrelationHeader> {
    Some(CorrelationHeader { name: "x-id".to_string(), value: "mine".to_string() })
}

/// Parses `bytes` in chunks of `chunk_size` bytes, then closes the connection if `is_closed` is
/// set.
fn parse(bytes: &str, chunk_size: usize, is_closed: bool, has_no_body: bool) -> ParsedResponse {
    let mut reader = ResponseReader::new(echo(), has_no_body);
    let mut parsed = ParsedResponse::default();
    for chunk in bytes.as_bytes().chunks(chunk_size) {
        reader.push(chunk);
        collect_parts(&mut reader, &mut parsed);
    }
    if is_closed && !parsed.has_ended && parsed.error.is_none() {
        match reader.close() {
            Ok(rest) => {
                parsed.body.extend(rest);
                parsed.has_ended = true;
            }
            Err(error) => parsed.error = Some(error),
        }
    }
    parsed.is_reusable = reader.is_reusable();
    parsed
}

fn collect_parts(reader: &mut ResponseReader, parsed: &mut ParsedResponse) {
    loop {
        match reader.next_part() {
            Ok(None) => return,
            Ok(Some(ResponsePart::Head { status, .. })) => parsed.statuses.push(status),
            Ok(Some(ResponsePart::Body(part))) => parsed.body.extend_from_slice(&part),
            Ok(Some(ResponsePart::End)) => parsed.has_ended = true,
            Err(error) => {
                parsed.error = Some(error);
                return;
            }
        }
    }
}

const FIXED_LENGTH: &str = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nhello";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nx-id: mine\r\nTransfer-Encoding: chunked\r\n\r\n\
                      2\r\nhe\r\n3\r\nllo\r\n0\r\nx-trailer: 1\r\n\r\n";
const HEAD_UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nhello";

#[test_case(FIXED_LENGTH, true; "known length")]
#[test_case(CHUNKED, true; "chunks with a trailer")]
#[test_case(UNTIL_CLOSE, false; "until the connection closes")]
fn a_complete_response_is_parsed_in_chunks_of_any_size(bytes: &str, is_reusable: bool) {
    for chunk_size in 1..bytes.len() {
        let parsed = parse(bytes, chunk_size, true, false);
        assert_eq!(parsed.body, b"hello", "chunks of {chunk_size}");
        assert!(parsed.has_ended && parsed.error.is_none(), "chunks of {chunk_size}: {parsed:?}");
        assert_eq!(parsed.is_reusable, is_reusable);
    }
}

#[test_case(FIXED_LENGTH; "known length")]
#[test_case(CHUNKED; "chunks")]
#[test_case(HEAD_UNTIL_CLOSE; "head of a response that ends with its connection")]
fn a_response_that_is_truncated_anywhere_is_incomplete(bytes: &str) {
    for length in 0..bytes.len() {
        let parsed = parse(&bytes[..length], 7, true, false);
        assert!(!parsed.has_ended, "truncated after {length} bytes");
        assert!(!parsed.is_reusable);
    }
}

#[test]
fn the_response_to_another_request_is_skipped() {
    let other = FIXED_LENGTH.replace("mine", "other").replace("hello", "wrong");
    let parsed = parse(&format!("{other}{FIXED_LENGTH}"), 11, false, false);
    assert_eq!((parsed.statuses, parsed.body), (vec![200], b"hello".to_vec()));
    assert!(parsed.has_ended && parsed.is_reusable);
}

#[test_case("x-id", " mine " => true; "same id")]
#[test_case("x-id", "other" => false; "other id")]
#[test_case("x-other", "mine" => false; "no id")]
fn only_headers_with_the_id_of_the_request_name_it(name: &str, value: &str) -> bool {
    let header = Field { name: name.to_string(), value: value.to_string() };
    echo().unwrap().is_in(&[header])
}

#[test]
fn a_connection_with_bytes_after_the_response_is_not_reused() {
    let parsed = parse(&format!("{FIXED_LENGTH}HTTP/1.1 200 OK\r\n"), 512, false, false);
    assert!(parsed.has_ended && !parsed.is_reusable);
}

fn excess_bytes() -> Option<ResponseError> {
    Some(ResponseError::Malformed(Rule::ExcessBytes))
}

/// Guards against a body that is cut at a length which is too small, or at a chunk whose size turned into
/// 0.
#[test_case("content-length: 3\r\n\r\nhello" => excess_bytes(); "length")]
#[test_case("content-length: 3\r\n\r\nheyHTTP/2" => excess_bytes(); "length before bytes that resemble an answer")]
#[test_case("content-length: 0\r\n\r\nhello" => excess_bytes(); "length of 0")]
#[test_case("transfer-encoding: chunked\r\n\r\n0\r\na:\r\n\r\n0\r\n\r\n" => excess_bytes(); "last chunk")]
#[test_case("content-length: 3\r\n\r\nheyHTTP/1.1 200 OK\r\n" => None; "length before an answer")]
#[test_case("content-length: 3\r\n\r\nheyHTT" => None; "length before the beginning of an answer")]
#[test_case("content-length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" => None; "length of 0 before an answer")]
#[test_case("transfer-encoding: chunked\r\n\r\n0\r\na:\r\n\r\nHTTP/1.0 200" => None; "last chunk before an answer")]
fn bytes_behind_a_response_that_are_no_response_are_malformed(rest: &str) -> Option<ResponseError> {
    let text = format!("HTTP/1.1 200 OK\r\n{rest}");
    let parsed = parse(&text, 512, false, false);
    assert_ne!(parsed.has_ended, parsed.error.is_some(), "{parsed:?}");
    assert!(!parsed.is_reusable, "{parsed:?}");
    let expects_nothing = parse(&text, 512, false, true);
    assert!(expects_nothing.has_ended, "response to a request for the head: {expects_nothing:?}");
    parsed.error
}

/// Guards against a caller that gets the declared number of bytes before the bytes behind them are read.
#[test_case("content-length: 0\r\n\r\n", 0, 0; "no body")]
#[test_case("content-length: 5\r\n\r\nhello", 1, 0; "body that begins with the head")]
#[test_case("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 1, 5; "chunks")]
fn the_end_of_a_response_is_held_back_while_more_bytes_are_expected(
    rest: &str,
    heads: usize,
    body_bytes: usize,
) {
    for (behind, error) in [("", None), ("x", excess_bytes()), ("HTTP/1.1 200", None)] {
        let mut reader = ResponseReader::new(None, false);
        let mut parsed = ParsedResponse::default();
        reader.push(format!("HTTP/1.1 200 OK\r\n{rest}").as_bytes());
        reader.expect_more(true);
        collect_parts(&mut reader, &mut parsed);
        assert_eq!((parsed.statuses.len(), parsed.body.len()), (heads, body_bytes), "{parsed:?}");
        assert!(!parsed.has_ended && parsed.error.is_none(), "{parsed:?}");
        reader.push(behind.as_bytes());
        reader.expect_more(false);
        collect_parts(&mut reader, &mut parsed);
        assert_eq!((parsed.error, parsed.has_ended), (error, error.is_none()), "{behind:?}");
    }
}

#[test_case("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"; "close")]
#[test_case("HTTP/1.1 200 OK\r\nConnection: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"; "close in a second field")]
#[test_case("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"; "HTTP 1.0")]
fn a_connection_that_the_upstream_closes_is_not_reused(bytes: &str) {
    let parsed = parse(bytes, 512, false, false);
    assert!(parsed.has_ended && !parsed.is_reusable);
}

#[test]
fn interim_responses_are_skipped() {
    let parsed = parse(&format!("HTTP/1.1 100 Continue\r\n\r\n{FIXED_LENGTH}"), 3, false, false);
    assert_eq!(parsed.statuses, [200]);
    assert!(parsed.has_ended);
}

#[test]
fn a_response_without_a_body_ends_after_its_head() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
    assert!(parse(head, 512, false, true).has_ended);
    for status in ["204 No Content", "205 Reset Content", "304 Not Modified"] {
        for field in ["", "content-length: 0\r\n"] {
            let text = format!("HTTP/1.1 {status}\r\n{field}\r\n");
            assert!(parse(&text, 512, false, false).has_ended, "{text:?}");
        }
    }
    assert!(
        parse("HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n", 512, false, false)
            .has_ended
    );
}

#[test_case("garbage\r\n\r\n", Rule::StartLine; "invalid head")]
#[test_case("\r\nHTTP/1.1 204 No Content\r\n\r\n", Rule::StartLine; "empty line before the head")]
#[test_case("HTTP/1.1 204 No Content\n\r\n", Rule::LineEnd; "status line that ends with a line feed")]
#[test_case("HTTP/1.1 200 OK\r\n\ncontent-length: 5\r\n\r\nhello", Rule::LineEnd; "line that is a line feed")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 0\n\r\n", Rule::LineEnd; "field that ends with a line feed")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\n", Rule::LineEnd; "head that ends with a line feed")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx: y\n", Rule::LineEnd; "head that goes on behind a line feed")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", Rule::ContentLength; "two lengths")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n", Rule::ContentLength; "length that is not a number")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: +5\r\n\r\nhello", Rule::ContentLength; "length with a sign")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 5\u{a0}\r\n\r\nhello", Rule::ContentLength; "length with a blank that is not ASCII")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n", Rule::TransferEncoding; "unknown encoding")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n\r\n", Rule::TransferEncoding; "two encodings")]
#[test_case("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", Rule::TransferEncoding; "encoding in a version without encodings")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", Rule::LengthAndEncoding; "length and chunks")]
#[test_case("HTTP/1.1 204 No Content\r\nx-id: mine\r\nx-id: other\r\n\r\n", Rule::Correlation; "two ids")]
#[test_case("HTTP/1.1 204 No Content\r\ncontent-length: x\r\n\r\n", Rule::ContentLength; "invalid length of a response without a body")]
#[test_case("HTTP/1.1 100 Continue\r\ncontent-length: x\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", Rule::ContentLength; "invalid length of an interim response")]
#[test_case("HTTP/1.1 204 No Content\r\ncontent-length: 5\r\n\r\n", Rule::Content; "204 with a length")]
#[test_case("HTTP/1.1 204 No Content\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", Rule::Content; "204 with chunks")]
#[test_case("HTTP/1.1 205 Reset Content\r\ncontent-length: 5\r\n\r\nhello", Rule::Content; "205 with a length")]
#[test_case("HTTP/1.1 103 Early Hints\r\ncontent-length: 5\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", Rule::Content; "interim response with a length")]
fn bytes_that_are_no_response_are_malformed(bytes: &str, rule: Rule) {
    for has_no_body in [false, true] {
        let parsed = parse(bytes, 512, false, has_no_body);
        assert_eq!(parsed.error, Some(ResponseError::Malformed(rule)));
        assert!(!parsed.has_ended && !parsed.is_reusable, "{parsed:?}");
    }
}

fn no_length() -> Option<ResponseError> {
    Some(ResponseError::Malformed(Rule::NoLength))
}

fn framing_field() -> Option<ResponseError> {
    Some(ResponseError::Malformed(Rule::FramingField))
}

/// Guards against chunks that pass as the body because the field that names them is damaged.
#[test_case("keep-alive: timeout=10\r\n", false => no_length(); "timeout of the idle connection")]
#[test_case("connection: Keep-Alive\r\n", false => no_length(); "connection that is kept")]
#[test_case("connection: close\r\nkeep-alive: timeout=10\r\n", false => framing_field(); "connection that is closed")]
#[test_case("", false => framing_field(); "nothing about the connection")]
#[test_case("keep-alive: timeout=10\r\n", true => None; "no body")]
fn an_answer_whose_field_of_the_encoding_is_damaged_is_malformed(
    fields: &str,
    has_no_body: bool,
) -> Option<ResponseError> {
    let body = if has_no_body { "" } else { "2\r\nok\r\n0\r\n\r\n" };
    let text = format!("HTTP/1.1 200 OK\r\nxtransfer-encoding: chunked\r\n{fields}\r\n{body}");
    parse(&text, 512, true, has_no_body).error
}

/// Guards against an answer whose field of the length has lost its name, and against the refusal of one
/// that has no such field.
#[test_case("xontent-length: 5\r\n" => framing_field(); "replaced byte")]
#[test_case("contentlength: 5\r\n" => framing_field(); "dropped byte")]
#[test_case("content--length: 5\r\n" => framing_field(); "doubled byte")]
#[test_case("Content-Lenght: 5\r\n" => framing_field(); "swapped bytes")]
#[test_case("transfer_encoding: gzip\r\n" => framing_field(); "encoding")]
#[test_case("x: \t Chunked \r\n" => framing_field(); "value of the encoding")]
#[test_case("x-content-length: 5\r\n" => None; "field of another use")]
#[test_case("content-language: en\r\ncontent-encoding: gzip\r\n" => None; "fields of content")]
#[test_case("x: chunked, gzip\r\n" => None; "value that holds the encoding")]
#[test_case("keep-alive: timeout=10\r\n" => no_length(); "connection that is kept")]
#[test_case("connection: close\r\nkeep-alive: timeout=10\r\n" => None; "connection that is closed")]
#[test_case("" => None; "nothing")]
fn an_answer_without_a_length_is_checked_for_damaged_fields(fields: &str) -> Option<ResponseError> {
    let text = format!("HTTP/1.1 200 OK\r\nx-id: mine\r\n{fields}\r\nhello");
    let parsed = parse(&text, 512, true, false);
    assert_ne!(parsed.has_ended, parsed.error.is_some(), "{parsed:?}");
    parsed.error
}

fn chunks_in_body() -> Option<ResponseError> {
    Some(ResponseError::Malformed(Rule::ChunksInBody))
}

/// Guards against lines between chunks that pass as the body because nothing in the head tells of them.
#[test_case("2\r\nok\r\n0\r\n\r\n" => chunks_in_body(); "chunks")]
#[test_case("2;a=b\r\nok\r\n" => chunks_in_body(); "chunk with an extension")]
#[test_case("0\r\n\r\n" => chunks_in_body(); "last chunk")]
#[test_case("0\r\nx: 1\r\n\r\n" => chunks_in_body(); "last chunk with a trailer")]
#[test_case("" => None; "nothing")]
#[test_case("2" => None; "digit")]
#[test_case("2\r\n" => None; "size line")]
#[test_case("2\r\nok\r" => None; "half of the end of a chunk")]
#[test_case("2\r\nok?\r\n" => None; "other bytes at the end of a chunk")]
#[test_case("2\nok\n" => None; "line feeds")]
#[test_case("0\r\nx\r\n\r\n" => None; "other lines behind a last chunk")]
#[test_case("data: 2\r\nok\r\n" => None; "hexadecimal digits at the start of a word")]
#[test_case("x\r\n2\r\nok\r\n0\r\n\r\n" => None; "chunks later on")]
fn a_body_without_framing_is_checked_for_chunks(body: &str) -> Option<ResponseError> {
    check_body_without_framing(body)
}

/// Returns the error of an answer with `body`, which is the same whatever its pieces are. Without an error
/// the body is whole.
fn check_body_without_framing(body: &str) -> Option<ResponseError> {
    let text = format!("HTTP/1.1 200 OK\r\nx-id: mine\r\nconnection: close\r\n\r\n{body}");
    let whole = parse(&text, text.len(), true, false);
    for chunk_size in [1, 2, 3] {
        let parsed = parse(&text, chunk_size, true, false);
        assert_eq!((&parsed.body, parsed.error), (&whole.body, whole.error), "{parsed:?}");
    }
    match whole.error {
        None => assert_eq!(String::from_utf8_lossy(&whole.body), body),
        Some(_) => assert!(whole.body.is_empty() && !whole.has_ended, "{whole:?}"),
    }
    whole.error
}

fn head_in_body() -> Option<ResponseError> {
    Some(ResponseError::Malformed(Rule::HeadInBody))
}

/// Guards against fields that pass as the body because an empty line within the head ends it.
#[test_case("Content-Length: 2\r\n\r\nok" => head_in_body(); "length")]
#[test_case("server: a\r\n\r\nok" => None; "other field")]
#[test_case("server: a\r\ntransfer-encoding: chunked\r\n\r\n" => head_in_body(); "encoding behind another field")]
#[test_case("connection: close\r\n" => head_in_body(); "connection")]
#[test_case("\r\nkeep-alive: timeout=1\r\n" => head_in_body(); "field behind another empty line")]
#[test_case("\r\n2\r\nok\r\n" => chunks_in_body(); "chunk behind another empty line")]
#[test_case("content-lengt: 2\r\n\r\nok" => head_in_body(); "damaged length")]
#[test_case("server: \u{e9}\r\nx: chunked\r\n" => head_in_body(); "damaged encoding")]
#[test_case("content-length: 2" => None; "field without an end")]
#[test_case("content-length: 2\n\nok" => None; "field with a line feed")]
#[test_case("content-length 2\r\n\r\nok" => None; "no field")]
#[test_case("server: a\r\n\r\ncontent-length: 2\r\n\r\nok" => None; "length behind an empty line")]
#[test_case("data: a\r\nid: 1\r\n\r\ndata: b\r\n\r\n" => None; "events")]
#[test_case("\r\n" => None; "empty line")]
#[test_case("\r" => None; "carriage return")]
fn a_body_without_framing_is_checked_for_fields(body: &str) -> Option<ResponseError> {
    check_body_without_framing(body)
}

#[test_case("x-load: 1\r\n\r\nok" => head_in_body(); "field of the protocol")]
#[test_case("a: 1\r\nX-Load: 1\r\n\r\nok" => head_in_body(); "field of the protocol behind another one")]
#[test_case("x-loaded: 1\r\n\r\nok" => None; "other field")]
fn a_body_without_framing_is_checked_for_fields_of_the_protocol(
    body: &str,
) -> Option<ResponseError> {
    let mut reader = ResponseReader::new(None, false);
    reader.set_head_fields(&["x-load"]);
    reader.push(format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}").as_bytes());
    let mut parsed = ParsedResponse::default();
    collect_parts(&mut reader, &mut parsed);
    parsed.error
}

/// Guards against a line without end that is held back, and read again with each byte of it.
#[test]
fn a_long_first_line_of_a_body_without_framing_is_passed_on() {
    let mut reader = ResponseReader::new(None, false);
    let mut parsed = ParsedResponse::default();
    reader.push(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nword: ");
    for _ in 0..5000 {
        reader.push(b"x");
        collect_parts(&mut reader, &mut parsed);
    }
    assert_eq!((parsed.body.len(), parsed.error), (5006, None));
}

/// Guards against memory that a body takes which only looks like a large chunk, and against a large chunk
/// that passes as a complete body.
#[test]
fn a_body_that_begins_like_a_large_chunk_is_passed_on_and_cut_at_its_end() {
    let head = "HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\n";
    for (end, error) in [("\r\n", chunks_in_body()), ("x\n", None)] {
        let body = format!("8000\r\n{}{end}", "x".repeat(0x8000));
        let mut reader = ResponseReader::new(echo(), false);
        let mut parsed = ParsedResponse::default();
        for piece in format!("{head}{body}").as_bytes().chunks(1000) {
            reader.push(piece);
            collect_parts(&mut reader, &mut parsed);
            assert!(reader.buffered_bytes() <= 17 << 10);
        }
        assert_eq!(parsed.error, error);
        if error.is_none() {
            assert_eq!(String::from_utf8_lossy(&parsed.body), body);
        }
    }
    let mut reader = ResponseReader::new(echo(), false);
    reader.hold_chunks();
    reader.push(format!("{head}8000\r\n{}", "x".repeat(0x4000)).as_bytes());
    let mut parsed = ParsedResponse::default();
    collect_parts(&mut reader, &mut parsed);
    assert_eq!((parsed.error, parsed.body.len()), (chunks_in_body(), 0), "one that may be resumed");
}

const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

#[test_case("zz\r\n", Rule::ChunkSize; "size that is not a number")]
#[test_case("\r\n\r\n", Rule::ChunkSize; "empty line for a size")]
#[test_case(" \r\n\r\n", Rule::ChunkSize; "blank for a size")]
#[test_case(";a\r\n\r\n", Rule::ChunkSize; "extension without a size")]
#[test_case("5x\r\nhello\r\n0\r\n\r\n", Rule::ChunkSize; "letter behind a size")]
#[test_case("10000000000000005\r\nhello\r\n0\r\n\r\n", Rule::ChunkSize; "size that is too large")]
#[test_case("5 \r\nhello\r\n0\r\n\r\n", Rule::ChunkExtension; "blank behind a size")]
#[test_case("5;\r\nhello\r\n0\r\n\r\n", Rule::ChunkExtension; "extension without a name")]
#[test_case("5;a=\r\nhello\r\n0\r\n\r\n", Rule::ChunkExtension; "extension without a value")]
#[test_case("5;a b\r\nhello\r\n0\r\n\r\n", Rule::ChunkExtension; "blank within an extension")]
#[test_case("5;a=\"b\r\nhello\r\n0\r\n\r\n", Rule::ChunkExtension; "quote that does not end")]
#[test_case("5\nhello\r\n0\r\n\r\n", Rule::LineEnd; "line feed behind a size")]
#[test_case("5\r\nhello\n0\r\n\r\n", Rule::LineEnd; "line feed behind a chunk")]
#[test_case("5\r\nhello!\r\n0\r\n\r\n", Rule::ChunkEnd; "byte behind a chunk")]
#[test_case("0\r\nhello\r\n0\r\n\r\n", Rule::Trailer; "chunk behind the last one")]
#[test_case("0\r\nodd name: 1\r\n\r\n", Rule::Trailer; "blank in the name of a trailer")]
#[test_case("0\r\n folded: 1\r\n\r\n", Rule::Trailer; "trailer that begins with a blank")]
#[test_case("0\r\nname: \u{7}\r\n\r\n", Rule::Trailer; "control byte in a trailer")]
#[test_case("0\r\nname: 1\n\r\n", Rule::Trailer; "line feed behind a trailer")]
fn chunks_that_break_a_rule_are_malformed(chunks: &str, rule: Rule) {
    for chunk_size in [1, 512] {
        let parsed = parse(&format!("{CHUNKED_HEAD}{chunks}"), chunk_size, true, false);
        assert_eq!(parsed.error, Some(ResponseError::Malformed(rule)), "{parsed:?}");
        assert!(!parsed.has_ended && !parsed.is_reusable, "{parsed:?}");
    }
}

#[test_case("5\r\nhello\r\n0\r\n\r\n"; "chunk")]
#[test_case("000000000000000000005\r\nhello\r\n000\r\n\r\n"; "zeros before a size")]
#[test_case("2;a\r\nhe\r\n3 ; b = c\t;d=\"e;\\\" \"\r\nllo\r\n0;f\r\n\r\n"; "extensions")]
#[test_case("5\r\nhello\r\n0\r\none: 1\r\ntwo:\r\nthree:\t \u{e9} 3 \r\n\r\n"; "trailers")]
fn chunks_that_keep_to_the_rules_are_read(chunks: &str) {
    for chunk_size in [1, 512] {
        let parsed = parse(&format!("{CHUNKED_HEAD}{chunks}"), chunk_size, true, false);
        assert_eq!(parsed.body, b"hello", "{parsed:?}");
        assert!(parsed.has_ended && parsed.is_reusable, "{parsed:?}");
    }
}

/// Guards against lines between chunks that are passed on as data, because the size of a chunk is
/// damaged, in an answer that another call resumes.
#[test]
fn a_held_chunk_is_passed_on_once_its_end_has_arrived() {
    let mut reader = ResponseReader::new(None, false);
    reader.hold_chunks();
    let mut parsed = ParsedResponse::default();
    let mut push = |text: &str| {
        reader.push(text.as_bytes());
        collect_parts(&mut reader, &mut parsed);
        (parsed.body.len(), reader.holds_bytes(), parsed.error)
    };
    assert_eq!(push(CHUNKED_HEAD), (0, false, None));
    assert_eq!(push("5\r\nhel"), (0, true, None));
    assert_eq!(push("lo\r"), (0, true, None));
    assert_eq!(push("\n"), (5, false, None));
    assert_eq!(push(&format!("2000\r\n{}", "x".repeat(0x1000))), (0x1005, false, None), "large");
    assert_eq!(push(&"x".repeat(0xfff)), (0x1005, true, None), "the rest of a large one");
    assert_eq!(push("x\r\n"), (0x2005, false, None));
    assert_eq!(push("8\r\nab\r\n2\r\n"), (0x2005, true, None));
    let malformed = Some(ResponseError::Malformed(Rule::ChunkEnd));
    assert_eq!(push("cd\r\n0\r\n\r\n"), (0x2005, true, malformed));
}

fn invalid_status() -> Option<ResponseError> {
    Some(ResponseError::Malformed(Rule::Status))
}

/// Guards against a status that no HTTP response may have and that reaches the caller as an answer.
#[test_case("000")]
#[test_case("099")]
#[test_case("101"; "101, for which no request asks")]
#[test_case("600")]
#[test_case("999")]
fn a_response_with_an_invalid_status_is_malformed(status: &str) {
    for framing in ["content-length: 5\r\n\r\nhello", "\r\nhello"] {
        let head = format!("HTTP/1.1 {status} Odd\r\nx-id: mine\r\n");
        let parsed = parse(&format!("{head}{framing}"), 512, true, false);
        assert_eq!(parsed.error, invalid_status(), "{framing:?}: {parsed:?}");
        assert!(parsed.statuses.is_empty() && !parsed.has_ended, "{framing:?}: {parsed:?}");
        let parsed = parse(&format!("{head}\r\n{FIXED_LENGTH}"), 512, true, false);
        assert_eq!(parsed.error, invalid_status(), "as interim head: {parsed:?}");
    }
}

#[test_case("200" => vec![200]; "lowest final status")]
#[test_case("599" => vec![599]; "highest final status")]
#[test_case("100" => vec![200]; "lowest interim status")]
#[test_case("102" => vec![200]; "interim status after 101")]
#[test_case("199" => vec![200]; "highest interim status")]
fn a_response_with_a_status_at_the_end_of_the_valid_range_is_read(status: &str) -> Vec<u16> {
    let first = FIXED_LENGTH.replace("200", status);
    let (head, _) = first.split_once("\r\n").unwrap();
    let text = match status.starts_with('1') {
        true => format!("{head}\r\n\r\n{FIXED_LENGTH}"),
        false => first.clone(),
    };
    let parsed = parse(&text, 512, true, false);
    assert!(parsed.has_ended && parsed.error.is_none(), "{parsed:?}");
    parsed.statuses
}

#[test]
fn the_announced_keep_alive_timeout_is_read() {
    let mut reader = ResponseReader::new(None, false);
    reader.push(b"HTTP/1.1 204 No Content\r\nKeep-Alive: timeout=7, max=100\r\n\r\n");
    while reader.next_part().unwrap().is_some() {}
    assert_eq!(reader.keep_alive_seconds(), Some(7));
}
