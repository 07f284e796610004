//! Tests of requests that arrive at an instance before it is ready.

#![allow(clippy::unwrap_used)]

mod support;

use support::machines::{KEY, Machine, Machines, document};
use support::wait_for;
use support::worker::{HttpResponse, Worker, send_request};

/// Longer than the start of a fleet takes on a busy machine.
const STARTUP_WAIT_MILLIS: u64 = 30_000;

fn call(entry: &Machine, time_left: &str) -> std::io::Result<HttpResponse> {
    let key = format!("Token {KEY}");
    let headers = [
        ("Authorization", key.as_str()),
        ("Request-Id", "early"),
        ("Deadline-Remaining", time_left),
    ];
    send_request(entry.callers(), "GET", "/albums/1", &headers, "")
}

/// Sends the request until the entry instance accepts connections.
fn first_answer(entry: &Machine, time_left: &str) -> HttpResponse {
    wait_for("an answer of the starting instance", || call(entry, time_left).ok())
}

/// Kills all instances, starts the entry instance alone, and returns the answer to a request that
/// arrives there while `start_controls` says whether the control instances start again.
fn answer_after_restart(startup_wait_millis: u64, time_left: &str, start_controls: bool) -> u16 {
    let mut machines = Machines::start(3, 1);
    let seeds = machines.seeds();
    let _worker = Worker::start("i-shop", "shop", seeds.clone());
    machines.put_document_until_acknowledged(&document(5));
    machines.wait_ready(5);
    for machine in machines.controls.iter_mut().chain(&mut machines.entries) {
        machine.kill();
    }
    let entry = &mut machines.entries[0];
    entry.startup_wait_millis = startup_wait_millis;
    entry.write_settings(&seeds, false);
    entry.start();
    let entry = &machines.entries[0];
    let controls = &mut machines.controls;
    std::thread::scope(|scope| {
        let answer = scope.spawn(|| first_answer(entry, time_left));
        wait_for("the entry instance", || (!entry.events("started").is_empty()).then_some(()));
        if start_controls {
            for control in controls {
                control.write_settings(&seeds, false);
                control.start();
            }
        }
        answer.join().unwrap().status
    })
}

/// Guards against requests that are refused in the seconds after a restart of all instances,
/// although the instance learns the document and the upstreams in time.
#[test]
fn a_request_that_arrives_during_the_startup_is_answered() {
    assert_eq!(answer_after_restart(STARTUP_WAIT_MILLIS, "60000", true), 200);
}

/// Guards against requests that wait without end at an instance that finds no control instance.
#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_as_not_run() {
    assert_eq!(answer_after_restart(STARTUP_WAIT_MILLIS, "2000", false), 503);
}

/// Guards against a change of instances whose settings name no time to wait.
#[test]
fn without_the_setting_a_request_during_the_startup_is_refused_at_once() {
    assert_eq!(answer_after_restart(0, "60000", true), 503);
}
