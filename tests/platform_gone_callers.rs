//! Tests that requests whose callers have left before an instance reads them are not sent to upstreams.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use support::machines::{KEY, Machines, document};
use support::wait_for;
use support::worker::{Worker, send_request};
use test_case::test_case;

/// Number of requests whose callers leave.
const GONE: usize = 20;

fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: api.example\r\nAuthorization: Token {KEY}\r\n\
         Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Sends a request and closes the connection.
fn send_and_leave(address: SocketAddr, method: &str, path: &str, id: &str) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(head(method, path, id).as_bytes()).unwrap();
}

/// Guards against requests that run, a booking among them, although their callers left while the
/// instance paused: the request was handled before the end of its connection.
#[test_case("POST", "/bookings/1"; "bookings")]
#[test_case("GET", "/albums/1"; "reads")]
fn requests_of_callers_that_left_during_a_pause_are_not_sent(method: &str, path: &str) {
    let mut machines = Machines::start(3, 1);
    let worker = Worker::start("shop-1", "shop", machines.seeds());
    machines.put_document_until_acknowledged(&document(5));
    machines.wait_ready(5);
    let callers = machines.entries[0].callers();
    let key = format!("Token {KEY}");
    let call = |id: &str| {
        let headers = [("Authorization", key.as_str()), ("Request-Id", id)];
        send_request(callers, method, path, &headers, "").is_ok_and(|answer| answer.status == 200)
    };
    wait_for("a served request", || call("before").then_some(()));
    machines.entries[0].process().signal("STOP");
    for number in 0..GONE {
        send_and_leave(callers, method, path, &format!("gone-{number}"));
    }
    machines.entries[0].process().signal("CONT");
    wait_for("a served request", || call("after").then_some(()));
    std::thread::sleep(Duration::from_millis(500));
    let received = worker.received_requests();
    let gone = received.iter().filter(|request| request.request.starts_with("gone")).count();
    assert_eq!(gone, 0, "{gone} requests of callers that left were sent");
}
