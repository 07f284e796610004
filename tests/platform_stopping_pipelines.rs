//! Tests of a request that follows another one on a connection of an instance that stops.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use support::machines::{KEY, Machines, document};
use support::wait_for;
use support::worker::{Behaviour, Worker, complete_stream, read_response};

/// Timeout of each read of a caller.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

fn request(id: &str) -> String {
    format!(
        "POST /captions/1 HTTP/1.1\r\nHost: api.example\r\nRequest-Id: {id}\r\n\
         Authorization: Token {KEY}\r\nDeadline-Remaining: 6000\r\nContent-Length: 8\r\n\r\nthe body"
    )
}

/// Sends two requests on a kept connection whose instance gets SIGTERM after it has begun the first
/// answer. The second request is sent at once or only after the signal.
fn keep_the_next_request(sends_before_signal: bool) {
    let machines = Machines::start(1, 1);
    let engine = Worker::start("i-engine-1", "engines", machines.seeds());
    engine.set_behaviour(Behaviour::EventsEvery(150));
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_ready(7);
    wait_for("upstream discovery", || {
        (!machines.entries[0].events("upstream").is_empty()).then_some(())
    });
    let mut stream = TcpStream::connect(machines.entries[0].callers()).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.write_all(request("first").as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    if sends_before_signal {
        stream.write_all(request("second").as_bytes()).unwrap();
        std::thread::sleep(Duration::from_millis(100));
    }
    machines.entries[0].process.as_ref().unwrap().signal("TERM");
    std::thread::sleep(Duration::from_millis(200));
    if !sends_before_signal {
        stream.write_all(request("second").as_bytes()).unwrap();
    }
    let mut reader = BufReader::new(stream);
    for id in ["first", "second"] {
        let answer = read_response(&mut reader).unwrap();
        assert!(answer.is_complete, "{id}");
        assert_eq!(answer.text(), complete_stream(id), "{id}: {}", answer.status);
    }
}

#[test]
fn a_request_that_was_read_before_the_signal_is_dropped_at_the_end_of_the_answer_before_it() {
    keep_the_next_request(true);
}

#[test]
fn a_request_that_follows_an_answer_without_connection_close_is_dropped_by_a_stop() {
    keep_the_next_request(false);
}
