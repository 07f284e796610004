//! Checks that answers without end, of which callers read nothing, neither fill the memory of an
//! instance nor keep other callers from theirs.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{Read, Write};
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

/// Size of an answer of the sound upstream, below `limits.unread`.
const SOUND_BYTES: usize = 200 << 10;

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

/// An answer that begins a stream of events, and an event, which is repeated without end.
const EVENTS: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-bad\r\n\
                      content-type: text/event-stream\r\n\r\n";
const EVENT: &str = "data: an event that is whole, of which one after the other follows\n\n";

/// Number of concurrent streams, below the number of slots of [`UPSTREAMS`] engines.
const STREAMS: usize = 560;

/// Opens a connection with a small receive buffer and small segments, for which the operating
/// system keeps a small send buffer, so that unread bytes stay in the instance.
fn connect_narrowly(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.set_tcp_mss(1000).unwrap();
    socket.connect(&address.into()).unwrap();
    TcpStream::from(socket)
}

fn send_and_read_nothing(address: SocketAddr, version: &str, id: &str) -> TcpStream {
    let mut stream = connect_narrowly(address);
    let request = format!(
        "GET /albums/1 {version}\r\nHost: api.example\r\nAuthorization: Token {KEY}\r\n\
         Request-Id: {id}\r\nDeadline-Remaining: {CALL_TIMEOUT}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Sends the next calls, up to [`CALLS`].
fn send_batch(calls: &mut Vec<TcpStream>, address: SocketAddr, version: &str) {
    let first = calls.len();
    for number in first..CALLS.min(first + BATCH) {
        calls.push(send_and_read_nothing(address, version, &format!("e{number}")));
    }
}

/// Starts one entry instance with [`UPSTREAMS`] upstreams of `service`, and one of `other_service`.
fn start_machines(service: &str, other_service: &str) -> (Machines, Vec<Worker>, Worker) {
    let machines = Machines::start(1, 1);
    let upstreams: Vec<Worker> = (0..UPSTREAMS)
        .map(|number| Worker::start(&format!("i-bad-{number}"), service, machines.seeds()))
        .collect();
    let other = Worker::start("i-other", other_service, machines.seeds());
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_ready(7);
    let entry = &machines.entries[0];
    wait_for("all upstreams", || (entry.events("upstream").len() > UPSTREAMS).then_some(()));
    (machines, upstreams, other)
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

/// Returns the whole answer to a caller that reads it as fast as its small receive buffer allows.
fn read_sound_answer(address: SocketAddr, number: usize) -> String {
    let mut stream = connect_narrowly(address);
    let request = format!(
        "POST /reports/1 HTTP/1.1\r\nHost: api.example\r\nAuthorization: Token {KEY}\r\n\
         Request-Id: s{number}\r\nPrompt-Prefix: aa:100,cc:10\r\nToken-Counts: 110,40\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    String::from_utf8(answer).unwrap()
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
    let (machines, upstreams, _engine) = start_machines("shop", "engines");
    let entry = &machines.entries[0];
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
        send_batch(&mut calls, entry.callers(), version);
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

/// Sends a request for a stream, of a context of its own, and reads nothing.
fn start_stream(address: SocketAddr, number: usize) -> TcpStream {
    let mut stream = connect_narrowly(address);
    let request = format!(
        "POST /captions/1 HTTP/1.1\r\nHost: api.example\r\nAuthorization: Token {KEY}\r\n\
         Request-Id: t{number}\r\nPrompt-Prefix: a{number}:100,c{number}:10\r\n\
         Token-Counts: 110,40\r\nDeadline-Remaining: {CALL_TIMEOUT}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Returns the status of a call of the service `shop`.
fn call_shop(address: SocketAddr, number: usize) -> u16 {
    let (key, id) = (format!("Token {KEY}"), format!("p{number}"));
    let headers = [("Request-Id", id.as_str()), ("Authorization", key.as_str())];
    send_request(address, "GET", "/albums/1", &headers, "").unwrap().status
}

/// Guards against memory that grows with streams of whole events without end, which may be resumed
/// and are sent as fast as the connection allows.
#[test]
fn endless_streams_of_events_that_nobody_reads_fill_no_memory() {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let (machines, engines, _shop) = start_machines("engines", "shop");
    let entry = &machines.entries[0];
    let process = entry.process.as_ref().unwrap().id();
    for engine in &engines {
        engine.set_behaviour(Behaviour::Endless(EVENTS, EVENT));
    }
    let mut streams = Vec::new();
    let (mut most, mut number) = (0, 0);
    let until = Instant::now() + Duration::from_secs(4);
    while streams.len() < STREAMS || Instant::now() < until {
        let first = streams.len();
        let batch = first..STREAMS.min(first + BATCH);
        streams.extend(batch.map(|number| start_stream(entry.callers(), number)));
        number += 1;
        assert_eq!(call_shop(entry.callers(), number), 200, "call {number}");
        most = memory_kibibytes(process).max(most);
    }
    let executed = wait_for("all streams to reach an engine", || {
        most = memory_kibibytes(process).max(most);
        let executed: usize = engines.iter().map(|worker| worker.executed_requests().len()).sum();
        (executed >= STREAMS).then_some(executed)
    });
    most = memory_kibibytes(process).max(most);
    println!("at most {most} KiB with {executed} answers of {STREAMS} streams");
    assert!(most < MAX_MEMORY_KIBIBYTES, "{most} KiB");
}

/// Guards against endless answers that use up `limits.unread_total`, so that the sound answers of
/// callers that read them are cut.
#[test]
fn endless_answers_that_nobody_reads_cut_no_answer_that_is_read() {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let (machines, upstreams, engine) = start_machines("shop", "engines");
    let body = "y".repeat(SOUND_BYTES);
    let answer = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-other\r\n\
         content-type: text/plain\r\ncontent-length: {SOUND_BYTES}\r\n\r\n{body}"
    );
    engine.set_behaviour(Behaviour::Raw(answer.leak(), ""));
    for upstream in &upstreams {
        upstream.set_behaviour(Behaviour::Trickle(PLAIN, ANSWER_BYTES));
    }
    let callers = machines.entries[0].callers();
    let mut calls = Vec::new();
    let mut lengths = Vec::new();
    let until = Instant::now() + Duration::from_secs(4);
    while calls.len() < CALLS || Instant::now() < until {
        send_batch(&mut calls, callers, "HTTP/1.1");
        let answer = read_sound_answer(callers, lengths.len());
        assert!(answer.starts_with("HTTP/1.1 200 "), "{:.200}", answer);
        let (_, body) = answer.split_once("\r\n\r\n").unwrap();
        lengths.push(body.len());
    }
    let cut = lengths.iter().filter(|length| **length < SOUND_BYTES).count();
    println!("{cut} of {} answers cut", lengths.len());
    assert_eq!(cut, 0, "{lengths:?}");
}
