//! End-to-end tests of upstreams that answer a long request before they have read it, and then break
//! the connection off: a caller sees a complete answer only if the upstream sent one.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use support::machines::{KEY, Machines, document};
use support::script::{End, Script};
use support::wait_for;
use support::worker::{Behaviour, HttpResponse, Worker, read_response};
use test_case::test_case;

const ROUTES: [&str; 4] = ["/albums/1", "/bookings/1", "/captions/1", "/reports/1"];

/// Size of a request that does not fit into the buffers of a connection whose peer reads nothing.
const BODY_BYTES: usize = 3_000_000;

/// Calls for each route, since the order of events varies.
const CALLS: usize = 6;

/// Two whole events, which are a whole stream as well.
const BODY: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

const HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: s\r\n";

struct Deployment {
    machines: Machines,
    workers: Vec<Worker>,
}

impl Deployment {
    /// Starts an instance, and upstreams of both services that answer by `script`.
    fn start(script: &Script) -> Self {
        let machines = Machines::start(1, 1);
        let start = |name: &str, service: &str| Worker::start(name, service, machines.seeds());
        let workers = vec![start("i-shop-1", "shop"), start("i-engine-1", "engines")];
        let mut document = document(7);
        document["limits"]["body-bytes"] = (4 << 20).into();
        machines.put_document_until_acknowledged(&document);
        machines.wait_ready(7);
        wait_for("arrival of the upstreams at the entry instance", || {
            (machines.entries[0].events("upstream").len() >= 2).then_some(())
        });
        for worker in &workers {
            let script = script.clone();
            worker.set_behaviour(Behaviour::Unread);
            worker.set_script(move |_| Some(script.clone()));
        }
        Self { machines, workers }
    }

    /// Sends a long request; `None` if the connection ended without a whole head of an answer.
    fn upload(&self, path: &str, id: &str) -> Option<HttpResponse> {
        upload(self.machines.entries[0].callers(), path, id)
    }
}

fn upload(address: SocketAddr, path: &str, id: &str) -> Option<HttpResponse> {
    let mut stream = TcpStream::connect(address).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: api.example\r\nRequest-Id: {id}\r\n\
         Authorization: Token {KEY}\r\nPrompt-Prefix: aa:100,bb:200,cc:10\r\n\
         Token-Counts: 310,40\r\nDeadline-Remaining: 4000\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    // The instance may answer and close the connection early.
    let _ = stream.write_all(&vec![b'x'; BODY_BYTES]);
    read_response(&mut BufReader::new(stream)).ok()
}

/// Guards against a part of an answer that is passed on as a complete one because its connection
/// broke while the request was still being sent.
#[test_case("\r\n", End::Reset; "no framing and a reset")]
#[test_case("\r\n", End::Close; "no framing and a close with unread bytes")]
#[test_case("\r\n", End::CloseThenReset; "no framing and a proper close before a reset")]
#[test_case("content-type: text/event-stream\r\n\r\n", End::Reset; "an unframed stream and a reset")]
#[test_case("content-type: text/event-stream\r\n\r\n", End::Close; "an unframed stream and a close with unread bytes")]
#[test_case("content-type: text/event-stream\r\n\r\n", End::CloseThenReset; "an unframed stream and a proper close before a reset")]
#[test_case("content-length: 1000\r\n\r\n", End::Reset; "a length and a reset")]
#[test_case("content-length: 1000\r\n\r\n", End::CloseThenReset; "a length and a proper close before a reset")]
#[test_case("transfer-encoding: chunked\r\n\r\n1e\r\n", End::Reset; "chunks and a reset")]
#[test_case("transfer-encoding: chunked\r\n\r\n1e\r\n", End::CloseThenReset; "chunks and a proper close before a reset")]
fn a_part_of_an_answer_to_a_request_that_was_not_read_is_never_complete(framing: &str, end: End) {
    for pause_at in [None, Some(20)] {
        let script = Script { pause_at, ..Script::new(format!("{HEAD}{framing}{BODY}"), end) };
        let deployment = Deployment::start(&script);
        for path in ROUTES {
            for number in 0..CALLS {
                let answer =
                    deployment.upload(path, &format!("{number}{}", path.replace('/', "-")));
                let is_success = answer
                    .as_ref()
                    .is_some_and(|answer| answer.status == 200 && answer.is_complete);
                assert!(!is_success, "{path}, call {number}, pause at {pause_at:?}: {answer:?}");
            }
        }
    }
}

/// Guards against an answer other than 502 if the connection breaks before the head of the answer.
#[test_case("", End::Reset; "a reset without a byte")]
#[test_case("HTTP/1.1 200 OK\r\nrequest-id: ID\r\n", End::Reset; "a reset within the head")]
#[test_case("HTTP/1.1 200 OK\r\nrequest-id: ID\r\n", End::CloseThenReset; "a proper close within the head")]
fn a_connection_that_breaks_before_the_head_is_a_failure(text: &str, end: End) {
    let deployment = Deployment::start(&Script::new(text, end));
    for path in ROUTES {
        for number in 0..CALLS {
            let answer = deployment.upload(path, &format!("{number}{}", path.replace('/', "-")));
            let answer = answer.unwrap();
            assert!(matches!(answer.status, 502..=504), "{path}: {answer:?}");
            assert!(answer.is_complete, "{path}: {answer:?}");
            let runs = deployment.workers.iter().flat_map(Worker::executed_requests).count();
            assert!(runs > 0 || answer.status == 502, "{path}: {answer:?}");
        }
    }
}

/// Guards against a whole answer that is cut although its upstream reads the request after it has
/// answered.
#[test_case("\r\n", End::CloseThenRead; "no framing and a proper close before the rest is read")]
#[test_case("\r\n", End::ReadThenClose; "no framing and a proper close after the rest is read")]
#[test_case("content-length: 30\r\n\r\n", End::Reset; "a whole length and a reset")]
#[test_case("content-length: 30\r\n\r\n", End::CloseThenReset; "a whole length and a proper close")]
#[test_case("connection: close\r\ncontent-length: 30\r\n\r\n", End::ReadThenClose; "a length, and the rest is read")]
fn a_whole_answer_before_the_request_was_read_stays_whole(framing: &str, end: End) {
    let deployment = Deployment::start(&Script::new(format!("{HEAD}{framing}{BODY}"), end));
    for path in ROUTES {
        let answer = deployment.upload(path, &path.replace('/', "-")).unwrap();
        assert_eq!((answer.status, answer.text().as_str()), (200, BODY), "{path}");
        assert!(answer.is_complete, "{path}");
    }
}
