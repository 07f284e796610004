//! Upstreams that read the body of a request seconds after its head.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use support::machines::{KEY, Machines, document};
use support::platform_calls::start_upstream;
use support::wait_for;
use support::worker::{Behaviour, Worker, complete_stream, read_response};
use test_case::test_case;

/// Time after which the upstream reads the body, in milliseconds.
const READ_DELAY_MILLIS: u64 = 3500;

/// Timeout of each read of a caller.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

#[test_case(10_000; "of ten kilobytes")]
#[test_case(1_000_000; "of a megabyte")]
fn a_request_fails_because_its_upstream_reads_a_body_late(body_bytes: usize) {
    let machines = Machines::start(1, 1);
    let mut document = document(7);
    document["limits"]["body-bytes"] = 2_000_000.into();
    machines.put_document_until_acknowledged(&document);
    let upstream =
        start_upstream(&machines, "i-shop", "shop", Behaviour::ReadLate(READ_DELAY_MILLIS));
    machines.wait_ready(7);
    let mut stream = TcpStream::connect(machines.entries[0].callers()).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let head = format!(
        "POST /albums/1 HTTP/1.1\r\nHost: api.example\r\nRequest-Id: late\r\n\
         Authorization: Token {KEY}\r\nDeadline-Remaining: 8000\r\n\
         Content-Length: {body_bytes}\r\n\r\n"
    );
    let sent = Instant::now();
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'x'; body_bytes]).unwrap();
    let answer = read_response(&mut BufReader::new(stream)).unwrap();
    println!("{} after {:?}: {}", answer.status, sent.elapsed(), answer.text());
    for line in machines.entries[0].events("failed") {
        println!("{line}");
    }
    drop(upstream);
    assert_eq!(answer.status, 200);
}

#[test_case(10_000; "of ten kilobytes")]
#[test_case(1_000_000; "of a megabyte")]
fn a_stream_is_cut_because_its_upstream_has_not_read_the_body(body_bytes: usize) {
    let machines = Machines::start(1, 1);
    let engine = Worker::start("i-engine-1", "engines", machines.seeds());
    engine.set_behaviour(Behaviour::UnreadEventsEvery(420));
    let mut document = document(7);
    document["limits"]["body-bytes"] = 2_000_000.into();
    machines.put_document_until_acknowledged(&document);
    machines.wait_ready(7);
    wait_for("upstream discovery", || {
        (!machines.entries[0].events("upstream").is_empty()).then_some(())
    });
    let mut stream = TcpStream::connect(machines.entries[0].callers()).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let head = format!(
        "POST /reports/1 HTTP/1.1\r\nHost: api.example\r\nRequest-Id: late\r\n\
         Authorization: Token {KEY}\r\nDeadline-Remaining: 8000\r\n\
         Content-Length: {body_bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'x'; body_bytes]).unwrap();
    let answer = read_response(&mut BufReader::new(stream)).unwrap();
    assert!(answer.is_complete, "cut after {} bytes", answer.body.len());
    assert_eq!(answer.text(), complete_stream("late"));
}
