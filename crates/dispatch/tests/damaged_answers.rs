//! Answers of which one byte is replaced by every value, dropped, or doubled: the reader reports a
//! failure, or exactly what the bytes mean by a second reading of the grammar.

#![allow(clippy::unwrap_used)]

#[path = "../../http1/tests/grammar/mod.rs"]
mod grammar;

use dispatch::{CorrelationHeader, ResponsePart, ResponseReader};
use grammar::Message;
use test_case::test_case;

const ID: &str = "mine";

/// Largest number of interim responses that the reader accepts.
const MAX_INTERIM: usize = 8;

/// What an answer means: its status and its body.
type Meaning = Option<(u16, Vec<u8>)>;

/// Returns the meaning by the reader, and whether the connection is used again.
fn read(bytes: &[u8], piece: usize, has_no_body: bool, holds_chunks: bool) -> (Meaning, bool) {
    let echo = CorrelationHeader { name: "x-id".to_string(), value: ID.to_string() };
    let mut reader = ResponseReader::new(Some(echo), has_no_body);
    if holds_chunks {
        reader.hold_chunks();
    }
    let (mut status, mut body) = (None, Vec::new());
    for piece in bytes.chunks(piece) {
        reader.push(piece);
        loop {
            match reader.next_part() {
                Ok(None) => break,
                Ok(Some(ResponsePart::Head { status: code, .. })) => status = Some(code),
                Ok(Some(ResponsePart::Body(part))) => body.extend_from_slice(&part),
                Ok(Some(ResponsePart::End)) => {}
                Err(_) => return (None, reader.is_reusable()),
            }
        }
    }
    let is_reusable = reader.is_reusable();
    let is_whole = reader.close().map(|rest| body.extend(rest)).is_ok();
    (status.filter(|_| is_whole).map(|status| (status, body)), is_reusable)
}

/// Returns the status of a first line, which RFC 9112 lets a recipient read without the blank behind
/// the status.
fn status(line: &str) -> Option<u16> {
    let rest = line.strip_prefix("HTTP/1.1 ").or_else(|| line.strip_prefix("HTTP/1.0 "))?;
    let digits = rest.get(..3).filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))?;
    let is_ended = rest.len() == 3 || rest.as_bytes()[3] == b' ';
    digits.parse().ok().filter(|_| is_ended)
}

/// Returns whether valid fields tell of a body that is not empty.
fn tells_content(fields: &[(String, String)]) -> bool {
    fields.iter().any(|(name, value)| match name.as_str() {
        "content-length" => value.chars().any(|digit| digit != '0'),
        name => name == "transfer-encoding",
    })
}

/// Returns whether `text` becomes `target` if one byte is replaced, added or removed, or if two
/// neighbours are swapped.
fn is_one_edit_away(text: &str, target: &str) -> bool {
    let (text, target) = (text.as_bytes(), target.as_bytes());
    let shared = text.iter().zip(target).take_while(|(one, other)| one == other).count();
    let (text, target) = (&text[shared..], &target[shared..]);
    match (text, target) {
        ([], []) => false,
        ([_, text @ ..], [_, target @ ..]) if text == target => true,
        ([one, two, text @ ..], [first, second, target @ ..])
            if (one, two) == (second, first) && text == target =>
        {
            true
        }
        ([_, rest @ ..], _) if rest == target => true,
        (_, [_, rest @ ..]) => rest == text,
        _ => false,
    }
}

/// Returns whether a field is a damaged one that told of the end of a body.
fn resembles_framing((name, value): &(String, String)) -> bool {
    ["content-length", "transfer-encoding"].iter().any(|field| is_one_edit_away(name, field))
        || value.to_lowercase() == "chunked"
}

/// Returns whether a field tells of the end of a body or of the connection.
fn belongs_to_head(field: &(String, String)) -> bool {
    let names = ["content-length", "transfer-encoding", "connection", "keep-alive"];
    names.contains(&field.0.as_str()) || resembles_framing(field)
}

/// Returns whether `bytes` begin another answer, or would if more arrived.
fn begins_answer(bytes: &[u8]) -> bool {
    bytes.starts_with(b"HTTP/1.") || b"HTTP/1.".starts_with(bytes)
}

/// Returns the meaning by the second reading, and whether bytes follow the answer. Bytes behind an answer
/// count if they are there with its end.
fn mean(mut bytes: &[u8], has_no_body: bool, is_at_once: bool) -> (Meaning, bool) {
    let mut message: Option<Message>;
    for _ in 0..=MAX_INTERIM {
        let is_other = |fields: &[(String, String)]| {
            fields.iter().any(|(name, value)| name == "x-id" && value != ID)
        };
        let names_other = grammar::message(bytes, is_http_1_0, |_| true)
            .is_some_and(|head| is_other(&head.fields));
        let ends_with_head = |line: &str| {
            let code = status(line).unwrap_or_default();
            matches!(code, 100..=199 | 204 | 205 | 304) || (has_no_body && !names_other)
        };
        message = grammar::message(bytes, is_http_1_0, ends_with_head);
        let Some(message) = message else {
            return (None, false);
        };
        let behind = &bytes[bytes.len() - message.rest.len()..];
        if matches!(status(&message.start_line), Some(100..=199 | 204 | 205))
            && tells_content(&message.fields)
        {
            return (None, false);
        }
        match (status(&message.start_line), message.body) {
            (Some(100 | 102..=199), _) => bytes = behind,
            (Some(200..=599), Some(_)) if names_other => bytes = behind,
            (Some(200..=599), None) if names_other => return (None, false),
            (Some(200..=599), Some(_)) if is_at_once && !has_no_body && !begins_answer(behind) => {
                return (None, true);
            }
            (Some(code @ 200..=599), Some(body)) => {
                return (Some((code, body)), !behind.is_empty());
            }
            (Some(200..=599), None)
                if message.fields.iter().any(resembles_framing)
                    || grammar::begins_with_chunk(behind)
                    || grammar::first_fields(behind).iter().any(belongs_to_head) =>
            {
                return (None, false);
            }
            (Some(code @ 200..=599), None) => return (Some((code, behind.to_vec())), false),
            _ => return (None, false),
        }
    }
    (None, false)
}

fn is_http_1_0(line: &str) -> bool {
    line.starts_with("HTTP/1.0")
}

#[test_case("HTTP/1.1 200 OK\r\nx-id: mine\r\nContent-Length: 12\r\n\r\nhello, world", false; "length")]
#[test_case("HTTP/1.1 200 OK\r\nx-id: mine\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nhello, \r\n05;a = \"b\\\"\"; c=d\r\nworld\r\n0\r\nx-sum: 1\r\n\r\n", false; "chunks")]
#[test_case("HTTP/1.1 200 OK\r\nx-id: mine\r\ntransfer-encoding: chunked\r\n\r\n11\r\nkey: value\r\nab: c\r\n0\r\n\r\n", false; "chunk that looks like fields")]
#[test_case("HTTP/1.1 200 OK\r\nx-id: mine\r\nconnection: close\r\n\r\nhello, world", false; "until close")]
#[test_case("HTTP/1.0 200 OK\r\nx-id: mine\r\ncontent-length: 5\r\n\r\nhello", false; "HTTP 1 0")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nx-id: mine\r\ncontent-length: 5\r\n\r\nhello", false; "behind an interim answer")]
#[test_case("HTTP/1.1 200 OK\r\nx-id: late\r\ncontent-length: 4\r\n\r\ncopyHTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 5\r\n\r\nhello", false; "behind a late copy")]
#[test_case("HTTP/1.1 200 OK\r\nx-id: late\r\ntransfer-encoding: chunked\r\n\r\n4\r\ncopy\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 5\r\n\r\nhello", false; "behind a late copy in chunks")]
#[test_case("HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 5\r\n\r\n", true; "to a request for the head")]
#[test_case("HTTP/1.1 204 No Content\r\nx-id: mine\r\n\r\n", false; "without a body")]
#[test_case("HTTP/1.1 205 Reset\r\nx-id: mine\r\ncontent-length: 0\r\n\r\n", false; "with a length of 0")]
#[test_case("HTTP/1.1 304 Not Modified\r\nx-id: mine\r\ncontent-length: 5\r\n\r\n", false; "without the body that it tells of")]
#[test_case("HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\n", false; "before other bytes")]
fn a_damaged_answer_is_a_failure_or_what_its_bytes_mean(sound: &str, has_no_body: bool) {
    let (meaning, has_rest) = mean(sound.as_bytes(), has_no_body, true);
    assert!(meaning.is_some());
    assert_eq!(
        read(sound.as_bytes(), sound.len(), has_no_body, false),
        (meaning, !has_rest && is_kept(sound))
    );
    let mut plays = 0;
    grammar::for_each_damage(sound.as_bytes(), |bytes| {
        plays += 1;
        for (piece, holds_chunks) in [(bytes.len(), false), (1, false), (1, true)] {
            let (meaning, has_rest) = mean(bytes, has_no_body, piece > 1);
            let (found, is_reusable) = read(bytes, piece, has_no_body, holds_chunks);
            let text = String::from_utf8_lossy(bytes);
            assert_eq!(found, meaning, "in pieces of {piece}: {text:?}");
            assert!(!is_reusable || (found.is_some() && !has_rest), "used again after {text:?}");
        }
    });
    assert!(plays >= sound.len() * 258);
}

fn is_kept(sound: &str) -> bool {
    sound.starts_with("HTTP/1.1") && !sound.contains("connection: close")
}

const BODY: &[u8] = b"hello, world";

/// How a complete answer differs from the sound one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Difference {
    /// Another status.
    Status,
    /// Other bytes in a body of the same length.
    Bytes,
    /// A body of another length.
    Length,
}

fn difference(status: u16, body: &[u8]) -> Option<Difference> {
    match status {
        200 if body == BODY => None,
        _ if body == BODY => Some(Difference::Status),
        _ if body.len() == BODY.len() => Some(Difference::Bytes),
        _ => Some(Difference::Length),
    }
}

/// Guards against damage of one byte that leaves a valid answer with another body. Nothing tells of damage
/// to a byte of the body or to a digit of the status. `later` is the number of damages that pass as a
/// body of another length if the bytes behind its end arrive later.
#[test_case("content-length: 12\r\n\r\nhello, world", 9; "length")]
#[test_case("connection: close\r\ncontent-length: 12\r\n\r\nhello, world", 9; "length, and the connection is closed")]
#[test_case("transfer-encoding: chunked\r\n\r\n7\r\nhello, \r\n5\r\nworld\r\n0\r\n\r\n", 0; "chunks")]
#[test_case("connection: close\r\ntransfer-encoding: chunked\r\n\r\n7\r\nhello, \r\n5\r\nworld\r\n0\r\n\r\n", 0; "chunks, and the connection is closed")]
fn damage_of_one_byte_passes_no_body_of_another_length(rest: &str, later: usize) {
    let sound = format!("HTTP/1.1 200 OK\r\nx-id: mine\r\n{rest}");
    let differences = |is_at_once: bool| {
        let mut differences = Vec::new();
        grammar::for_each_damage(sound.as_bytes(), |bytes| {
            let piece = if is_at_once { bytes.len() } else { 1 };
            let (found, _) = read(bytes, piece, false, false);
            differences.extend(found.and_then(|(status, body)| difference(status, &body)));
        });
        let count = |kind| differences.iter().filter(|found| **found == kind).count();
        [Difference::Status, Difference::Bytes, Difference::Length].map(count)
    };
    // 200 may become 201 to 209 without 204 and 205, 210 to 290, and 300, 400 or 500.
    let statuses = 7 + 9 + 3;
    assert_eq!(differences(true), [statuses, BODY.len() * 255, 0]);
    assert_eq!(differences(false)[2], later);
}
