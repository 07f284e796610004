//! Checks a fleet that is large enough for relays and load trackers: documents reach every instance
//! through relays, load trackers count requests, and requests name a source of cached context.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use support::machines::{KEY, Machines, document};
use support::wait_for;
use support::worker::{Behaviour, HttpResponse, Worker, complete_stream, send_request};

/// Number of entry instances. It exceeds the number up to which each instance of a fleet selects
/// upstreams without load trackers.
const ENTRY_INSTANCES: u8 = 18;

/// Longest time until every instance of a large fleet knows a change, as its operators require.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Longest time until a stream is complete. Callers wait this long for its first event.
const MAX_STREAM_TIME: Duration = Duration::from_secs(2);

fn call(address: SocketAddr, path: &str, id: &str) -> std::io::Result<HttpResponse> {
    let key = format!("Token {KEY}");
    let headers = [
        ("Request-Id", id),
        ("Authorization", key.as_str()),
        ("Prompt-Prefix", "aa:100,bb:200,cc:10"),
        ("Token-Counts", "310,40"),
        ("Deadline-Remaining", "5000"),
    ];
    send_request(address, "POST", path, &headers, "")
}

/// Returns a document whose engines fetch cached context from each other.
fn document_with_context_fetch(number: u64) -> Value {
    let mut document = document(number);
    document["services"][0]["engine"]["kv-bytes"] = 35_136.into();
    document["services"][0]["engine"]["link-mbps"] = 550_000.0.into();
    document
}

struct TestFleet {
    machines: Machines,
    engines: Vec<Worker>,
    _shops: Vec<Worker>,
}

fn start_fleet() -> TestFleet {
    let machines = Machines::start(3, ENTRY_INSTANCES);
    let controls = machines.seeds();
    let start = |name: String, service: &str| Worker::start(&name, service, controls.clone());
    let engines = (0..4).map(|index| start(format!("i-engine-{index}"), "engines")).collect();
    let shops = (0..2).map(|index| start(format!("i-shop-{index}"), "shop")).collect();
    machines.put_document_until_acknowledged(&document_with_context_fetch(7));
    machines.wait_ready(7);
    for machine in &machines.entries {
        wait_for("six upstreams at an instance", || {
            (machine.events("upstream").len() >= 6).then_some(())
        });
        wait_for("membership of all instances", || {
            let metrics = send_request(machine.metrics(), "GET", "/metrics", &[], "").ok()?;
            let members = format!("turmericrelay_members {}\n", ENTRY_INSTANCES + 3);
            metrics.text().contains(&members).then_some(())
        });
    }
    TestFleet { machines, engines, _shops: shops }
}

#[test]
fn requests_use_the_counts_of_load_trackers_and_name_a_source_of_their_context() {
    let fleet = start_fleet();
    for (number, machine) in fleet.machines.entries.iter().enumerate() {
        let id = format!("s{number}");
        let streamed = call(machine.callers(), "/captions/1", &id).unwrap();
        assert_eq!((streamed.status, streamed.text()), (200, complete_stream(&id)));
        let booked = call(machine.callers(), "/bookings/1", &format!("b{number}")).unwrap();
        assert_eq!((booked.status, booked.is_complete), (200, true));
    }
    let used_engines: Vec<&Worker> =
        fleet.engines.iter().filter(|engine| !engine.executed_requests().is_empty()).collect();
    assert_eq!(
        used_engines.len(),
        1,
        "instances sent requests with the same context to different engines"
    );
    for run in used_engines[0].executed_requests() {
        let source: SocketAddr = run.headers["kv-fetch"].parse().unwrap();
        assert_ne!(Some(&source.to_string()), run.headers.get("host"));
    }
}

#[test]
fn a_pause_of_each_engine_does_not_cut_a_stream_in_a_large_fleet() {
    let fleet = start_fleet();
    fleet.engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Pause(3)));
    let streamed = call(fleet.machines.entries[0].callers(), "/captions/1", "paused").unwrap();
    assert_eq!((streamed.status, streamed.text()), (200, complete_stream("paused")));
    assert!(streamed.is_complete);
    let runs: usize = fleet.engines.iter().map(|engine| engine.executed_requests().len()).sum();
    assert_eq!(runs, 2);
}

#[test]
fn changes_reach_every_instance_while_relays_and_load_trackers_are_killed_or_frozen() {
    let mut fleet = start_fleet();
    for machine in &mut fleet.machines.entries[..3] {
        machine.kill();
    }
    fleet.machines.entries[3].process().signal("STOP");
    let running = 4..usize::from(ENTRY_INSTANCES);
    let mut changed_document = document_with_context_fetch(12);
    changed_document["routes"][3]["path-prefix"] = "/moved/".into();
    fleet.machines.put_document_until_acknowledged(&changed_document);
    let acknowledged = Instant::now();
    for index in running.clone() {
        let address = fleet.machines.entries[index].callers();
        wait_for("the new route", || {
            call(address, "/moved/1", "m")
                .is_ok_and(|response| response.status == 200)
                .then_some(())
        });
    }
    assert!(acknowledged.elapsed() < MAX_PROPAGATION_TIME, "{:?}", acknowledged.elapsed());
    for index in running.clone() {
        let started = Instant::now();
        let id = format!("k{index}");
        let streamed = call(fleet.machines.entries[index].callers(), "/captions/1", &id).unwrap();
        assert_eq!((streamed.status, streamed.text()), (200, complete_stream(&id)));
        assert!(started.elapsed() < MAX_STREAM_TIME, "{:?}", started.elapsed());
    }
    let used_index =
        fleet.engines.iter().position(|engine| !engine.executed_requests().is_empty()).unwrap();
    assert!(fleet.engines[used_index].drain());
    std::thread::sleep(MAX_PROPAGATION_TIME);
    let runs_before = fleet.engines[used_index].executed_requests().len();
    for index in running {
        let answer = call(fleet.machines.entries[index].callers(), "/captions/1", "d").unwrap();
        assert_eq!(answer.status, 200);
    }
    assert_eq!(
        fleet.engines[used_index].executed_requests().len(),
        runs_before,
        "a draining engine received new requests"
    );
    fleet.machines.entries[3].process().signal("CONT");
}
