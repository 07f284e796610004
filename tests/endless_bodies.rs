//! Checks that answers without end, of which callers read nothing, neither fill the memory of an
//! instance nor keep other callers from theirs.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};
use support::machines::{KEY, Machines, document};
use support::worker::{Behaviour, Worker, send_request};
use support::{memory_kibibytes, wait_for};
use test_case::test_case;

/// Number of upstreams with endless answers.
const UPSTREAMS: usize = 80;

/// Number of concurrent calls. Each upstream takes twelve.
const CALLS: usize = 900;

/// Number of calls that are sent at once. All calls at once need more processor time than the
/// deadline of another caller leaves an instance without optimizations on a busy machine.
const BATCH: usize = 100;

/// Held by the case that is running: all cases at once need more threads than the machine has
/// processor time for, and most of their calls are refused before they reach an upstream.
static RUNNING: Mutex<()> = Mutex::new(());

/// Size of the answer before it only trickles: about as much as the operating system buffers and
/// `limits.unread` allows for one caller.
const ANSWER_BYTES: usize = 300 << 10;

/// Size of an answer that is collected, below `limits.unread`.
const COLLECTED_BYTES: usize = 240 << 10;

/// Memory of the smallest machine of an entry instance in the users' deployments, 160 MB.
const MAX_MEMORY_KIBIBYTES: u64 = 160 * 1000 * 1000 / 1024;

/// Value of the `Deadline-Remaining` header of each call, in milliseconds.
const CALL_TIMEOUT: &str = "5000";

const PLAIN: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n\r\n";
const LENGTH: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n\
                      content-length: 4398046511104\r\n\r\n";
const CHUNK: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n\
                     transfer-encoding: chunked\r\n\r\nFFFFFFFF\r\n";
const FAILURE: &str = "HTTP/1.1 500 Broken\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n\r\n";

/// Sends a request on a connection with a small receive buffer and small segments, for which the
/// operating system keeps a small send buffer, so that unread bytes stay in the instance.
fn send_and_read_nothing(address: SocketAddr, version: &str, id: &str) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.set_tcp_mss(1000).unwrap();
    socket.connect(&address.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    let request = format!(
        "GET /albums/1 {version}\r\nHost: api.example\r\nAuthorization: Token {KEY}\r\n\
         Request-Id: {id}\r\nDeadline-Remaining: {CALL_TIMEOUT}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Asserts that a caller whose upstream is sound gets its whole answer.
fn assert_served(address: SocketAddr, number: usize) {
    let (key, id) = (format!("Token {KEY}"), format!("a{number}"));
    let headers = [
        ("Request-Id", id.as_str()),
        ("Authorization", key.as_str()),
        ("Prompt-Prefix", "aa:100,cc:10"),
        ("Token-Counts", "110,40"),
    ];
    let sent_at = Instant::now();
    let answer = send_request(address, "POST", "/captions/1", &headers, "").unwrap();
    let text = answer.text();
    assert_eq!(answer.status, 200, "request {id}, after {:?}: {text}", sent_at.elapsed());
    assert!(answer.is_complete, "request {id}");
}

/// Guards against memory that grows with the number of callers that read nothing: each may have
/// `limits.unread` waiting, and nothing limited all of them together.
#[test_case(PLAIN, "HTTP/1.1"; "body without a length")]
#[test_case(LENGTH, "HTTP/1.1"; "announced length of 4 TiB")]
#[test_case(CHUNK, "HTTP/1.1"; "chunk of 4 GiB")]
#[test_case(FAILURE, "HTTP/1.1"; "body of a failure")]
#[test_case(PLAIN, "HTTP/1.0"; "body that is collected for a caller without chunks")]
fn endless_answers_that_nobody_reads_fill_no_memory(start: &'static str, version: &str) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let machines = Machines::start(1, 1);
    let upstreams: Vec<Worker> = (0..UPSTREAMS)
        .map(|number| Worker::start(&format!("i-bad-{number}"), "shop", machines.seeds()))
        .collect();
    let _engine = Worker::start("i-engine", "engines", machines.seeds());
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_ready(7);
    let entry = &machines.entries[0];
    wait_for("all upstreams", || (entry.events("upstream").len() > UPSTREAMS).then_some(()));
    let process = entry.process.as_ref().unwrap().id();
    let bytes = if version == "HTTP/1.0" { COLLECTED_BYTES } else { ANSWER_BYTES };
    for upstream in &upstreams {
        upstream.set_behaviour(Behaviour::Trickle(start, bytes));
    }
    let mut calls = Vec::new();
    let mut most = 0;
    let mut number = 0;
    let until = Instant::now() + Duration::from_secs(4);
    while calls.len() < CALLS || Instant::now() < until {
        let first = calls.len();
        for number in first..CALLS.min(first + BATCH) {
            calls.push(send_and_read_nothing(entry.callers(), version, &format!("e{number}")));
        }
        number += 1;
        assert_served(entry.callers(), number);
        most = memory_kibibytes(process).max(most);
    }
    let executed: usize = upstreams.iter().map(|worker| worker.executed_requests().len()).sum();
    println!("at most {most} KiB with {executed} answers of {CALLS} calls");
    assert!(executed >= CALLS, "{executed} of {CALLS} calls reached an upstream");
    assert!(most < MAX_MEMORY_KIBIBYTES, "{most} KiB");
    drop(calls);
}
