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
    let mut boundary = EventBoundary::default();
    text.as_bytes().chunks(piece).for_each(|part| boundary.push(part));
    boundary.is_within_event()
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
