//! Tests of upstreams that send nothing for a while and then go on, beside changes of the document.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;
use support::machines::{KEY, Machine, Machines, document, put_document};
use support::platform_calls::{call, call_in_background, start_upstream, wait_events};
use support::worker::{Behaviour, HttpResponse, Worker, complete_stream, read_response};
use test_case::test_case;

/// Number of requests that fill an upstream of a service without engines: one and a half times its
/// slots.
const REQUESTS_OF_FULL_UPSTREAM: usize = 12;

/// Number of streams that fill an engine with eight slots.
const STREAMS_OF_FULL_ENGINE: usize = 9;

/// Number of engines with room for all streams of a test, also if each of them moves.
const ENGINES: usize = 16;

/// Number of streams whose upstream pauses at the same time. The retry budget of one instance allows
/// 40 retries and 0.16 for each request, so that it cannot move all of them.
const PAUSED_STREAMS: usize = 60;

/// Returns the document `number`, in which streams of the first route may run `attempts` times.
fn document_with_attempts(number: u64, attempts: usize) -> Value {
    let mut document = document(number);
    document["routes"][0]["attempts"] = attempts.into();
    document
}

/// Starts three control instances and one entry instance with `document`.
fn start_machines(document: &Value) -> Machines {
    let machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(document);
    machines.wait_document_in_force(document["version"].as_u64().unwrap());
    machines
}

fn assert_whole(answer: &HttpResponse, id: &str, instance: &Machine) {
    let context = || format!("{id}: {:?} {:?}", instance.events("failed"), instance.events("cut"));
    assert_eq!((answer.status, answer.is_complete), (200, true), "{}", context());
    assert_eq!(answer.text(), complete_stream(id));
}

#[test_case(None; "without a change of the document")]
#[test_case(Some(("/limits/idle-timeout-ms", 500)); "beside a change of the idle timeout")]
#[test_case(Some(("/routes/0/timeout-ms", 4000)); "beside a change of the timeout of its route")]
#[test_case(Some(("/routes/0", 0)); "beside the removal of its route")]
fn a_pause_does_not_cut_a_stream_without_further_attempts(change: Option<(&str, u64)>) {
    let document = document_with_attempts(7, 1);
    let machines = start_machines(&document);
    let _engines = ["i-engine-1", "i-engine-2"]
        .map(|name| start_upstream(&machines, name, "engines", Behaviour::Pause(3)));
    machines.wait_ready(7);
    let instance = &machines.entries[0];
    let stream = call_in_background(instance.callers(), "/captions/1", "paused");
    wait_events(instance, "sent", 1);
    if let Some((path, value)) = change {
        let mut changed = document.clone();
        changed["version"] = 8.into();
        match path {
            "/routes/0" => drop(changed["routes"].as_array_mut().unwrap().remove(0)),
            path => *changed.pointer_mut(path).unwrap() = value.into(),
        }
        let answer = put_document(machines.controls[0].control(), &changed.to_string()).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        machines.wait_document_in_force(8);
    }
    assert_whole(&stream.join().unwrap(), "paused", instance);
}

#[test]
fn a_pause_does_not_move_a_stream_that_no_other_upstream_can_take() {
    let machines = start_machines(&document(7));
    let engine = start_upstream(&machines, "i-engine-1", "engines", Behaviour::Pause(3));
    machines.wait_ready(7);
    let instance = &machines.entries[0];
    assert_whole(&call(instance.callers(), "/captions/1", "alone"), "alone", instance);
    assert_eq!(engine.executed_requests().len(), 1);
}

#[test]
fn a_pause_does_not_cut_the_streams_that_the_retry_budget_cannot_move() {
    let machines = start_machines(&document(7));
    let _engines: Vec<Worker> = (0..ENGINES)
        .map(|number| format!("i-engine-{number}"))
        .map(|name| start_upstream(&machines, &name, "engines", Behaviour::Pause(3)))
        .collect();
    machines.wait_ready(7);
    let instance = &machines.entries[0];
    let streams: Vec<_> = (0..PAUSED_STREAMS)
        .map(|number| {
            let id = format!("stream-{number}");
            (call_in_background(instance.callers(), "/captions/1", &id), id)
        })
        .collect();
    for (stream, id) in streams {
        assert_whole(&stream.join().unwrap(), &id, instance);
    }
    let moved = instance.events("failed").len();
    assert!(moved < PAUSED_STREAMS, "the budget allowed {moved} moves");
}

#[test]
fn a_pause_does_not_fail_a_request_that_no_other_upstream_can_take() {
    let machines = start_machines(&document(7));
    let full = start_upstream(&machines, "i-shop-full", "shop", Behaviour::Silent);
    machines.wait_ready(7);
    let instance = &machines.entries[0];
    let _bookings: Vec<_> = (0..REQUESTS_OF_FULL_UPSTREAM)
        .map(|number| {
            call_in_background(instance.callers(), "/bookings/1", &format!("booking-{number}"))
        })
        .collect();
    wait_events(instance, "sent", REQUESTS_OF_FULL_UPSTREAM);
    let _paused = start_upstream(&machines, "i-shop-paused", "shop", Behaviour::Pause(0));
    let answer = call(instance.callers(), "/albums/1", "album");
    let context = || format!("{:?} {:?}", instance.events("failed"), instance.events("refused"));
    assert_eq!((answer.status, answer.is_complete), (200, true), "{}", context());
    assert_eq!(full.executed_requests().len(), REQUESTS_OF_FULL_UPSTREAM);
}

#[test]
fn a_paused_stream_resumes_at_an_upstream_that_can_take_it() {
    let machines = start_machines(&document(7));
    let engines = ["i-engine-1", "i-engine-2"]
        .map(|name| start_upstream(&machines, name, "engines", Behaviour::Pause(3)));
    machines.wait_ready(7);
    let instance = &machines.entries[0];
    let stream = call_in_background(instance.callers(), "/captions/1", "moved");
    wait_events(instance, "sent", 1);
    engines.iter().filter(|engine| engine.executed_requests().is_empty()).for_each(|engine| {
        engine.set_behaviour(Behaviour::Answer);
    });
    assert_whole(&stream.join().unwrap(), "moved", instance);
    let runs: usize = engines.iter().map(|engine| engine.executed_requests().len()).sum();
    assert_eq!(runs, 2);
}

#[test]
fn a_request_that_begins_before_the_idle_timeout_has_the_time_of_a_new_request() {
    let mut document = document(7);
    document["limits"]["idle-timeout-ms"] = 1000.into();
    let machines = start_machines(&document);
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
    std::thread::sleep(Duration::from_millis(800));
    let second = request("second");
    let (beginning, rest) = second.as_bytes().split_at(20);
    stream.write_all(beginning).unwrap();
    std::thread::sleep(Duration::from_millis(600));
    stream.write_all(rest).unwrap();
    assert_eq!(read_response(&mut reader).unwrap().status, 200);
}

#[test]
fn a_waiting_request_is_sent_although_its_route_and_service_were_removed() {
    let mut document = document(7);
    document["routes"][3]["objective-ms"] = 24_000.into();
    let machines = start_machines(&document);
    let _full = start_upstream(&machines, "i-shop-full", "shop", Behaviour::Silent);
    machines.wait_ready(7);
    let instance = &machines.entries[0];
    let _bookings: Vec<_> = (0..REQUESTS_OF_FULL_UPSTREAM)
        .map(|number| {
            call_in_background(instance.callers(), "/bookings/1", &format!("booking-{number}"))
        })
        .collect();
    wait_events(instance, "sent", REQUESTS_OF_FULL_UPSTREAM);
    let waiting = call_in_background(instance.callers(), "/albums/1", "waiting");
    wait_events(instance, "queued", 1);
    let mut changed = document.clone();
    changed["version"] = 8.into();
    changed["routes"].as_array_mut().unwrap().truncate(2);
    changed["services"].as_array_mut().unwrap().truncate(1);
    machines.put_document_until_acknowledged(&changed);
    machines.wait_document_in_force(8);
    let _free = start_upstream(&machines, "i-shop-free", "shop", Behaviour::Answer);
    let answer = waiting.join().unwrap();
    assert_eq!((answer.status, answer.is_complete), (200, true), "{}", answer.text());
}

#[test]
fn a_broken_stream_waits_for_an_upstream_with_capacity() {
    let machines = start_machines(&document(7));
    let full = start_upstream(&machines, "i-engine-full", "engines", Behaviour::SlowEvents);
    machines.wait_ready(7);
    let instance = &machines.entries[0];
    let fill: Vec<_> = (0..STREAMS_OF_FULL_ENGINE)
        .map(|number| {
            call_in_background(instance.callers(), "/reports/1", &format!("report-{number}"))
        })
        .collect();
    wait_events(instance, "sent", STREAMS_OF_FULL_ENGINE);
    std::thread::sleep(Duration::from_millis(3500));
    let _breaks = start_upstream(&machines, "i-engine-1", "engines", Behaviour::BreakAfter(3));
    full.set_behaviour(Behaviour::Answer);
    assert_whole(&call(instance.callers(), "/captions/1", "broken"), "broken", instance);
    fill.into_iter().for_each(|report| assert!(report.join().unwrap().is_complete));
}
