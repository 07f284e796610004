//! Streams that break off at any byte and are resumed by responses of any content.

#![allow(clippy::unwrap_used)]

use dispatch::{Field, Head, StreamError};
use forward::{EventBoundary, StreamTracker};
use http1::{Declaration, Framing, Version};
use test_case::test_case;

const HEAD_TEXT: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\n";

fn events(first: u64, last: u64) -> String {
    (first..=last).map(|number| format!("id: {number}\ndata: part {number}\n\n")).collect()
}

fn head(status: u16, headers: &[(&str, &str)]) -> Head {
    let field = |(name, value): &(&str, &str)| Field {
        name: (*name).to_string(),
        value: (*value).to_string(),
    };
    let declaration = Declaration::new(Version::Http11, headers.iter().copied());
    let framing = Framing::try_from(declaration).unwrap();
    Head { status, headers: headers.iter().map(field).collect(), framing }
}

fn chunked_stream() -> Head {
    head(200, &[("content-type", "text/event-stream"), ("transfer-encoding", "chunked")])
}

/// Forwards `events` and then the first `cut` bytes of the next event, which are not complete.
fn broken(events: &str, next: &str, cut: usize, out: &mut Vec<u8>) -> StreamTracker {
    let mut tracker = StreamTracker::new(None);
    tracker.forward(events.as_bytes(), out).unwrap();
    tracker.forward(&next.as_bytes()[..cut], out).unwrap();
    tracker.restart();
    tracker
}

fn forward_in_pieces(
    tracker: &mut StreamTracker,
    text: &str,
    size: usize,
    out: &mut Vec<u8>,
) -> Result<(), StreamError> {
    text.as_bytes().chunks(size).try_for_each(|piece| tracker.forward(piece, out))
}

#[test_case(HEAD_TEXT, ""; "head of a response")]
#[test_case("{\n\n\"error\": \"full\"}\n\n", ""; "json")]
#[test_case("data: {\"error\": \"full\"}\n\n", ""; "error event")]
#[test_case("id: 4\ndata: part 4\n\n", ""; "last event again")]
#[test_case("id: 1\ndata: part 1\n\n", ""; "first event again")]
#[test_case("id: 6\ndata: part 6\n\n", ""; "next event is missing")]
#[test_case("id: 5\ndata: part 5\n\nid: 5\ndata: part 5\n\n", "5"; "event twice")]
#[test_case("id: 5\ndata: part 5\n\nbusy\n\n", "5"; "text after an event")]
fn text_that_does_not_continue_a_broken_stream_is_not_joined_to_it(text: &str, joined: &str) {
    let next = events(5, 5);
    let last = if joined.is_empty() { 4 } else { 5 };
    for cut in 0..next.len() {
        for size in 1..=text.len() {
            let mut out = Vec::new();
            let mut tracker = broken(&events(1, 4), &next, cut, &mut out);
            tracker.resume(&chunked_stream()).unwrap();
            let result = forward_in_pieces(&mut tracker, text, size, &mut out);
            assert!(matches!(result, Err(StreamError::NotResumed { .. })), "{result:?}");
            assert_eq!(String::from_utf8(out).unwrap(), events(1, last), "cut {cut}, size {size}");
        }
    }
}

#[test]
fn a_stream_that_breaks_off_twice_continues_with_the_next_event_each_time() {
    let whole = events(1, 9);
    for first in 0..whole.len() {
        for second in 0..whole.len() {
            let mut out = Vec::new();
            let mut tracker = StreamTracker::new(None);
            for (attempt, cut) in [first, second, usize::MAX].into_iter().enumerate() {
                if attempt > 0 {
                    tracker.restart();
                    tracker.resume(&chunked_stream()).unwrap();
                }
                let last: u64 = tracker.last_event_id().map_or(0, |last| last.parse().unwrap());
                let rest = format!(": wait\n\n{}", events(last + 1, 9));
                tracker.forward(&rest.as_bytes()[..cut.min(rest.len())], &mut out).unwrap();
            }
            assert_eq!(String::from_utf8(out).unwrap().replace(": wait\n\n", ""), whole);
            assert_eq!(tracker.check_end(), Ok(()));
        }
    }
}

#[test]
fn ids_that_do_not_count_by_one_only_have_to_increase() {
    let stream = "id: 6\ndata: a\n\nid: 12\ndata: b\n\n";
    for (next, is_joined) in [("id: 18", true), ("id: 13", true), ("id: 12", false)] {
        let mut out = Vec::new();
        let mut tracker = broken(stream, "", 0, &mut out);
        tracker.resume(&chunked_stream()).unwrap();
        let result = tracker.forward(format!("{next}\ndata: c\n\n").as_bytes(), &mut out);
        assert_eq!(result.is_ok(), is_joined, "{next}");
    }
}

#[test_case(500, &[], false; "error")]
#[test_case(206, &[("content-type", "text/event-stream")], false; "part")]
#[test_case(204, &[], false; "no content")]
#[test_case(200, &[("content-type", "application/json")], false; "json")]
#[test_case(200, &[("content-type", "text/plain")], false; "text")]
#[test_case(200, &[("content-type", "Text/Event-Stream; charset=utf-8")], true; "stream")]
#[test_case(200, &[], true; "no type, so that the events decide")]
fn only_a_stream_of_events_resumes_a_stream(
    status: u16,
    headers: &[(&str, &str)],
    is_resumed: bool,
) {
    let mut tracker = broken(&events(1, 4), "", 0, &mut Vec::new());
    assert_eq!(tracker.resume(&head(status, headers)).is_ok(), is_resumed);
}

/// Whether a resumption without an event completes a stream that broke off after whole events.
#[test_case(&[("content-type", "text/event-stream"), ("transfer-encoding", "chunked")], true; "chunked")]
#[test_case(&[("content-type", "text/event-stream"), ("content-length", "0")], true; "length")]
#[test_case(&[("content-type", "text/event-stream")], false; "until close")]
#[test_case(&[("content-length", "0")], false; "no type")]
fn a_resumption_without_an_event_does_not_complete_a_stream_unproven(
    headers: &[(&str, &str)],
    is_complete: bool,
) {
    let next = events(5, 5);
    for text in ["", ": wait\n\n"] {
        for cut in 0..next.len() {
            let mut out = Vec::new();
            let mut tracker = broken(&events(1, 4), &next, cut, &mut out);
            tracker.resume(&head(200, headers)).unwrap();
            tracker.forward(text.as_bytes(), &mut out).unwrap();
            // A second resumption does not bring back what the first one left out.
            tracker.resume(&head(200, headers)).unwrap();
            assert_eq!(tracker.check_end().is_ok(), is_complete && cut == 0, "cut {cut}");
        }
    }
}

#[test]
fn a_stream_whose_events_have_no_ids_is_not_resumed_from_its_start() {
    let mut tracker = StreamTracker::new(None);
    let mut out = Vec::new();
    tracker.forward(b"retry: 100\n\n: wait\n\nid: 1\ndata: a\n\n", &mut out).unwrap();
    assert!(tracker.has_position());
    tracker.forward(b"data: b\n\ndata: c", &mut out).unwrap();
    assert!(!tracker.has_position());
    assert_eq!(tracker.into_partial_event(), b"data: c");
}

#[test_case(&["id: 1\ndata: x\n\n"], false; "after an event")]
#[test_case(&["id: 1\ndata: x\n", "\n"], false; "an empty line in a part of its own")]
#[test_case(&["id: 1\r\ndata: x\r\n", "\r", "\n"], false; "an empty line that is split")]
#[test_case(&["id: 1\ndata: x\n\n", "id: 2"], true; "within the next event")]
#[test_case(&["id: 1\ndata: x\n"], true; "without the empty line")]
#[test_case(&["i", "d", ":", " 1"], true; "byte by byte")]
#[test_case(&["id: 1\n\nid: 2\n", "\n", "\n"], false; "more empty lines")]
#[test_case(&[], false; "empty")]
fn a_stream_whose_bytes_pass_unchanged_shows_whether_it_ends_within_an_event(
    parts: &[&str],
    expected: bool,
) {
    let mut boundary = EventBoundary::typed(true);
    parts.iter().for_each(|part| boundary.push(part.as_bytes()));
    assert_eq!(boundary.is_within_event(false), expected);
}
