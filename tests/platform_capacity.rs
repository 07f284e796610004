//! Tests of requests whose instance or upstream is busy at the moment at which they need it.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use support::machines::{KEY, Machines, document};
use support::wait_for;
use support::worker::{Behaviour, Worker, read_response};
use test_case::test_case;

fn start_upstream(machines: &Machines, name: &str, service: &str, behaviour: Behaviour) -> Worker {
    let worker = Worker::start(name, service, machines.seeds());
    worker.set_behaviour(behaviour);
    wait_for("arrival of an upstream at the entry instance", || {
        let known = machines.entries[0].events("upstream");
        known.iter().any(|line| line["upstream"] == name).then_some(())
    });
    worker
}

#[test_case("/limits/idle-timeout-ms", 0; "all of it, after the idle timeout")]
#[test_case("/limits/header-timeout-ms", 20; "its end, after the time for a request")]
fn a_request_that_arrives_in_time_is_answered_although_the_instance_reads_it_late(
    limit: &str,
    read_bytes: usize,
) {
    let mut document = document(7);
    *document.pointer_mut(limit).unwrap() = 1000.into();
    let mut machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(&document);
    let _shop = start_upstream(&machines, "i-shop-1", "shop", Behaviour::Answer);
    machines.wait_ready(7);
    let mut stream = TcpStream::connect(machines.entries[0].callers()).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let request = |id: &str| {
        format!(
            "GET /albums/1 HTTP/1.1\r\nhost: api.example\r\nauthorization: Token {KEY}\r\n\
             request-id: {id}\r\n\r\n"
        )
    };
    stream.write_all(request("first").as_bytes()).unwrap();
    assert_eq!(read_response(&mut reader).unwrap().status, 200);
    let second = request("second");
    let (beginning, rest) = second.as_bytes().split_at(read_bytes);
    stream.write_all(beginning).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    machines.entries[0].process().signal("STOP");
    stream.write_all(rest).unwrap();
    std::thread::sleep(Duration::from_millis(1300));
    machines.entries[0].process().signal("CONT");
    assert_eq!(read_response(&mut reader).unwrap().status, 200);
}
