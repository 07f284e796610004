//! Checks that a hundred concurrent responses that never end neither fill the memory of an instance
//! nor delay other callers.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use support::machines::{KEY, Machines, document};
use support::worker::{Behaviour, HttpResponse, Worker, send_request};
use support::{memory_kibibytes, wait_for};
use test_case::test_case;

const ENDLESS_CALLS: usize = 100;

/// Highest memory use of an instance.
const MAX_MEMORY_KIBIBYTES: u64 = 64 * 1024;

/// Value of the `Deadline-Remaining` header of each call.
const CALL_TIMEOUT_MILLISECONDS: &str = "3000";

/// Longest time until a call ends. It exceeds the deadline of the call.
const MAX_CALL_TIME: Duration = Duration::from_secs(5);

/// Beginnings of responses, in which the stand-in replaces `ID` by the id of the request.
const HEADERS_START: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n";
const CHUNK_START: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n\
                       transfer-encoding: chunked\r\n\r\n";
const TRAILERS_START: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n\
                       transfer-encoding: chunked\r\n\r\n0\r\n";
const FAILURE_START: &str = "HTTP/1.1 500 Broken\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n\r\n";
const EVENT_START: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n\r\ndata: ";

fn call(machines: &Machines, path: &str, id: &str) -> std::io::Result<HttpResponse> {
    let key = format!("Token {KEY}");
    let headers = [
        ("Request-Id", id),
        ("Authorization", key.as_str()),
        ("Prompt-Prefix", "aa:100,cc:10"),
        ("Token-Counts", "110,40"),
        ("Deadline-Remaining", CALL_TIMEOUT_MILLISECONDS),
    ];
    send_request(machines.entries[0].callers(), "POST", path, &headers, "")
}

#[test_case("HTTP/1.1 200 ", "very "; "status line")]
#[test_case(HEADERS_START, "x-one: 1\r\n"; "headers")]
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n"; "interim responses")]
#[test_case(CHUNK_START, "5;extension"; "chunk extension")]
#[test_case(TRAILERS_START, "x-trailer: 1\r\n"; "trailers")]
#[test_case(FAILURE_START, "the body of a failure "; "body of a failure")]
#[test_case(EVENT_START, "an event that never ends "; "event")]
fn endless_responses_exhaust_no_memory_and_delay_no_other_caller(
    start: &'static str,
    repeated: &'static str,
) {
    let machines = Machines::start(1, 1);
    let endless_engine = Worker::start("i-bad", "engines", machines.seeds());
    let _shop = Worker::start("i-shop", "shop", machines.seeds());
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_ready(7);
    let entry = &machines.entries[0];
    wait_for("both upstreams", || (entry.events("upstream").len() >= 2).then_some(()));
    let process = entry.process.as_ref().unwrap().id();
    endless_engine.set_behaviour(Behaviour::Endless(start, repeated));
    std::thread::scope(|scope| {
        for number in 0..ENDLESS_CALLS {
            let machines = &machines;
            scope.spawn(move || {
                let started = Instant::now();
                let answer = call(machines, "/captions/1", &format!("e{number}"));
                let is_success =
                    answer.is_ok_and(|response| response.status == 200 && response.is_complete);
                assert!(!is_success, "an endless response reached the caller as a complete answer");
                assert!(started.elapsed() < MAX_CALL_TIME, "{:?}", started.elapsed());
            });
        }
        for number in 0..10 {
            std::thread::sleep(Duration::from_millis(100));
            let answer = call(&machines, "/albums/1", &format!("a{number}")).unwrap();
            assert_eq!(answer.status, 200);
            let memory = memory_kibibytes(process);
            assert!(memory < MAX_MEMORY_KIBIBYTES, "{memory} KiB");
        }
    });
    let find_avoided_event = || {
        let avoided = entry.events("avoided");
        avoided.iter().any(|event| event["upstream"] == "i-bad").then_some(())
    };
    wait_for("log event that the engine is avoided", find_avoided_event);
}
