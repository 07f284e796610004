//! Checks that crowds of callers that do not behave neither end a process of `turmericrelay serve`
//! nor take it over its memory, at the callers' and the operators' address.
//!
//! The cases run one at a time: each one measures the memory of its process under a crowd. `cargo
//! test` runs the test binaries one after the other, so that CI keeps them apart from other load.

#![allow(clippy::unwrap_used)]

mod support;

use serde_json::json;
use support::hostile::{MEMORY_MEBIBYTES, Shape, Target, assert_survives, run_alone};
use support::worker::send_request;
use support::{API_KEY, BOOKINGS, Fleet, Plan, booking, get, post, wait_for};
use test_case::test_case;

const CHAT_PATH: &str = "/v1/chat/completions";

/// Size in bytes of an answer of the booking service beside the body that it repeats.
const ANSWER_OVERHEAD_BYTES: usize = 64;

fn start_fleet() -> Fleet {
    let limits = json!({ "memory": format!("{MEMORY_MEBIBYTES}MiB") });
    let mut fleet = Fleet::start_plan(Plan::new(&["giza"]).with_setting("limits", limits));
    // Without the time that an engine takes for a prompt of 4 MB. Ordinary requests are for the
    // booking service, which the crowd does not call.
    let flags = [
        "--model",
        "caption-small",
        "--word-interval",
        "1ms",
        "--slots",
        "64",
        "--prefill-per-block",
        "0ms",
    ];
    fleet.add_upstream("engine-1", "giza", &flags);
    fleet.add_upstream("shop-1", "giza", &["--label", "app=shop"]);
    fleet
}

fn lines(route: &str) -> Vec<String> {
    [route, "POST /nowhere", "POST /v1/readiness"].map(str::to_string).to_vec()
}

/// Guards against memory that grows with bytes which nothing counts: whole bodies, kept buffers,
/// parsed fields, and answers that are not read.
#[test_case(Shape::WholeBodies; "whole bodies")]
#[test_case(Shape::SmallPieces; "small pieces")]
#[test_case(Shape::Chunks; "chunks")]
#[test_case(Shape::OneByteChunks; "one byte chunks")]
#[test_case(Shape::StopsShort; "bodies that stop short")]
#[test_case(Shape::ChunksStopShort; "chunks that stop short")]
#[test_case(Shape::Oversized; "oversized bodies")]
#[test_case(Shape::OversizedChunks; "oversized chunked bodies")]
#[test_case(Shape::ShortMessages; "short messages")]
#[test_case(Shape::ShortParts; "short parts of a message")]
#[test_case(Shape::Brackets; "brackets")]
#[test_case(Shape::HeaderFields; "header fields")]
#[test_case(Shape::EndlessHead; "endless head")]
#[test_case(Shape::Pipelined; "pipelined requests")]
#[test_case(Shape::SlowReading; "slow reading")]
#[test_case(Shape::SlowSending; "slow sending")]
#[test_case(Shape::HalfHead; "half a head")]
fn a_crowd_at_the_callers_address_fills_no_memory(shape: Shape) {
    let _running = run_alone();
    let fleet = start_fleet();
    let instance = &fleet.instances[0];
    let target = Target {
        address: instance.addresses.callers,
        lines: lines(&format!("POST {CHAT_PATH}")),
        headers: format!("Authorization: Bearer {API_KEY}\r\nContent-Type: application/json\r\n"),
    };
    assert_survives(instance.process.id(), &target, shape, || {
        wait_for("the answer to an ordinary request", || {
            let answer = post(instance.addresses.callers, BOOKINGS, &[], &booking("nasr")).ok()?;
            (answer.status == 200).then_some(())
        });
    });
}

/// Guards against the same at the operators' address, where anyone may connect.
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
fn a_crowd_at_the_operators_address_fills_no_memory(shape: Shape) {
    let _running = run_alone();
    let fleet = start_fleet();
    let instance = &fleet.instances[0];
    let target = Target {
        address: instance.addresses.operators,
        lines: lines("POST /announce"),
        headers: String::new(),
    };
    assert_survives(instance.process.id(), &target, shape, || {
        wait_for("the answer to an ordinary request", || {
            get(instance.addresses.operators, "/upstreams").ok()
        });
    });
}

/// Guards against a limit that a client inside the documented limits meets in calm.
#[test]
fn a_single_body_of_the_maximum_size_is_served() {
    let _running = run_alone();
    let fleet = start_fleet();
    let callers = fleet.instances[0].addresses.callers;
    // The answer of the booking service repeats the body, and is limited to 4 MiB as well.
    let body = " ".repeat((4 << 20) - ANSWER_OVERHEAD_BYTES);
    let unknown = json!({ "model": "unknown", "messages": [{ "content": "" }] });
    let text = "x".repeat((4 << 20) - unknown.to_string().len());
    let unknown = json!({ "model": "unknown", "messages": [{ "content": text }] });
    assert_eq!(post(callers, CHAT_PATH, &[], &unknown).unwrap().status, 404);
    let key = format!("Bearer {API_KEY}");
    for _ in 0..5 {
        let headers = [("Authorization", key.as_str())];
        let answer = send_request(callers, "POST", BOOKINGS, &headers, &body).unwrap();
        assert_eq!(answer.status, 200, "{:.200}", answer.text());
    }
}
