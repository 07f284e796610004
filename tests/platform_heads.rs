//! End-to-end tests of answers without a body: to requests for the head of an answer only.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use support::machines::{KEY, Machines, document};
use support::platform_calls::call;
use support::wait_for;
use support::worker::{Behaviour, HttpResponse, Worker, read_response};
use test_case::test_case;

const READ_TIMEOUT: Duration = Duration::from_secs(5);

fn send(stream: &mut TcpStream, method: &str, path: &str) {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: api.example\r\nRequest-Id: r\r\n\
         Authorization: Token {KEY}\r\nDeadline-Remaining: 3000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
}

/// Reads the lines of an answer up to and including the empty line.
fn read_head(reader: &mut BufReader<TcpStream>) -> Vec<String> {
    let mut lines = Vec::new();
    while lines.last().is_none_or(|line: &String| line != "\r\n") {
        let mut line = String::new();
        assert!(reader.read_line(&mut line).unwrap() > 0, "closed after {lines:?}");
        lines.push(line);
    }
    lines
}

/// Guards against bytes behind an answer that has no body, which the caller takes for the next
/// answer, and against a connection that is closed in place of the body.
#[test_case("/albums/1", "content-length: 5\r\n\r\n", "200", "content-length: 5\r\n"; "length")]
#[test_case("/albums/1", "transfer-encoding: chunked\r\n\r\n", "200", "transfer-encoding: chunked\r\n"; "chunked")]
#[test_case("/albums/1", "\r\n", "200", "transfer-encoding: chunked\r\n"; "until close")]
#[test_case("/reports/1", "content-length: 5\r\n\r\n", "200", "transfer-encoding: chunked\r\n"; "stream")]
#[test_case("/nothing/1", "", "404", "content-type: text/plain\r\n"; "refusal")]
fn an_answer_to_a_request_for_the_head_has_no_body(
    path: &str,
    framing: &str,
    status: &str,
    header: &str,
) {
    let machines = Machines::start(3, 1);
    let start = |name: &str, service: &str| Worker::start(name, service, machines.seeds());
    let workers = [start("i-shop-1", "shop"), start("i-engine-1", "engines")];
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_ready(7);
    wait_for("arrival of the upstreams at the entry instance", || {
        (machines.entries[0].events("upstream").len() >= 2).then_some(())
    });
    let raw = format!("HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: s\r\n{framing}");
    for worker in &workers {
        worker.set_behaviour(Behaviour::Raw(Box::leak(raw.clone().into_boxed_str()), ""));
    }
    let mut stream = TcpStream::connect(machines.entries[0].callers()).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    send(&mut stream, "HEAD", path);
    let lines = read_head(&mut reader);
    assert!(lines[0].starts_with(&format!("HTTP/1.1 {status} ")), "{lines:?}");
    assert!(lines.iter().any(|line| line == header), "{lines:?}");
    for worker in &workers {
        worker.set_behaviour(Behaviour::Answer);
    }
    send(&mut stream, "GET", "/albums/1");
    let HttpResponse { status, is_complete, .. } = read_response(&mut reader).unwrap();
    assert_eq!((status, is_complete), (200, true));
}

/// Guards against a success with an empty or short body, made of a head that broke off.
#[test_case("HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-st"; "within a header")]
#[test_case("HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-length: 5\r\n"; "after a length")]
#[test_case("HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-length: 5\r\n\r"; "within the empty line")]
#[test_case("HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-type: text/event-stream\r\n"; "of a stream")]
#[test_case("HTTP/1.1 200 O"; "within the status line")]
fn a_head_that_breaks_off_is_no_answer(head: &'static str) {
    let machines = Machines::start(3, 1);
    let start = |name: &str, service: &str| Worker::start(name, service, machines.seeds());
    let workers = [start("i-shop-1", "shop"), start("i-engine-1", "engines")];
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_ready(7);
    wait_for("arrival of the upstreams at the entry instance", || {
        (machines.entries[0].events("upstream").len() >= 2).then_some(())
    });
    workers.iter().for_each(|worker| worker.set_behaviour(Behaviour::Raw(head, head)));
    for path in ["/albums/1", "/bookings/1", "/captions/1", "/reports/1"] {
        let id = path.replace('/', "-");
        let answer = call(machines.entries[0].callers(), path, &id);
        assert_eq!((answer.status, answer.is_complete), (502, true), "{path}: {}", answer.text());
    }
}
