//! Checks that a large answer reaches a caller that reads it more slowly than the upstream sends it,
//! and that callers which read nothing, or more slowly than an operator allows, are cut off.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::json;
use socket2::{Domain, Socket, Type};
use support::machines::{KEY, Machines, document};
use support::worker::{Behaviour, Worker, send_request};

/// Size of an answer. Those of all callers fit into `limits.unread_total`, 32 MiB.
const ANSWER_BYTES: usize = 8 << 20;

/// Number of callers that read their answers slowly at the same time.
const CALLERS: usize = 3;

/// Number of bytes that a slow caller reads at once, and the pause after them: about 2 MB per second.
const READ_BYTES: usize = 64 << 10;
const READ_PAUSE: Duration = Duration::from_millis(30);

/// Time limit of the route in milliseconds, well above the time that a slow caller needs, and above
/// `timing.unread`.
const TIMEOUT_MILLIS: u64 = 60_000;

/// Value of `timing.unread`: the default.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after `timing.unread` at which the answer must have ended.
const MARGIN: Duration = Duration::from_secs(20);

/// Starts one entry instance with an upstream that answers with [`ANSWER_BYTES`].
fn start_machines(settings: &str) -> (Machines, Worker) {
    let machines = Machines::start_with_setup(1, 1, |machine| {
        machine.extra_settings = settings.to_string();
    });
    let shop = Worker::start("i-shop", "shop", machines.seeds());
    let mut document = document(7);
    for route in document["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = json!(TIMEOUT_MILLIS);
    }
    machines.put_document_until_acknowledged(&document);
    machines.wait_ready(7);
    let body = "y".repeat(ANSWER_BYTES);
    let answer = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-shop\r\ncontent-type: text/plain\r\n\
         content-length: {ANSWER_BYTES}\r\n\r\n{body}"
    );
    shop.set_behaviour(Behaviour::Raw(answer.leak(), ""));
    (machines, shop)
}

/// Sends a request over a connection with a small receive buffer and small segments, so that unread
/// bytes stay in the instance.
fn send(address: SocketAddr, number: usize) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(64 << 10).unwrap();
    socket.set_tcp_mss(1000).unwrap();
    socket.connect(&address.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let request = format!(
        "GET /albums/1 HTTP/1.1\r\nHost: api.example\r\nAuthorization: Token {KEY}\r\n\
         Request-Id: r{number}\r\nDeadline-Remaining: {TIMEOUT_MILLIS}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Returns the length of the body that arrives until the connection closes, when the caller pauses
/// after each read.
fn read_body(mut stream: TcpStream, pause: Duration) -> usize {
    let mut answer = Vec::new();
    let mut block = vec![0; READ_BYTES];
    loop {
        let length = match stream.read(&mut block) {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        answer.extend_from_slice(&block[..length]);
        let share = length as f64 / READ_BYTES as f64;
        std::thread::sleep(pause.mul_f64(share));
    }
    let head = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap();
    answer.len() - head - 4
}

/// Guards against answers that are cut because their callers read more slowly than the upstream
/// sends: the unsent part of each was limited to 256 KiB.
#[test]
fn an_answer_of_8_mib_reaches_a_caller_that_reads_2_mb_per_second() {
    let (machines, _shop) = start_machines("");
    let callers = machines.entries[0].callers();
    let readers: Vec<_> = (0..CALLERS)
        .map(|number| std::thread::spawn(move || read_body(send(callers, number), READ_PAUSE)))
        .collect();
    let lengths: Vec<usize> = readers.into_iter().map(|reader| reader.join().unwrap()).collect();
    assert_eq!(lengths, [ANSWER_BYTES; CALLERS]);
}

/// Guards against a limit of an operator that no longer applies.
#[test]
fn an_answer_above_the_limit_of_the_operator_is_cut() {
    let (machines, _shop) = start_machines("limits:\n  unread: 256KiB\n");
    let length = read_body(send(machines.entries[0].callers(), 0), READ_PAUSE);
    assert!(length < ANSWER_BYTES, "{length} bytes");
}

/// Guards against answers that are held for ever because their callers read nothing.
#[test]
fn an_answer_of_which_the_caller_reads_nothing_is_cut() {
    let (machines, _shop) = start_machines("");
    let sent_at = Instant::now();
    let stream = send(machines.entries[0].callers(), 0);
    let is_cut = || {
        let metrics = send_request(machines.entries[0].metrics(), "GET", "/metrics", &[], "");
        metrics.unwrap().text().contains("turmericrelay_refused_total{reason=\"unread\"} 1")
    };
    while !is_cut() {
        assert!(sent_at.elapsed() < UNREAD_TIMEOUT + MARGIN, "the answer is still held");
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(sent_at.elapsed() >= UNREAD_TIMEOUT, "cut after {:?}", sent_at.elapsed());
    let length = read_body(stream, Duration::ZERO);
    assert!(length < ANSWER_BYTES, "{length} bytes");
}
