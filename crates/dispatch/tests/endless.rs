//! Upstreams that send bytes without end, and damaged answers.

#![allow(clippy::unwrap_used)]

use dispatch::{AnswerFlaw, Echo, Piece, Reader, Splitter};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Bytes after which an answer that is none must have been given up.
const PATIENCE: usize = 8 << 20;

/// Bytes that a reader may hold of an answer at any time.
const MOST_HELD: usize = 80 << 10;

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: mine\r\n";

fn reader() -> Reader {
    let echo = Echo { name: "x-id".to_string(), value: "mine".to_string() };
    Reader::new(Some(echo), false)
}

/// All pieces that are there; the body is added up in `body`.
fn take(reader: &mut Reader, body: &mut Vec<u8>) -> Result<bool, AnswerFlaw> {
    while let Some(piece) = reader.next_piece()? {
        match piece {
            Piece::Part(part) => body.extend_from_slice(&part),
            Piece::End => return Ok(true),
            Piece::Head { .. } => {}
        }
    }
    Ok(false)
}

#[test_case("HTTP/1.1 200 ", "very ", 4096; "status line")]
#[test_case("HTTP/1.1 200 OK\r\nx-long: ", "long", 4096; "header")]
#[test_case("HTTP/1.1 200 OK\r\nx-long: ", "long", 1; "header that comes slowly")]
#[test_case("HTTP/1.1 200 OK\r\n", "x-one: 1\r\n", 1000; "number of headers")]
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n", 1000; "interim answers")]
#[test_case("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n", 3; "interim answers with headers")]
#[test_case("CHUNKS", "0", 512; "chunk size")]
#[test_case("CHUNKS5;", "extension", 512; "chunk extension")]
#[test_case("CHUNKS0\r\n", "x-trailer: 1\r\n", 512; "number of trailers")]
#[test_case("CHUNKS0\r\nx-trailer: ", "long", 512; "trailer")]
#[test_case("", "HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 1\r\n\r\nx", 700; "late copies")]
#[test_case("HTTP/1.1 200 OK\r\nx-id: other\r\n\r\n", "endless", 4096; "late copy without an end")]
fn what_never_becomes_an_answer_is_given_up_and_little_of_it_is_held(
    begin: &str,
    more: &str,
    step: usize,
) {
    let begin = begin.replace("CHUNKS", &format!("{HEAD}transfer-encoding: chunked\r\n\r\n"));
    let mut reader = reader();
    let mut body = Vec::new();
    reader.push(begin.as_bytes());
    let text = more.repeat(step.div_ceil(more.len()) + 1);
    let mut sent = begin.len();
    // What is sent goes on in the middle of `more` where a step ends there.
    while sent < PATIENCE {
        let from = (sent - begin.len()) % more.len();
        reader.push(&text.as_bytes()[from..from + step]);
        sent += step;
        match take(&mut reader, &mut body) {
            Ok(has_ended) => assert!(!has_ended),
            Err(flaw) => {
                assert_eq!((flaw, body.len()), (AnswerFlaw::Malformed, 0));
                return;
            }
        }
        assert!(reader.held_bytes() <= MOST_HELD, "{} bytes held", reader.held_bytes());
    }
    assert_eq!(sent, 0, "still waited for after all these bytes");
}

#[test_case("content-length: 2\r\n\r\nhi"; "known length")]
#[test_case("transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"; "chunks")]
fn bytes_behind_an_answer_are_not_held_and_end_the_connection(rest: &str) {
    let mut reader = reader();
    let mut body = Vec::new();
    reader.push(format!("{HEAD}{rest}").as_bytes());
    assert_eq!(take(&mut reader, &mut body), Ok(true));
    assert!(reader.is_reusable());
    for _ in 0..1000 {
        reader.push(&[b'x'; 4096]);
        assert_eq!(take(&mut reader, &mut body), Ok(false));
    }
    assert_eq!((reader.held_bytes(), body.as_slice()), (0, &b"hi"[..]));
    assert!(!reader.is_reusable());
}

#[test_case("data: never"; "data")]
#[test_case(": comment "; "comment")]
fn an_event_that_never_ends_is_given_up(more: &str) {
    let mut splitter = Splitter::default();
    let mut sent = 0;
    while sent < PATIENCE {
        splitter.push(more.as_bytes());
        sent += more.len();
        if splitter.next_event().is_err() {
            return;
        }
    }
    assert_eq!(sent, 0, "still waited for after all these bytes");
}

/// Damages `bytes` in some places.
fn damage(random: &mut Pcg64Mcg, bytes: &mut Vec<u8>) {
    for _ in 0..random.random_range(0..4) {
        let place = random.random_range(0..bytes.len());
        match random.random_range(0..4) {
            0 => bytes[place] = random.random(),
            1 => bytes.truncate(place.max(1)),
            2 => bytes.insert(place, b"\r\n:0;a"[random.random_range(0..6)]),
            _ => {
                let copy = bytes[place..].to_vec();
                bytes.extend(copy);
            }
        }
    }
}

/// What a reader makes of `bytes` in steps.
fn read(bytes: &[u8], step: usize) -> (Vec<u8>, Result<bool, AnswerFlaw>) {
    let (mut reader, mut body) = (reader(), Vec::new());
    for part in bytes.chunks(step) {
        reader.push(part);
        match take(&mut reader, &mut body) {
            Ok(false) => {}
            outcome => return (body, outcome),
        }
    }
    let closed = reader.close();
    (body, closed.map(|()| true))
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn damaged_answers_are_read_alike_however_they_are_split(seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let answers = [
        format!("{HEAD}content-length: 11\r\n\r\nhello world"),
        format!("{HEAD}transfer-encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nx: 1\r\n\r\n"),
        format!("HTTP/1.1 100 Continue\r\n\r\n{HEAD}\r\nhello"),
        format!("HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 1\r\n\r\nx{HEAD}\r\nhello"),
    ];
    for round in 0..1500 {
        let mut bytes = answers[round % answers.len()].clone().into_bytes();
        damage(&mut random, &mut bytes);
        let whole = read(&bytes, bytes.len());
        for step in [1, 2, 7] {
            let (body, outcome) = read(&bytes, step);
            let text = String::from_utf8_lossy(&bytes);
            assert_eq!(outcome, whole.1, "in steps of {step}: {text:?}");
            assert_eq!(body, whole.0, "in steps of {step}: {text:?}");
        }
    }
}
