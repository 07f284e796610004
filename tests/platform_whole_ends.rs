//! End-to-end tests of answers that end with their connection and are whole: they stay whole, also
//! beside planned work.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use support::machines::{KEY, Machines, document};
use support::platform_calls::{call, call_in_background, start_upstream};
use support::script::{End, Script};
use support::wait_for;
use support::worker::{Behaviour, Worker, read_response};
use test_case::test_case;

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Starts three control instances and one entry instance.
fn start_machines() -> Machines {
    let machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_document_in_force(7);
    machines
}

/// Returns an answer that has neither a length nor chunks.
fn unframed(headers: &str, body: &str, end: End) -> Script {
    let head = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: s\r\n";
    Script::new(format!("{head}{headers}\r\n{body}"), end)
}

/// Makes the upstream answer once `is_released` says so.
fn answer_when_released(worker: &Worker, is_released: &Arc<AtomicBool>, script: &Script) {
    let (is_released, script) = (is_released.clone(), script.clone());
    worker.set_script(move |_| {
        while !is_released.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(1));
        }
        Some(script.clone())
    });
}

const TYPED: &str = "content-type: text/event-stream\r\n";

#[test_case(TYPED, "id: 1\rdata: a\r\rid: 2\rdata: b\r\r"; "carriage return")]
#[test_case(TYPED, "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"; "carriage return and line feed")]
#[test_case(TYPED, "id: 1\ndata: a\n\r\nid: 2\ndata: b\n\r\n"; "mixed")]
#[test_case(TYPED, "\u{feff}id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; "a byte order mark")]
#[test_case(TYPED, "id: 1\ndata: a\n\n: the end\n"; "a comment at the end")]
#[test_case("", "weight-versions: 3\nid: 1\ndata: a\n\n"; "no type")]
#[test_case("content-type: text/event-stream\r\ncontent-encoding: gzip\r\n", "compressed"; "compressed")]
fn a_whole_stream_stays_whole(headers: &str, body: &str) {
    let machines = start_machines();
    let engine = start_upstream(&machines, "i-engine-1", "engines", Behaviour::Answer);
    let script = unframed(headers, body, End::Close);
    engine.set_script(move |_| Some(script.clone()));
    for path in ["/captions/1", "/reports/1"] {
        let answer = call(machines.entries[0].callers(), path, &path.replace('/', "-"));
        assert_eq!((answer.status, answer.text().as_str()), (200, body), "{path}");
        assert!(answer.is_complete, "{path}");
    }
}

#[test_case("i-engine-1", "engines", "/captions/1", EVENTS; "a stream that may be resumed")]
#[test_case("i-engine-1", "engines", "/reports/1", EVENTS; "a stream")]
#[test_case("i-shop-1", "shop", "/bookings/1", "booked"; "a call")]
fn a_whole_answer_of_an_upstream_that_ends_after_it_said_that_it_leaves_stays_whole(
    name: &str,
    service: &str,
    path: &str,
    body: &str,
) {
    let machines = start_machines();
    let worker = start_upstream(&machines, name, service, Behaviour::Answer);
    let is_released = Arc::default();
    answer_when_released(&worker, &is_released, &unframed("", body, End::Crash));
    let answer = call_in_background(machines.entries[0].callers(), path, "last");
    wait_for("the request", || (!worker.executed_requests().is_empty()).then_some(()));
    assert!(worker.drain());
    wait_for("the leave at the entry instance", || {
        let lines = machines.entries[0].events("upstream");
        lines.iter().any(|line| line["standing"] == "draining").then_some(())
    });
    is_released.store(true, Ordering::Relaxed);
    let answer = answer.join().unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (200, body));
    assert!(answer.is_complete);
}

#[test]
fn a_whole_answer_of_an_upstream_that_accepts_no_connections_for_now_stays_whole() {
    let machines = start_machines();
    let engine = start_upstream(&machines, "i-engine-1", "engines", Behaviour::Answer);
    let script = unframed(TYPED, EVENTS, End::CloseAndHang);
    engine.set_script(move |_| Some(script.clone()));
    let answer = call(machines.entries[0].callers(), "/reports/1", "last");
    assert_eq!((answer.text().as_str(), answer.is_complete), (EVENTS, true));
}

#[test]
fn a_whole_answer_stays_whole_beside_a_graceful_shutdown_of_the_instance() {
    let mut machines = start_machines();
    let engine = start_upstream(&machines, "i-engine-1", "engines", Behaviour::Answer);
    let is_released = Arc::default();
    answer_when_released(&engine, &is_released, &unframed(TYPED, EVENTS, End::Close));
    let callers = machines.entries[0].callers();
    let answers: Vec<_> = (0..4)
        .map(|number| call_in_background(callers, "/reports/1", &format!("r-{number}")))
        .collect();
    wait_for("the requests", || (engine.executed_requests().len() == 4).then_some(()));
    machines.entries[0].process().signal("TERM");
    std::thread::sleep(Duration::from_millis(300));
    is_released.store(true, Ordering::Relaxed);
    for answer in answers {
        let answer = answer.join().unwrap();
        assert_eq!((answer.text().as_str(), answer.is_complete), (EVENTS, true));
    }
}

/// Sends a request by HTTP/1.0, and returns all bytes up to the end of the connection.
fn call_by_http_1_0(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    write!(
        stream,
        "POST {path} HTTP/1.0\r\nhost: api.example\r\nauthorization: Token {KEY}\r\n\
         request-id: old\r\ndeadline-remaining: 5000\r\ncontent-length: 0\r\n\r\n"
    )
    .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

#[test]
fn a_caller_of_http_1_0_gets_a_length_and_no_part_of_an_answer_that_broke_off() {
    let machines = start_machines();
    let engine = start_upstream(&machines, "i-engine-1", "engines", Behaviour::Answer);
    let callers = machines.entries[0].callers();
    let script = unframed(TYPED, EVENTS, End::Close);
    engine.set_script(move |_| Some(script.clone()));
    let answer = call_by_http_1_0(callers, "/reports/1").to_ascii_lowercase();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("http/1.1 200 ") && !head.contains("transfer-encoding"), "{head}");
    assert!(head.contains(&format!("content-length: {}", EVENTS.len())), "{head}");
    assert_eq!(body, EVENTS);
    for end in [End::Close, End::Reset] {
        let script = unframed(TYPED, &EVENTS[..20], end);
        engine.set_script(move |_| Some(script.clone()));
        assert_eq!(call_by_http_1_0(callers, "/reports/1"), "", "{end:?}");
    }
    let script = unframed(TYPED, &"data: x\n\n".repeat(40_000), End::Close);
    engine.set_script(move |_| Some(script.clone()));
    let answer = call_by_http_1_0(callers, "/reports/1");
    assert!(
        answer.starts_with("HTTP/1.1 502 ") && answer.contains("use HTTP/1.1"),
        "{answer:.300}"
    );
}

#[test]
fn a_connection_stays_usable_after_an_answer_that_ended_with_its_connection() {
    let machines = start_machines();
    let engine = start_upstream(&machines, "i-engine-1", "engines", Behaviour::Answer);
    let script = unframed(TYPED, EVENTS, End::Close);
    engine.set_script(move |_| Some(script.clone()));
    let stream = TcpStream::connect(machines.entries[0].callers()).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    for number in 0..3 {
        write!(
            &stream,
            "POST /reports/1 HTTP/1.1\r\nhost: api.example\r\nauthorization: Token {KEY}\r\n\
             request-id: kept-{number}\r\ndeadline-remaining: 5000\r\ncontent-length: 0\r\n\r\n"
        )
        .unwrap();
        let answer = read_response(&mut reader).unwrap();
        assert_eq!((answer.status, answer.text().as_str()), (200, EVENTS), "{number}");
        assert!(answer.is_complete, "{number}");
    }
}
