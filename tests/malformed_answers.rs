//! End-to-end tests of answers that break a rule of HTTP/1.1: a caller never gets them as complete,
//! and the next caller gets its own answer.

#![allow(clippy::unwrap_used)]

mod support;

use support::answer_plays::{BODY, Deployment, FIELDS, check_failures, end_of_answer};
use support::malformed::{self, Framing, HeadFault};
use support::script::{Arrival, End, Script};
use support::wait_for;
use support::worker::{event, send_request};
use test_case::test_case;

/// Guards against an answer with a malformed head that a caller gets as an answer, and against a
/// connection that is used again after one.
#[test_case(HeadFault::Length; "length of the body")]
#[test_case(HeadFault::Line; "line that is no field")]
#[test_case(HeadFault::Status; "status 000")]
#[test_case(HeadFault::Name; "blank or control byte in a name")]
fn an_answer_with_a_malformed_head_is_a_failure_of_its_upstream(fault: HeadFault) {
    let groups = Framing::ALL
        .map(|framing| (malformed::heads(fault, framing, FIELDS, BODY), end_of_answer(framing)));
    check_failures(&groups);
}

/// Guards against a part of an answer that passes as complete because a chunk is malformed.
#[test]
fn an_answer_with_malformed_chunks_is_never_complete() {
    let answers = malformed::chunks(FIELDS, BODY);
    let groups: Vec<_> =
        answers.chunks(8).map(|answers| (answers.to_vec(), End::KeepOpen)).collect();
    check_failures(&groups);
}

/// Guards against a success without the signature, which a caller does not count and does not repeat.
#[test]
fn a_success_without_its_signature_is_a_failure_of_its_upstream() {
    let bodies = [
        format!("content-length: {}\r\n\r\n{BODY}", BODY.len()),
        format!("transfer-encoding: chunked\r\n\r\n1e\r\n{BODY}\r\n0\r\n\r\n"),
    ];
    let answers = bodies.map(|body| {
        let fields = FIELDS.replace("server-stamp", "server-st^bmp");
        format!("HTTP/1.1 200 OK\r\n{fields}{body}")
    });
    check_failures(&[(answers.to_vec(), End::KeepOpen)]);
}

/// Guards against a malformed answer that on-call cannot tell from a broken connection.
#[test]
fn a_malformed_answer_is_logged_and_counted_by_the_rule_that_it_breaks() {
    let mut deployment = Deployment::start();
    let answers = [
        ("content-length: +30\r\n\r\n", "content-length"),
        ("content-length: 30\r\ntransfer-encoding: chunked\r\n\r\n", "length-and-encoding"),
        ("\ncontent-length: 30\r\n\r\n", "line-end"),
        ("server load: 1\r\n\r\n", "field-line"),
        ("transfer-encoding: chunked\r\n\r\n\r\n", "chunk-size"),
        ("keep-alive: timeout=10\r\nxontent-length: 30\r\n\r\n", "no-length"),
        ("request-id: other\r\ncontent-length: 30\r\n\r\n", "correlation"),
        ("content-length: 29\r\n\r\n", "excess-bytes"),
        ("contentlength: 30\r\n\r\n", "framing-field"),
        ("\r\n1e\r\n", "chunks-in-body"),
        ("\r\ncontent-length: 30\r\n\r\n", "head-in-body"),
    ];
    for (rest, rule) in answers {
        let text = format!("HTTP/1.1 200 OK\r\n{FIELDS}{rest}{BODY}\r\n");
        let script = Script { arrival: Some(Arrival::AtOnce), ..Script::new(text, End::Close) };
        let (id, answer) = deployment.call("bookings", Some(script));
        assert!(answer.status == 502 || !answer.is_complete, "{rule}: {answer:?}");
        let entry = &deployment.machines.entries[0];
        let line = wait_for("a line about the answer", || {
            entry.events("malformed").into_iter().find(|line| line["request"] == id.as_str())
        });
        assert_eq!((&line["rule"], &line["upstream"]), (&rule.into(), &"i-shop-1".into()));
        let failed = entry.events("failed");
        let failed = failed.iter().find(|line| line["request"] == id.as_str()).unwrap();
        assert_eq!(
            failed["reason"],
            format!("the answer is malformed: {}", line["reason"].as_str().unwrap())
        );
        let metrics = send_request(entry.metrics(), "GET", "/metrics", &[], "").unwrap().text();
        let count = format!("turmericrelay_malformed_answers_total{{rule=\"{rule}\"}} 1");
        assert!(metrics.lines().any(|line| line == count), "{metrics}");
    }
    let head = format!("HTTP/1.1 200 OK\r\n{FIELDS}content-length: 30\r\n\r\nid");
    let (id, _) = deployment.call("bookings", Some(Script::new(head, End::Close)));
    let lines = deployment.machines.entries[0].events("malformed");
    assert!(lines.iter().all(|line| line["request"] != id.as_str()), "{lines:?}");
}

/// Returns a stream of four events, one in each chunk. `size` stands in place of the size of the chunk
/// `damaged`.
fn stream_with_size(damaged: usize, size: &str) -> String {
    let chunks = (1..=4).map(|number| {
        let event = event("stream", number);
        let sound = format!("{:x}", event.len());
        let size = if number == damaged { size } else { sound.as_str() };
        format!("{size}\r\n{event}\r\n")
    });
    let chunks: String = chunks.collect();
    format!("HTTP/1.1 200 OK\r\n{FIELDS}transfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
}

/// Sizes that stand in place of the one of a chunk of 27 bytes.
const SIZES: [&str; 11] = ["19", "1a", "1c", "2a", "30", "3a", "48", "70", "ff", "1", "10"];

/// Answers with a stream whose chunk `damaged` has each of [`SIZES`], and resumes it properly. Returns the
/// complete answers that are not the whole stream.
fn resume_damaged_streams(damaged: usize, end: End) -> Vec<String> {
    let mut deployment = Deployment::start();
    let whole: String = (1..=4).map(|number| event("stream", number)).collect();
    let mut faults = Vec::new();
    for size in SIZES {
        let first = Script::new(stream_with_size(damaged, size), end);
        deployment.workers[1].set_script(move |request| {
            let Some(last) = request.last_event_id else {
                return Some(first.clone());
            };
            let last: usize = last.parse().unwrap();
            let rest: String = (last + 1..=4).map(|number| event("stream", number)).collect();
            let head = format!("HTTP/1.1 200 OK\r\n{FIELDS}content-length: {}", rest.len());
            Some(Script::new(format!("{head}\r\n\r\n{rest}"), End::Close))
        });
        let (_, answer) = deployment.call("captions", None);
        if answer.is_complete && answer.text() != whole {
            faults.push(format!("chunk {damaged} of size {size}: {:?}", answer.text()));
        }
    }
    faults
}

/// Guards against lines of damaged chunks within a stream that another attempt completes.
#[test_case(End::Close; "of an upstream that closes the connection")]
#[test_case(End::KeepOpen; "of an upstream that keeps the connection")]
fn a_resumed_stream_holds_no_lines_of_damaged_chunks(end: End) {
    let plays: Vec<_> = (1..=4)
        .map(|damaged| std::thread::spawn(move || resume_damaged_streams(damaged, end)))
        .collect();
    let faults: Vec<_> = plays.into_iter().flat_map(|play| play.join().unwrap()).collect();
    assert!(faults.is_empty(), "{} of 44 plays: {faults:#?}", faults.len());
}
