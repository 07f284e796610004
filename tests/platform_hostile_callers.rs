//! Checks that crowds of callers that do not behave neither end a process of `turmericrelay
//! platform` nor take it over its memory, at the callers', the control and the readiness address.
//!
//! The cases run one at a time: each one measures the memory of its process under a crowd. `cargo
//! test` runs the test binaries one after the other, so that CI keeps them apart from other load.

#![allow(clippy::unwrap_used)]

mod support;

use serde_json::json;
use support::hostile::{MEMORY_MEBIBYTES, Shape, Target, assert_survives, run_alone};
use support::machines::{KEY, Machines, document};
use support::wait_for;
use support::worker::{HttpResponse, Worker, send_request_with_timeout};
use test_case::test_case;

/// Starts one control instance and one entry instance with an upstream, which accept bodies of
/// 4 MiB.
fn start_machines() -> (Machines, Worker) {
    let machines = Machines::start_with_setup(1, 1, |machine| {
        machine.extra_settings = format!("limits:\n  memory: {MEMORY_MEBIBYTES}MiB\n");
    });
    let shop = Worker::start("i-shop", "shop", machines.seeds());
    let mut document = document(7);
    document["limits"] = json!({
        "header-bytes": 16384, "body-bytes": 4 << 20, "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    });
    machines.put_document_until_acknowledged(&document);
    machines.wait_ready(7);
    (machines, shop)
}

fn lines(route: &str) -> Vec<String> {
    [route, "POST /nowhere", "GET /v1/readiness"].map(str::to_string).to_vec()
}

/// Waits for the answer 200 to an ordinary request.
fn call_as_usual(address: std::net::SocketAddr, path: &str) {
    let key = format!("Token {KEY}");
    let headers = [("Request-Id", "a1"), ("Authorization", key.as_str())];
    wait_for("the answer to an ordinary request", || {
        let answer: HttpResponse =
            send_request_with_timeout(address, "GET", path, &headers, "", 5).ok()?;
        (answer.status == 200 && answer.is_complete).then_some(())
    });
}

/// Guards against memory that grows with bytes which nothing counts: whole bodies, kept buffers
/// and answers that are not read.
#[test_case(Shape::WholeBodies; "whole bodies")]
#[test_case(Shape::SmallPieces; "small pieces")]
#[test_case(Shape::Chunks; "chunks")]
#[test_case(Shape::OneByteChunks; "one byte chunks")]
#[test_case(Shape::StopsShort; "bodies that stop short")]
#[test_case(Shape::ChunksStopShort; "chunks that stop short")]
#[test_case(Shape::Oversized; "oversized bodies")]
#[test_case(Shape::OversizedChunks; "oversized chunked bodies")]
#[test_case(Shape::ShortMessages; "short messages")]
#[test_case(Shape::Brackets; "brackets")]
#[test_case(Shape::HeaderFields; "header fields")]
#[test_case(Shape::EndlessHead; "endless head")]
#[test_case(Shape::Pipelined; "pipelined requests")]
#[test_case(Shape::SlowReading; "slow reading")]
#[test_case(Shape::SlowSending; "slow sending")]
#[test_case(Shape::HalfHead; "half a head")]
fn a_crowd_at_the_callers_address_fills_no_memory(shape: Shape) {
    let _running = run_alone();
    let (machines, _shop) = start_machines();
    let entry = &machines.entries[0];
    let target = Target {
        address: entry.callers(),
        lines: lines("POST /bookings/1"),
        headers: format!("Authorization: Token {KEY}\r\nRequest-Id: c1\r\n"),
    };
    let process = entry.process.as_ref().unwrap().id();
    assert_survives(process, &target, shape, || call_as_usual(entry.callers(), "/albums/1"));
}

/// Guards against the same at the readiness address, where anyone may connect.
#[test_case(Shape::WholeBodies; "whole bodies")]
#[test_case(Shape::SmallPieces; "small pieces")]
#[test_case(Shape::Chunks; "chunks")]
#[test_case(Shape::OneByteChunks; "one byte chunks")]
#[test_case(Shape::StopsShort; "bodies that stop short")]
#[test_case(Shape::ChunksStopShort; "chunks that stop short")]
#[test_case(Shape::Oversized; "oversized bodies")]
#[test_case(Shape::OversizedChunks; "oversized chunked bodies")]
#[test_case(Shape::HeaderFields; "header fields")]
#[test_case(Shape::EndlessHead; "endless head")]
#[test_case(Shape::Pipelined; "pipelined requests")]
#[test_case(Shape::SlowReading; "slow reading")]
#[test_case(Shape::SlowSending; "slow sending")]
#[test_case(Shape::HalfHead; "half a head")]
fn a_crowd_at_the_readiness_address_fills_no_memory(shape: Shape) {
    let _running = run_alone();
    let (machines, _shop) = start_machines();
    let entry = &machines.entries[0];
    let target = Target {
        address: entry.readiness(),
        lines: lines("GET /v1/readiness"),
        headers: String::new(),
    };
    let process = entry.process.as_ref().unwrap().id();
    assert_survives(process, &target, shape, || {
        call_as_usual(entry.readiness(), "/v1/readiness");
    });
}

/// Guards against the same at the control address, where documents of 8 MiB are legal.
#[test_case(Shape::WholeBodies; "whole bodies")]
#[test_case(Shape::SmallPieces; "small pieces")]
#[test_case(Shape::Chunks; "chunks")]
#[test_case(Shape::OneByteChunks; "one byte chunks")]
#[test_case(Shape::StopsShort; "bodies that stop short")]
#[test_case(Shape::ChunksStopShort; "chunks that stop short")]
#[test_case(Shape::Oversized; "oversized bodies")]
#[test_case(Shape::OversizedChunks; "oversized chunked bodies")]
#[test_case(Shape::ShortMessages; "short messages")]
#[test_case(Shape::Brackets; "brackets")]
#[test_case(Shape::HeaderFields; "header fields")]
#[test_case(Shape::EndlessHead; "endless head")]
#[test_case(Shape::Pipelined; "pipelined requests")]
#[test_case(Shape::SlowReading; "slow reading")]
#[test_case(Shape::SlowSending; "slow sending")]
#[test_case(Shape::HalfHead; "half a head")]
fn a_crowd_at_the_control_address_fills_no_memory(shape: Shape) {
    let _running = run_alone();
    let (machines, _shop) = start_machines();
    let control = &machines.controls[0];
    let target = Target {
        address: control.control(),
        lines: lines("PUT /v1/configuration"),
        headers: String::new(),
    };
    let process = control.process.as_ref().unwrap().id();
    assert_survives(process, &target, shape, || {
        call_as_usual(control.control(), "/v1/configuration");
    });
}

/// Guards against a limit that a client inside the documented limits meets in calm.
#[test]
fn a_single_body_of_the_maximum_size_is_served() {
    let _running = run_alone();
    let (machines, _shop) = start_machines();
    let (key, body) = (format!("Token {KEY}"), "x".repeat(4 << 20));
    let headers = [("Request-Id", "a1"), ("Authorization", key.as_str())];
    for _ in 0..5 {
        let callers = machines.entries[0].callers();
        let answer =
            send_request_with_timeout(callers, "POST", "/bookings/1", &headers, &body, 10).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}
