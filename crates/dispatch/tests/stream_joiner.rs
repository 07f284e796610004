//! Streams that are interrupted at any byte and resumed by another attempt.

#![allow(clippy::unwrap_used)]

use dispatch::{StreamError, StreamJoiner};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use test_case::test_case;

const SEED_COUNT: u64 = 500;

fn event(id: &str, delta: &Value, finish: Option<&str>) -> String {
    let choices = json!([{ "index": 0, "delta": delta, "finish_reason": finish }]);
    format!("data: {}\n\n", json!({ "id": id, "created": 7, "choices": choices }))
}

/// Returns the stream of an engine that starts at the word `offset`.
fn stream(id: &str, words: u64, offset: u64) -> String {
    let mut text = event(id, &json!({ "role": "assistant", "content": "" }), None);
    text.push_str(": keep-alive\n\n");
    for word in offset..words {
        text.push_str(&event(id, &json!({ "content": format!("w{word} ") }), None));
    }
    text.push_str(&event(id, &json!({}), Some("stop")));
    text.push_str("data: [DONE]\n\n");
    text
}

struct Received {
    text: String,
    ids: Vec<String>,
    finish_reasons: usize,
    done_markers: usize,
}

fn parse_output(out: &[u8]) -> Received {
    let mut received =
        Received { text: String::new(), ids: Vec::new(), finish_reasons: 0, done_markers: 0 };
    for line in String::from_utf8(out.to_vec()).unwrap().lines() {
        match line.strip_prefix("data: ") {
            Some("[DONE]") => received.done_markers += 1,
            Some(data) => {
                let chunk: Value = serde_json::from_str(data).unwrap();
                received.ids.push(chunk["id"].as_str().unwrap().to_string());
                let choice = &chunk["choices"][0];
                received.text.push_str(choice["delta"]["content"].as_str().unwrap_or(""));
                received.finish_reasons += usize::from(!choice["finish_reason"].is_null());
            }
            None => {}
        }
    }
    received.ids.dedup();
    received
}

#[test]
fn the_streams_of_several_attempts_join_without_gap_or_duplicate() {
    let mut interruptions = 0;
    for seed in 0..SEED_COUNT {
        println!("seed {seed}");
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let words = random.random_range(0..30);
        let mut joiner = StreamJoiner::default();
        let mut out = Vec::new();
        for attempt in 0.. {
            let full_stream = stream(&format!("id-{attempt}"), words, joiner.delivered());
            let is_interrupted = random.random_range(0..100) < 70 && attempt < 5;
            let end = if is_interrupted {
                random.random_range(0..full_stream.len())
            } else {
                full_stream.len()
            };
            let mut unsent = &full_stream.as_bytes()[..end];
            while !unsent.is_empty() {
                let (part, remaining) =
                    unsent.split_at(random.random_range(1..=unsent.len().min(200)));
                joiner.push(part, &mut out).unwrap();
                unsent = remaining;
            }
            if joiner.is_complete() {
                break;
            }
            interruptions += 1;
            joiner.resume();
        }
        let received = parse_output(&out);
        let expected: String = (0..words).map(|word| format!("w{word} ")).collect();
        assert_eq!(received.text, expected);
        assert_eq!((received.finish_reasons, received.done_markers), (1, 1));
        assert_eq!(received.ids.len(), 1, "{:?}", received.ids);
    }
    println!("{SEED_COUNT} seeds, {interruptions} interruptions");
}

#[test]
fn an_uninterrupted_stream_is_passed_on_unchanged() {
    let full_stream = stream("id", 5, 0);
    let mut out = Vec::new();
    let mut joiner = StreamJoiner::default();
    joiner.push(full_stream.as_bytes(), &mut out).unwrap();
    assert_eq!(out, full_stream.as_bytes());
    assert_eq!(joiner.delivered(), 5);
}

#[test_case("data: {\"error\":{\"message\":\"out of memory\"}}\n\n", "out of memory"; "error")]
#[test_case("data: {oops\n\n", "not JSON"; "not json")]
#[test_case("data: 7\n\n", "not JSON"; "not an object")]
fn an_invalid_event_fails_the_attempt(event: &str, problem: &str) {
    let mut out = Vec::new();
    let error = StreamJoiner::default().push(event.as_bytes(), &mut out).unwrap_err();
    assert!(error.to_string().contains(problem), "{error}");
    assert!(out.is_empty());
}

#[test]
fn an_event_with_the_id_of_another_response_is_not_passed_on() {
    let mut joiner = StreamJoiner::default();
    let mut out = Vec::new();
    let expected = event("expected", &json!({ "content": "a" }), None);
    let other = event("other", &json!({ "content": "b" }), None);
    joiner.push(expected.as_bytes(), &mut out).unwrap();
    assert_eq!(joiner.push(other.as_bytes(), &mut out), Err(StreamError::IdMismatch));
    assert_eq!(out, expected.as_bytes());
}

#[test]
fn an_event_without_end_is_rejected() {
    let mut joiner = StreamJoiner::default();
    let error = joiner.push(&vec![b'x'; 300 << 10], &mut Vec::new()).unwrap_err();
    assert!(matches!(error, StreamError::EventTooLarge { .. }));
}

const HEAD_TEXT: &str =
    "HTTP/1.1 500 Internal Server Error\r\ncontent-type: application/json\r\n\r\n";

#[test_case(HEAD_TEXT; "head of a response")]
#[test_case("{\n  \"error\": { \"message\": \"full\" }\n}\n\n"; "json over several lines")]
#[test_case("upstream failed\n\n"; "text")]
fn text_of_an_error_is_not_joined_to_a_broken_stream(text: &str) {
    let first = event("one", &json!({ "content": "a" }), None);
    for cut in 0..first.len() {
        for size in 1..=text.len() {
            let mut joiner = StreamJoiner::default();
            let mut out = Vec::new();
            joiner.push(first.as_bytes(), &mut out).unwrap();
            joiner.push(&first.as_bytes()[..cut], &mut out).unwrap();
            joiner.resume();
            let mut pieces = text.as_bytes().chunks(size);
            let error = pieces.find_map(|piece| joiner.push(piece, &mut out).err());
            assert_eq!(out, first.as_bytes(), "cut after {cut} bytes, pieces of {size}");
            assert!(matches!(error, Some(StreamError::Malformed { .. })), "{error:?}");
        }
    }
}

#[test]
fn a_resumption_that_only_says_done_does_not_complete_a_broken_stream() {
    let first = event("one", &json!({ "content": "a" }), None);
    for start in ["", ": wait\n\n", "data: {\"detail\":\"restarting\"}\n\n"] {
        let mut joiner = StreamJoiner::default();
        let mut out = Vec::new();
        joiner.push(first.as_bytes(), &mut out).unwrap();
        joiner.resume();
        let result = joiner.push(format!("{start}data: [DONE]\n\n").as_bytes(), &mut out);
        assert!(matches!(result, Err(StreamError::NotResumed { .. })), "{result:?}");
        assert!(!joiner.is_complete() && !String::from_utf8(out).unwrap().contains("DONE"));
    }
}
