//! Answers as upstreams send them, whole and broken, in pieces of any size.

#![allow(clippy::unwrap_used)]

use dispatch::{AnswerFlaw, Echo, Piece, Reader};
use test_case::test_case;

#[derive(Debug, Default, PartialEq)]
struct Read {
    statuses: Vec<u16>,
    body: Vec<u8>,
    has_ended: bool,
    flaw: Option<AnswerFlaw>,
    is_reusable: bool,
}

fn echo() -> Option<Echo> {
    Some(Echo { name: "x-id".to_string(), value: "mine".to_string() })
}

/// Reads `bytes` in pieces of `step`, then the end of the connection if `is_closed` holds.
fn read(bytes: &str, step: usize, is_closed: bool, has_no_body: bool) -> Read {
    let mut reader = Reader::new(echo(), has_no_body);
    let mut read = Read::default();
    for piece in bytes.as_bytes().chunks(step) {
        reader.push(piece);
        take(&mut reader, &mut read);
    }
    if is_closed && !read.has_ended && read.flaw.is_none() {
        match reader.close() {
            Ok(()) => read.has_ended = true,
            Err(flaw) => read.flaw = Some(flaw),
        }
    }
    read.is_reusable = reader.is_reusable();
    read
}

fn take(reader: &mut Reader, read: &mut Read) {
    loop {
        match reader.next_piece() {
            Ok(None) => return,
            Ok(Some(Piece::Head { status, .. })) => read.statuses.push(status),
            Ok(Some(Piece::Part(part))) => read.body.extend_from_slice(&part),
            Ok(Some(Piece::End)) => read.has_ended = true,
            Err(flaw) => {
                read.flaw = Some(flaw);
                return;
            }
        }
    }
}

const LENGTH: &str = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nhello";
const CHUNKS: &str = "HTTP/1.1 200 OK\r\nx-id: mine\r\nTransfer-Encoding: chunked\r\n\r\n\
                      2\r\nhe\r\n3\r\nllo\r\n0\r\nx-trailer: 1\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nhello";

#[test_case(LENGTH, true; "known length")]
#[test_case(CHUNKS, true; "chunks with a trailer")]
#[test_case(UNTIL_CLOSE, false; "until the close")]
fn whole_answers_are_whole_in_pieces_of_any_size(bytes: &str, is_reusable: bool) {
    for step in 1..bytes.len() {
        let read = read(bytes, step, true, false);
        assert_eq!(read.body, b"hello", "pieces of {step}");
        assert!(read.has_ended && read.flaw.is_none(), "pieces of {step}: {read:?}");
        assert_eq!(read.is_reusable, is_reusable);
    }
}

#[test_case(LENGTH; "known length")]
#[test_case(CHUNKS; "chunks")]
fn an_answer_that_is_cut_anywhere_is_not_whole(bytes: &str) {
    for length in 0..bytes.len() {
        let read = read(&bytes[..length], 7, true, false);
        assert!(!read.has_ended, "cut after {length} bytes");
        assert!(!read.is_reusable);
    }
}

#[test]
fn the_answer_to_another_request_is_left_out() {
    let other = LENGTH.replace("mine", "other").replace("hello", "wrong");
    let read = read(&format!("{other}{LENGTH}"), 11, false, false);
    assert_eq!((read.statuses, read.body), (vec![200], b"hello".to_vec()));
    assert!(read.has_ended && read.is_reusable);
}

#[test]
fn a_connection_with_bytes_behind_the_answer_is_not_used_again() {
    let read = read(&format!("{LENGTH}HTTP/1.1 200 OK\r\n"), 512, false, false);
    assert!(read.has_ended && !read.is_reusable);
}

#[test_case("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"; "close")]
#[test_case("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"; "old version")]
fn an_upstream_that_closes_is_believed(bytes: &str) {
    let read = read(bytes, 512, false, false);
    assert!(read.has_ended && !read.is_reusable);
}

#[test]
fn interim_answers_are_skipped() {
    let read = read(&format!("HTTP/1.1 100 Continue\r\n\r\n{LENGTH}"), 3, false, false);
    assert_eq!(read.statuses, [200]);
    assert!(read.has_ended);
}

#[test]
fn no_body_follows_when_none_can() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
    assert!(read(head, 512, false, true).has_ended);
    assert!(read("HTTP/1.1 204 No Content\r\n\r\n", 512, false, false).has_ended);
}

#[test_case("garbage\r\n\r\n"; "no head")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n"; "two lengths")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n"; "length of letters")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n"; "unknown encoding")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"; "bad chunk")]
fn what_is_no_answer_is_a_flaw(bytes: &str) {
    assert_eq!(read(bytes, 512, false, false).flaw, Some(AnswerFlaw::Malformed));
}

#[test]
fn the_time_for_which_a_connection_is_kept_is_read() {
    let mut reader = Reader::new(None, false);
    reader.push(b"HTTP/1.1 204 No Content\r\nKeep-Alive: timeout=7, max=100\r\n\r\n");
    while reader.next_piece().unwrap().is_some() {}
    assert_eq!(reader.keep_seconds(), Some(7));
}
