//! Upstreams whose bytes never end, a hundred at once, with real processes.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use support::machines::{KEY, Machines, document};
use support::worker::{Behaviour, Exchange, Worker, exchange};
use support::{memory_kibibytes, wait_for};
use test_case::test_case;

const CALLS: usize = 100;

/// Memory of an instance at most.
const MAX_MEMORY_KIBIBYTES: u64 = 64 * 1024;

/// How long callers wait.
const CALLER_WAITS: &str = "3000";
const LONGEST: Duration = Duration::from_secs(5);

const HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n\
                       transfer-encoding: chunked\r\n\r\n";
const TRAILED: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n\
                       transfer-encoding: chunked\r\n\r\n0\r\n";
const FAILED: &str = "HTTP/1.1 500 Broken\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n\r\n";
const OPEN: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n\r\ndata: ";

fn call(machines: &Machines, path: &str, id: &str) -> std::io::Result<Exchange> {
    let key = format!("Token {KEY}");
    let headers = [
        ("Request-Id", id),
        ("Authorization", key.as_str()),
        ("Prompt-Prefix", "aa:100,cc:10"),
        ("Token-Counts", "110,40"),
        ("Deadline-Remaining", CALLER_WAITS),
    ];
    exchange(machines.entries[0].callers(), "POST", path, &headers, "")
}

#[test_case("HTTP/1.1 200 ", "very "; "status line")]
#[test_case(HEAD, "x-one: 1\r\n"; "headers")]
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n"; "interim answers")]
#[test_case(CHUNKED, "5;extension"; "chunk extension")]
#[test_case(TRAILED, "x-trailer: 1\r\n"; "trailers")]
#[test_case(FAILED, "the body of a failure "; "body of a failure")]
#[test_case(OPEN, "an event that never ends "; "event")]
fn endless_bytes_fill_no_memory_and_hold_up_nobody_else(begin: &'static str, more: &'static str) {
    let machines = Machines::start(1, 1);
    let bad = Worker::start("i-bad", "engines", machines.seeds());
    let _shop = Worker::start("i-shop", "shop", machines.seeds());
    machines.declare(&document(7));
    machines.await_ready(7);
    let entry = &machines.entries[0];
    wait_for("both upstreams", || (entry.events("upstream").len() >= 2).then_some(()));
    let process = entry.process.as_ref().unwrap().id();
    bad.behave(Behaviour::Endless(begin, more));
    std::thread::scope(|scope| {
        for number in 0..CALLS {
            let machines = &machines;
            scope.spawn(move || {
                let begun = Instant::now();
                let answer = call(machines, "/captions/1", &format!("e{number}"));
                let is_success = answer.is_ok_and(|one| one.status == 200 && one.is_whole);
                assert!(!is_success, "what never ended reached the caller as an answer");
                assert!(begun.elapsed() < LONGEST, "{:?}", begun.elapsed());
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
    let is_avoided = || {
        let avoided = entry.events("avoided");
        avoided.iter().any(|one| one["upstream"] == "i-bad").then_some(())
    };
    wait_for("the engine to count as failing", is_avoided);
}
