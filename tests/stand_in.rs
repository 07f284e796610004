//! Tests of what stand-in engines do besides answering requests: orders, reports and context moves.

#![allow(clippy::unwrap_used)]

mod support;

use serde_json::{Value, json};
use support::{Fleet, chat, get, post, wait_for};
use test_case::test_case;

const CHAT: &str = "/v1/chat/completions";

fn stats(fleet: &Fleet, index: usize) -> Value {
    serde_json::from_str(&get(fleet.upstreams[index].address, "/stats").unwrap()).unwrap()
}

#[test_case(&["--checks-fencing"], 409, 1; "checked")]
#[test_case(&[], 200, 2; "ignored")]
fn stale_fencing_tokens_are_rejected_only_by_engines_that_check(
    flags: &[&str],
    status: u16,
    completed: usize,
) {
    let mut fleet = Fleet::start(&["giza"]);
    let flags = [&["--model", "caption-small"], flags].concat();
    let engine = fleet.add_upstream("engine-1", "giza", &flags);
    let order = |token| json!({ "fence": token, "task": { "load": "caption-large" } });
    assert_eq!(post(engine, "/orders", &[], &order(7)).unwrap().status, 200);
    assert_eq!(post(engine, "/orders", &[], &order(6)).unwrap().status, status);
    let orders: Value = serde_json::from_str(&get(engine, "/orders").unwrap()).unwrap();
    assert_eq!(orders["done"].as_array().unwrap().len(), completed);
}

#[test]
fn exported_context_is_reused_by_another_engine() {
    let mut fleet = Fleet::start(&["giza"]);
    let source = fleet.add_upstream("engine-1", "giza", &["--model", "caption-small"]);
    let target = fleet.add_upstream("engine-2", "giza", &["--model", "caption-small"]);
    let prompt = chat(&"a long flight log ".repeat(40), 2, false);
    post(source, CHAT, &[], &prompt).unwrap();
    let exported = post(source, "/kv/export", &[], &prompt).unwrap();
    let context: Value = serde_json::from_str(&exported.body).unwrap();
    assert!(context["blocks"].as_array().unwrap().len() > 5, "{exported:?}");
    assert_eq!(post(target, "/kv/import", &[], &context).unwrap().status, 200);
    post(target, CHAT, &[], &prompt).unwrap();
    assert_eq!(stats(&fleet, 1)["computed_blocks"], 0);
}

#[test]
fn lost_cache_events_lead_to_a_resync() {
    let mut fleet = Fleet::start(&["giza"]);
    let flags = ["--model", "caption-small", "--report-every", "20ms", "--cache-loss", "50"];
    let engine = fleet.add_upstream("engine-1", "giza", &flags);
    let operators = fleet.instances[0].addresses.operators;
    for number in 0..20 {
        let text = format!("{number} {}", "flight log ".repeat(40));
        post(engine, CHAT, &[], &chat(&text, 1, false)).unwrap();
    }
    wait_for("resync of the cache events", || {
        let metrics = get(operators, "/metrics").ok()?;
        let line = metrics.lines().find(|line| line.contains("cache_resyncs_total"))?;
        (!line.ends_with(" 0")).then_some(())
    });
}
