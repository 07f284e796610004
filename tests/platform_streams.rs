//! End-to-end tests of streams that break off: whatever answers the resumption, the caller sees an
//! unbroken run of events, and a proper end only if the stream is complete.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;

use support::machines::{Machines, document};
use support::platform_calls::{call_within, start_upstream};
use support::wait_for;
use support::worker::{Behaviour, HttpResponse, Worker, complete_stream};

/// Head of a stream of events.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: s\r\n\
                           content-type: text/event-stream\r\n";

/// Last chunk of a chunked body.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Comment, which belongs to no event and may stand anywhere.
const COMMENT: &str = ": wait\n\n";

/// Response head as text, which a faulty upstream sends as a body.
const HEAD_TEXT: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\n";

/// Where the first upstream breaks off its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Break {
    BetweenEvents,
    WithinEvent,
}

/// Response to the resumption of a stream that broke off after four events.
struct Resumption {
    name: &'static str,
    broken: Break,
    response: String,
    /// Number of the last event that the caller receives.
    last_event: usize,
    is_complete: bool,
}

fn event(number: usize) -> String {
    format!("id: {number}\ndata: part {number}\n\n")
}

fn events(first: usize, last: usize) -> String {
    (first..=last).map(event).collect()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns a chunked stream without its last chunk.
fn open_stream(text: &str) -> String {
    let chunks = if text.is_empty() { String::new() } else { chunk(text) };
    format!("{STREAM_HEAD}transfer-encoding: chunked\r\n\r\n{chunks}")
}

fn stream(text: &str) -> String {
    open_stream(text) + LAST_CHUNK
}

/// Returns a response whose body has a length.
fn response(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nrequest-id: ID\r\nserver-stamp: s\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn leak(text: String) -> &'static str {
    Box::leak(text.into_boxed_str())
}

fn call(address: SocketAddr, path: &str, id: &str) -> HttpResponse {
    call_within(address, path, id, "3000")
}

struct Deployment {
    machines: Machines,
    engines: Vec<Worker>,
}

impl Deployment {
    /// Starts three control instances and one entry instance.
    fn start(engines: usize) -> Self {
        let machines = Machines::start(3, 1);
        let start = |name: &str| Worker::start(name, "engines", machines.seeds());
        let engines: Vec<_> = (1..=engines).map(|n| start(&format!("i-engine-{n}"))).collect();
        machines.put_document_until_acknowledged(&document(7));
        machines.wait_ready(7);
        wait_for("arrival of the upstreams at the entry instance", || {
            (machines.entries[0].events("upstream").len() >= engines.len()).then_some(())
        });
        Self { machines, engines }
    }

    fn set_behaviour(&self, behaviour: Behaviour) {
        self.engines.iter().for_each(|engine| engine.set_behaviour(behaviour));
    }

    fn runs(&self, id: &str) -> usize {
        let requests = self.engines.iter().flat_map(Worker::executed_requests);
        requests.filter(|run| run.request == id).count()
    }

    /// Sends requests until one of them has run at least `runs` times, and returns its answer.
    fn call_until_runs(&self, path: &str, name: &str, runs: usize) -> HttpResponse {
        let mut number = 0;
        wait_for(&format!("an answer to {name} after {runs} runs"), || {
            number += 1;
            let id = format!("{name}-{number}");
            let answer = call(self.machines.entries[0].callers(), path, &id);
            (self.runs(&id) >= runs).then_some(answer)
        })
    }
}

/// Returns what the caller must see although the resumption was answered so.
fn resumptions() -> Vec<Resumption> {
    let json = "content-type: application/json\r\n";
    let cut = |name, response| Resumption {
        name,
        broken: Break::WithinEvent,
        response,
        last_event: 4,
        is_complete: false,
    };
    let after_whole_event = |resumption| Resumption { broken: Break::BetweenEvents, ..resumption };
    let stream_head = STREAM_HEAD.to_string();
    vec![
        cut("500", response("500 Error", "", "{\n\n\"error\": \"x\"}\n\n")),
        cut("502-until-close", "HTTP/1.1 502 Bad\r\nrequest-id: ID\r\n\r\nbad\n\n".to_string()),
        cut(
            "503-chunked",
            format!(
                "HTTP/1.1 503 Busy\r\nrequest-id: ID\r\ntransfer-encoding: chunked\r\n\r\n{}{}",
                chunk("busy\n\n"),
                LAST_CHUNK
            ),
        ),
        cut("503-not-run", response("503 Busy", "not-executed: 1\r\n", "busy\n\n")),
        cut("429", response("429 Full", "not-executed: 1\r\n", "full\n\n")),
        cut("404", response("404 Not Found", "", "none\n\n")),
        cut(
            "interim-then-500",
            format!("HTTP/1.1 100 Continue\r\n\r\n{}", response("500 Error", "", "oops\n\n")),
        ),
        cut("204", "HTTP/1.1 204 No Content\r\nrequest-id: ID\r\n\r\n".to_string()),
        cut("206", response("206 Partial Content", "", &events(5, 6))),
        cut("304", "HTTP/1.1 304 Not Modified\r\nrequest-id: ID\r\n\r\n".to_string()),
        cut("200-json", response("200 OK", json, "{\n\n\"error\": \"x\"}\n\n")),
        cut("200-text", response("200 OK", "content-type: text/plain\r\n", "busy\n\n")),
        cut("200-untyped-text", response("200 OK", "", "busy\n\n")),
        cut("200-head-as-body", stream(HEAD_TEXT)),
        cut("200-error-event", stream("data: {\"error\": \"x\"}\n\n")),
        cut("200-empty", stream("")),
        cut("200-only-comment", stream(COMMENT)),
        cut("200-from-the-start", stream(&events(1, 6))),
        cut("200-repeats-the-last", stream(&events(4, 6))),
        cut("200-skips-one", stream(&events(6, 7))),
        cut("200-unfinished", open_stream("")),
        Resumption {
            last_event: 6,
            ..cut("head-after-events", stream(&(events(5, 6) + HEAD_TEXT)))
        },
        Resumption {
            last_event: 6,
            ..cut("head-after-events-until-close", stream_head + "\r\n" + &events(5, 6) + HEAD_TEXT)
        },
        Resumption { last_event: 6, ..cut("200-cut-again", open_stream(&events(5, 6))) },
        after_whole_event(cut("200-empty-until-close", format!("{STREAM_HEAD}\r\n"))),
        after_whole_event(cut("200-empty-untyped", response("200 OK", "", ""))),
        after_whole_event(cut("200-text-after-whole-event", response("200 OK", json, "{}\n\n"))),
        Resumption {
            is_complete: true,
            ..after_whole_event(cut("200-nothing-is-left", stream("")))
        },
        Resumption {
            last_event: 6,
            is_complete: true,
            ..cut("200-untyped-events", response("200 OK", "", &events(5, 6)))
        },
        Resumption {
            last_event: 6,
            is_complete: true,
            ..cut("200-after-comment", stream(&(COMMENT.to_string() + &events(5, 6))))
        },
        // The upstreams count as replaced afterwards, so that this is the last case.
        cut("421", response("421 Misdirected", "not-executed: 1\r\n", "other\n\n")),
    ]
}

#[test]
fn no_answer_to_a_resumption_reaches_the_caller_unless_it_continues_the_stream() {
    let deployment = Deployment::start(2);
    let mut faults = Vec::new();
    for Resumption { name, broken, response, last_event, is_complete } in resumptions() {
        let partial_event = if broken == Break::WithinEvent { "id: 5\ndata: pa" } else { "" };
        let first = leak(open_stream(&(events(1, 4) + partial_event)));
        deployment.set_behaviour(Behaviour::Raw(first, leak(response)));
        let answer = deployment.call_until_runs("/captions/1", name, 2);
        let expected = events(1, last_event);
        let text = answer.text().replace(COMMENT, "");
        if answer.status != 200 || text != expected || answer.is_complete != is_complete {
            let end = if answer.is_complete { "ends as complete" } else { "is cut" };
            let extra = text.replace(&events(1, 4), "[1-4]");
            faults.push(format!("{name}: {} {extra:?} {end}", answer.status));
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn a_started_answer_that_is_not_resumable_ends_in_a_visible_cut() {
    let deployment = Deployment::start(2);
    let error = "HTTP/1.1 500 Error\r\nrequest-id: ID\r\n";
    let chunked = format!("{error}transfer-encoding: chunked\r\n\r\n{}", chunk("oops"));
    for (number, first) in [
        format!("{error}content-length: 9\r\n\r\noops"),
        chunked,
        response("200 OK", "", "the body").replace("the body", "the"),
        open_stream(&events(1, 2)),
    ]
    .into_iter()
    .enumerate()
    {
        deployment.set_behaviour(Behaviour::Raw(leak(first), "must not be sent"));
        let answer = deployment.call_until_runs("/reports/1", &format!("report-{number}"), 1);
        assert!(!answer.is_complete, "{}", answer.text());
        if number < 2 {
            let answer = deployment.call_until_runs("/captions/1", &format!("error-{number}"), 2);
            assert_eq!((answer.status, answer.text().as_str()), (500, "oops"));
            assert!(!answer.is_complete);
        }
    }
}

/// Guards against a repeated stream: no id says where another upstream would have to continue.
#[test]
fn a_stream_without_ids_passes_unchanged_and_is_not_resumed_from_its_start() {
    let deployment = Deployment::start(2);
    let text = "data: part 1\n\ndata: part 2\n\nid: 3\ndata: part 3\n\ndata: unfin";
    let restarted = leak(stream("data: part 1\n\ndata: part 2\n\n"));
    let whole = "data: part 1\n\ndata: part 2\n\nid: 3\ndata: part 3\n\n";
    for (name, text, first, is_complete) in [
        ("cut", text, open_stream(text), false),
        ("end-within-event", text, stream(text), false),
        ("end", whole, stream(whole), true),
    ] {
        deployment.set_behaviour(Behaviour::Raw(leak(first), restarted));
        let answer = deployment.call_until_runs("/captions/1", name, 1);
        assert_eq!((answer.text().as_str(), answer.is_complete), (text, is_complete), "{name}");
    }
}

#[test]
fn an_answer_that_is_no_stream_passes_whole_on_a_route_whose_streams_may_be_resumed() {
    let deployment = Deployment::start(2);
    let whole = response("200 OK", "content-type: application/json\r\n", "{\"text\":\n\n\"a\"}");
    deployment.set_behaviour(Behaviour::Raw(leak(whole), "must not be sent"));
    let answer = deployment.call_until_runs("/captions/1", "json", 1);
    assert_eq!(answer.text(), "{\"text\":\n\n\"a\"}");
    assert!(answer.is_complete);
}

/// Guards against resumptions that an error uses up: each one took two retries from the allowance.
#[test]
fn a_resumption_that_is_answered_with_an_error_takes_one_retry_from_the_allowance() {
    let deployment = Deployment::start(3);
    let mut changed = document(8);
    changed["routes"][0]["attempts"] = 3.into();
    deployment.machines.put_document_until_acknowledged(&changed);
    deployment.machines.wait_document_in_force(8);
    let error = leak(response("500 Error", "", "oops"));
    deployment.set_behaviour(Behaviour::Raw(leak(open_stream(&events(1, 2))), error));
    // The allowance of one entry instance is 40 retries and 0.16 for each request in 10 s.
    for number in 0..18 {
        let id = format!("three-runs-{number}");
        assert!(!call(deployment.machines.entries[0].callers(), "/captions/1", &id).is_complete);
        assert_eq!(deployment.runs(&id), 3, "{id}");
    }
}

#[test]
fn a_stream_that_breaks_off_again_and_again_stays_whole_beside_an_upstream_that_sends_errors() {
    let deployment = Deployment::start(3);
    let mut changed = document(8);
    changed["routes"][0]["attempts"] = 8.into();
    deployment.machines.put_document_until_acknowledged(&changed);
    deployment.machines.wait_document_in_force(8);
    deployment.set_behaviour(Behaviour::BreakAfter(4));
    let json = response("200 OK", "content-type: application/json\r\n", "{}\n\n");
    deployment.engines[0].set_behaviour(Behaviour::Raw("", leak(json)));
    for number in 0..5 {
        let id = format!("whole-{number}");
        let answer = call(deployment.machines.entries[0].callers(), "/captions/1", &id);
        assert_eq!(answer.text(), complete_stream(&id));
        assert!(answer.is_complete);
    }
    let requests = deployment.engines[0].executed_requests();
    let resumptions = requests.iter().filter(|run| run.headers.contains_key("last-event-id"));
    assert!(resumptions.count() > 0, "no resumption was answered with an error");
}

/// Returns an answer without a length and without chunks, which ends with its connection.
fn until_close(headers: &str, text: &str) -> &'static str {
    leak(format!("HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: s\r\n{headers}\r\n{text}"))
}

/// Guards against an answer that ends with its connection and is taken for an interrupted one.
#[test]
fn a_whole_answer_that_ends_with_its_connection_is_complete() {
    let deployment = Deployment::start(2);
    let shop = start_upstream(&deployment.machines, "i-shop-1", "shop", Behaviour::Answer);
    let typed = "content-type: text/event-stream\r\n";
    for (path, headers, text) in [
        ("/captions/1", typed, events(1, 4)),
        ("/captions/2", "", events(1, 4)),
        ("/reports/1", typed, events(1, 4)),
        ("/reports/2", typed, "data: no id\n\n".to_string()),
        ("/reports/3", "content-type: application/json\r\n", "{\"a\": 1}".to_string()),
        ("/reports/4", "", "text".to_string()),
    ] {
        deployment.set_behaviour(Behaviour::Raw(until_close(headers, &text), "not resumed"));
        let answer = deployment.call_until_runs(path, &path.replace('/', "-"), 1);
        assert_eq!((answer.status, answer.text()), (200, text), "{path}");
        assert!(answer.is_complete, "{path}");
    }
    for path in ["/albums/1", "/bookings/1"] {
        shop.set_behaviour(Behaviour::Raw(until_close("", "the album"), ""));
        let answer = call(deployment.machines.entries[0].callers(), path, &path.replace('/', "-"));
        assert_eq!((answer.status, answer.text().as_str()), (200, "the album"), "{path}");
        assert!(answer.is_complete, "{path}");
    }
}

/// Guards against a stream that broke off and looks complete, since its connection was closed.
#[test]
fn a_stream_that_ends_within_an_event_is_interrupted() {
    let deployment = Deployment::start(2);
    let partial = events(1, 3) + "id: 4\ndata: pa";
    let typed = "content-type: text/event-stream\r\n";
    for (name, headers) in [("typed", typed), ("untyped", "")] {
        let broken = until_close(headers, &partial);
        deployment.set_behaviour(Behaviour::Raw(broken, until_close(headers, &events(4, 6))));
        let answer = deployment.call_until_runs("/captions/1", &format!("resumed-{name}"), 2);
        assert_eq!((answer.text(), answer.is_complete), (events(1, 6), true), "{name}");
        let answer = deployment.call_until_runs("/reports/1", &format!("cut-{name}"), 1);
        assert_eq!((answer.status, answer.is_complete), (200, false), "{name}");
        assert!(partial.starts_with(&answer.text()), "{name}: {}", answer.text());
    }
    deployment.set_behaviour(Behaviour::Raw(leak(stream(&partial)), ""));
    let answer = deployment.call_until_runs("/reports/1", "chunked", 1);
    assert!(!answer.is_complete, "{}", answer.text());
}
