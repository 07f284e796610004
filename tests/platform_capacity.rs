//! Tests of requests whose instance or upstream is busy at the moment at which they need it.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use support::machines::{KEY, Machines, document};
use support::platform_calls::{call_in_background, start_upstream, wait_events};
use support::wait_for;
use support::worker::{Behaviour, complete_stream, read_response};
use test_case::test_case;

/// Number of connections that one instance may open to an upstream at least.
const CONNECTIONS: usize = 4;

#[test]
fn a_pause_does_not_move_streams_to_an_upstream_whose_connections_are_all_in_use() {
    let mut document = document(7);
    document["services"][0]["connection-limit"] = CONNECTIONS.into();
    let machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(&document);
    let _busy = start_upstream(&machines, "i-engine-busy", "engines", Behaviour::SlowEvents);
    machines.wait_ready(7);
    let instance = &machines.entries[0];
    let reports: Vec<_> = (0..CONNECTIONS)
        .map(|number| {
            call_in_background(instance.callers(), "/reports/1", &format!("report-{number}"))
        })
        .collect();
    wait_events(instance, "sent", CONNECTIONS);
    let _paused = start_upstream(&machines, "i-engine-paused", "engines", Behaviour::Pause(3));
    // A stream that may not be resumed keeps the paused upstream silent while the others move.
    let kept = call_in_background(instance.callers(), "/reports/1", "kept");
    let streams = ["first", "second"]
        .map(|id| (id, call_in_background(instance.callers(), "/captions/1", id)));
    for (id, stream) in streams {
        let answer = stream.join().unwrap();
        let context =
            || format!("{id}: {:?} {:?}", instance.events("failed"), instance.events("cut"));
        assert_eq!((answer.status, answer.is_complete), (200, true), "{}", context());
        assert_eq!(answer.text(), complete_stream(id));
    }
    assert!(kept.join().unwrap().is_complete);
    reports.into_iter().for_each(|report| assert!(report.join().unwrap().is_complete));
}

#[test]
fn a_paused_stream_is_not_cut_because_the_other_upstream_refuses_it() {
    let machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(&document(7));
    let _paused = start_upstream(&machines, "i-engine-paused", "engines", Behaviour::Pause(3));
    machines.wait_ready(7);
    let instance = &machines.entries[0];
    let _refuses = start_upstream(&machines, "i-engine-refuses", "engines", Behaviour::Refuse);
    // A stream that may not be resumed keeps the paused upstream silent while the other one moves.
    let kept = call_in_background(instance.callers(), "/reports/1", "kept");
    let answer = call_in_background(instance.callers(), "/captions/1", "moved").join().unwrap();
    let context = || format!("{:?} {:?}", instance.events("failed"), instance.events("cut"));
    assert_eq!((answer.status, answer.is_complete), (200, true), "{}", context());
    assert_eq!(answer.text(), complete_stream("moved"));
    assert!(kept.join().unwrap().is_complete);
}

#[test]
fn a_broken_stream_waits_for_an_upstream_whose_connections_are_all_in_use() {
    let mut document = document(7);
    document["services"][0]["connection-limit"] = CONNECTIONS.into();
    let machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(&document);
    let busy = start_upstream(&machines, "i-engine-busy", "engines", Behaviour::SlowEvents);
    machines.wait_ready(7);
    let instance = &machines.entries[0];
    let reports: Vec<_> = (0..CONNECTIONS)
        .map(|number| {
            call_in_background(instance.callers(), "/reports/1", &format!("report-{number}"))
        })
        .collect();
    wait_events(instance, "sent", CONNECTIONS);
    std::thread::sleep(Duration::from_millis(3500));
    let _breaks = start_upstream(&machines, "i-engine-1", "engines", Behaviour::BreakAfter(3));
    busy.set_behaviour(Behaviour::Answer);
    let answer = call_in_background(instance.callers(), "/captions/1", "broken").join().unwrap();
    let context = || format!("{:?} {:?}", instance.events("failed"), instance.events("cut"));
    assert_eq!((answer.status, answer.is_complete), (200, true), "{}", context());
    assert_eq!(answer.text(), complete_stream("broken"));
    reports.into_iter().for_each(|report| assert!(report.join().unwrap().is_complete));
}

#[test]
fn a_stalled_stream_keeps_the_connection_limit_of_a_service_that_was_removed() {
    let mut document = document(7);
    document["routes"][0]["timeout-ms"] = 3000.into();
    let machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(&document);
    let busy = start_upstream(&machines, "i-engine-busy", "engines", Behaviour::SlowEvents);
    machines.wait_ready(7);
    let instance = &machines.entries[0];
    let reports: Vec<_> = (0..CONNECTIONS)
        .map(|number| {
            call_in_background(instance.callers(), "/reports/1", &format!("report-{number}"))
        })
        .collect();
    wait_events(instance, "sent", CONNECTIONS);
    // Only the reports are slow, so that the stream can end in time once it has moved.
    busy.set_behaviour(Behaviour::Answer);
    let stalled = start_upstream(&machines, "i-engine-stalled", "engines", Behaviour::Stall(3));
    let stream = call_in_background(instance.callers(), "/captions/1", "stalled");
    wait_for("the stream to be sent", || (!stalled.executed_requests().is_empty()).then_some(()));
    let mut changed = document.clone();
    changed["version"] = 8.into();
    changed["routes"].as_array_mut().unwrap().drain(..2);
    changed["services"].as_array_mut().unwrap().remove(0);
    machines.put_document_until_acknowledged(&changed);
    machines.wait_document_in_force(8);
    let answer = stream.join().unwrap();
    let context = || format!("{:?} {:?}", instance.events("failed"), instance.events("cut"));
    assert_eq!((answer.status, answer.is_complete), (200, true), "{}", context());
    reports.into_iter().for_each(|report| assert!(report.join().unwrap().is_complete));
}

#[test]
fn bytes_beyond_the_buffer_budget_do_not_end_the_answer_in_progress() {
    let mut machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(&document(7));
    let entry = &mut machines.entries[0];
    entry.kill();
    let settings = std::fs::read_to_string(entry.settings()).unwrap();
    std::fs::write(entry.settings(), settings + "limits:\n  incoming: 1KiB\n").unwrap();
    entry.start();
    let _engine = start_upstream(&machines, "i-engine-1", "engines", Behaviour::SlowEvents);
    machines.wait_ready(7);
    let instance = &machines.entries[0];
    let mut stream = TcpStream::connect(instance.callers()).unwrap();
    let request = |id: &str, padding: &str| {
        format!(
            "GET /captions/1 HTTP/1.1\r\nhost: api.example\r\nauthorization: Token {KEY}\r\n\
             request-id: {id}\r\nx-padding: {padding}\r\n\r\n"
        )
    };
    stream.write_all(request("first", "").as_bytes()).unwrap();
    wait_events(instance, "sent", 1);
    stream.write_all(request("second", &"x".repeat(2000)).as_bytes()).unwrap();
    let answer = read_response(&mut BufReader::new(stream)).unwrap();
    assert_eq!((answer.status, answer.is_complete), (200, true), "{}", answer.text());
    assert_eq!(answer.text(), complete_stream("first"));
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
