//! End-to-end tests of the request path: caller, instance and upstream as separate processes.

#![allow(clippy::unwrap_used)]

mod support;

use serde_json::{Value, json};
use support::{Fleet, chat, expected_answer, get, post, streamed_text};

const CHAT: &str = "/v1/chat/completions";

fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start(&["giza", "giza"]);
    fleet.add_upstream("engine-1", "giza", &["--model", "caption-small"]);
    fleet.add_upstream("shop-1", "giza", &["--label", "app=shop"]);
    fleet
}

#[test]
fn streamed_and_unstreamed_chats_are_answered_through_every_instance() {
    let fleet = start_fleet();
    for instance in &fleet.instances {
        let text = format!("hello through {}", instance.addresses.name);
        let streamed = post(instance.addresses.callers, CHAT, &[], &chat(&text, 12, true)).unwrap();
        assert_eq!(streamed.status, 200, "{streamed:?}");
        assert_eq!(streamed_text(&streamed.body), Some(expected_answer(&text, 12)));
        let unstreamed =
            post(instance.addresses.callers, CHAT, &[], &chat(&text, 12, false)).unwrap();
        let body: Value = serde_json::from_str(&unstreamed.body).unwrap();
        let content = body["choices"][0]["message"]["content"].as_str().unwrap();
        assert_eq!(content, expected_answer(&text, 12));
        assert!(unstreamed.request_id.is_some());
    }
}

#[test]
fn a_booking_without_a_key_runs_once() {
    let fleet = start_fleet();
    let booking = json!({ "family": "Hassan" });
    let address = fleet.instances[1].addresses.callers;
    let answer = post(address, "/services/shop/bookings", &[], &booking).unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    let journal = get(fleet.upstreams[1].address, "/journal").unwrap();
    assert_eq!(journal.matches("Hassan").count(), 1);
}

#[test]
fn refusals_carry_a_verdict_and_retry_after() {
    let fleet = Fleet::start(&["giza"]);
    let address = fleet.instances[0].addresses.callers;
    let answer = post(address, CHAT, &[], &chat("anyone there", 4, true)).unwrap();
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.verdict.as_deref(), Some("not-run"));
    assert_eq!(answer.retry_after.as_deref(), Some("1"));
    let unknown = json!({ "model": "nothing", "messages": [] });
    let answer = post(address, CHAT, &[], &unknown).unwrap();
    assert_eq!(answer.status, 404);
    assert!(answer.body.contains("model \\\"nothing\\\" is not declared"), "{answer:?}");
}

#[test]
fn a_graceful_shutdown_cuts_no_stream() {
    let mut fleet = start_fleet();
    let address = fleet.instances[0].addresses.callers;
    let caller = std::thread::spawn(move || post(address, CHAT, &[], &chat("long", 60, true)));
    support::wait_for("arrival of the request at the engine", || {
        let stats = get(fleet.upstreams[0].address, "/stats").ok()?;
        stats.contains("\"running\":1").then_some(())
    });
    fleet.instances[0].process.signal("TERM");
    let answer = caller.join().unwrap().unwrap();
    assert_eq!(streamed_text(&answer.body), Some(expected_answer("long", 60)));
    assert_eq!(fleet.instances[0].process.wait(), Some(0));
}
