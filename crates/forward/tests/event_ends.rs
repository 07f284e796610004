//! Property tests: streams of events with any line ends, in any pieces, that end anywhere.

#![allow(clippy::unwrap_used)]

use forward::{EventBoundary, StreamTracker};
use proptest::prelude::*;
use test_case::test_case;

/// Pieces of a stream. Fields and comments may also be joined to one line.
const TOKENS: [&str; 9] =
    ["id: 1", "data: x", "data", "weight-versions: 3", ": wait", "\n", "\r\n", "\r", "\n\n"];

/// Returns the lines of `text` and what ends each of them; the last one may have no end.
fn lines(text: &str) -> Vec<(&str, &str)> {
    let mut rest = text;
    let mut lines = Vec::new();
    while !rest.is_empty() {
        let length = rest.find(['\r', '\n']).unwrap_or(rest.len());
        let (line, after) = rest.split_at(length);
        let end = ["\r\n", "\n", "\r"].into_iter().find(|end| after.starts_with(end));
        let end = end.unwrap_or_default();
        lines.push((line, end));
        rest = &after[end.len()..];
    }
    lines
}

/// Returns whether `text` ends within an event, as a parser sees it that has the whole text.
fn ends_within_event(text: &str) -> bool {
    let lines = lines(text);
    let mut has_field = false;
    let mut end_before = "";
    for (index, (line, end)) in lines.iter().enumerate() {
        let is_last = index + 1 == lines.len();
        // A last carriage return may be half of a line end, unless the stream uses it alone.
        let is_half = is_last && *end == "\r" && end_before != "\r";
        match line {
            _ if end.is_empty() => return true,
            &"" if is_half => return has_field,
            &"" => has_field = false,
            line => has_field |= !line.starts_with(':'),
        }
        end_before = end;
    }
    has_field
}

fn boundary_of(text: &str, piece: usize) -> bool {
    let mut boundary = EventBoundary::typed(true);
    text.as_bytes().chunks(piece).for_each(|part| boundary.push(part));
    boundary.is_within_event(false)
}

/// Returns the bytes that a tracker forwards, and whether it finds the stream complete.
fn tracked(text: &str, piece: usize) -> (Vec<u8>, bool) {
    let mut tracker = StreamTracker::new(None);
    let mut out = Vec::new();
    for part in text.as_bytes().chunks(piece) {
        tracker.forward(part, &mut out).unwrap();
    }
    let is_complete = tracker.check_end().is_ok();
    out.extend(tracker.into_partial_event());
    (out, is_complete)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn both_trackers_agree_with_a_parser_of_the_whole_text(
        tokens in prop::collection::vec(prop::sample::select(&TOKENS[..]), 0..24),
        cut in any::<prop::sample::Index>(),
        piece in 1usize..40,
    ) {
        let text = tokens.concat();
        let text = &text[..cut.index(text.len() + 1)];
        let expected = ends_within_event(text);
        prop_assert_eq!(boundary_of(text, piece), expected, "{:?}", text);
        let (bytes, is_complete) = tracked(text, piece);
        prop_assert_eq!(String::from_utf8(bytes).unwrap(), text);
        prop_assert_eq!(is_complete, !expected, "{:?}", text);
    }
}

#[test_case("\n"; "line feed")]
#[test_case("\r\n"; "carriage return and line feed")]
#[test_case("\r"; "carriage return")]
fn an_event_is_complete_at_its_empty_line_and_nowhere_before(end: &str) {
    let event = format!("id: 1{end}data: x{end}{end}");
    for piece in 1..=event.len() {
        for cut in 1..=event.len() {
            let is_within = cut < event.len();
            assert_eq!(boundary_of(&event[..cut], piece), is_within, "{cut} {piece}");
            assert_eq!(tracked(&event[..cut], piece).1, !is_within, "{cut} {piece}");
        }
    }
}

#[test_case("id: 1\ndata: x\n\r\n"; "line feed, then carriage return and line feed")]
#[test_case("id: 1\r\ndata: x\r\n\n"; "carriage return and line feed, then line feed")]
#[test_case("id: 1\ndata: x\n\n\n"; "two empty lines")]
#[test_case("id: 1\ndata: x\n\n: end\n"; "a comment at the end")]
#[test_case("\u{feff}id: 1\ndata: x\n\n"; "a byte order mark")]
fn a_stream_that_ends_after_an_event_is_complete(text: &str) {
    for piece in 1..=text.len() {
        assert!(!boundary_of(text, piece), "{piece}");
        let (bytes, is_complete) = tracked(text, piece);
        assert_eq!((bytes.as_slice(), is_complete), (text.as_bytes(), true), "{piece}");
    }
}

#[test_case("id: 7\rdata: x\r\r"; "carriage return")]
#[test_case("id: 7\r\ndata: x\r\n\r\n"; "carriage return and line feed")]
#[test_case("\u{feff}id: 7\ndata: x\n\n"; "a byte order mark")]
fn the_id_of_an_event_is_found_with_any_line_end(text: &str) {
    let mut tracker = StreamTracker::new(None);
    let mut out = Vec::new();
    tracker.forward(text.as_bytes(), &mut out).unwrap();
    assert_eq!((tracker.last_event_id(), out.as_slice()), (Some("7"), text.as_bytes()));
}

/// Returns whether a response without a type that is sent in these pieces ends within an event.
fn untyped_ends_within_event(text: &str, piece: usize, is_proven: bool) -> bool {
    let mut boundary = EventBoundary::untyped(&["weight-versions"]);
    text.as_bytes().chunks(piece).for_each(|part| boundary.push(part));
    boundary.is_within_event(is_proven)
}

#[test_case("id: 1\ndata: x\n\n"; "id")]
#[test_case(": wait\n\ndata: x\n\n"; "comment")]
#[test_case("\n\nretry: 5\n\n"; "empty lines")]
#[test_case("\u{feff}event: a\ndata: x\n\n"; "byte order mark")]
#[test_case("weight-versions: 3\nid: 1\ndata: x\n\n"; "field of the platform")]
fn a_response_without_a_type_that_begins_like_events_is_followed(text: &str) {
    for piece in 1..=text.len() {
        assert!(!untyped_ends_within_event(text, piece, false), "{piece}");
        let broken = format!("{text}id: 9\nda");
        assert!(untyped_ends_within_event(&broken, piece, true), "{piece}");
    }
}

#[test_case("text"; "text")]
#[test_case("{\"id\": 1}"; "json")]
#[test_case("identity: a\n"; "another field")]
#[test_case("iD: 1\n"; "another case")]
#[test_case("\u{1f600}"; "other bytes")]
#[test_case("\n\n"; "empty lines")]
#[test_case(""; "empty")]
fn a_response_without_a_type_that_does_not_begin_like_events_is_never_within_one(text: &str) {
    for piece in 1..=text.len().max(1) {
        assert!(!untyped_ends_within_event(text, piece, false), "{piece}");
    }
}

#[test_case("i"; "field")]
#[test_case("weight-ver"; "field of the platform")]
#[test_case("\u{feff}da"; "field after a byte order mark")]
fn a_response_without_a_type_that_ends_within_its_first_line_needs_a_proof(text: &str) {
    for piece in 1..=text.len() {
        assert!(untyped_ends_within_event(text, piece, false), "{piece}");
        assert!(!untyped_ends_within_event(text, piece, true), "{piece}");
    }
}
