//! Checks the `dev` command, which runs a whole fleet in one process.

#![allow(clippy::unwrap_used)]

mod support;

use serde_json::json;
use support::{Process, chat, free_address, get, post_as, streamed_text, wait_for};

#[test]
fn dev_serves_a_streamed_chat_and_stops_gracefully() {
    let folder = tempfile::TempDir::new().unwrap();
    let (callers, operators) = (free_address(), free_address());
    let arguments =
        ["dev", "--callers", &callers.to_string(), "--operators", &operators.to_string()]
            .map(String::from);
    let mut process = Process::start(&arguments, folder.path().join("dev.log"));
    wait_for("readiness", || get(operators, "/readyz").ok());
    wait_for("announcements", || {
        let listed = get(operators, "/upstreams").ok()?;
        (listed.matches("\"upstream\"").count() == 4).then_some(())
    });
    let answer =
        post_as("dev-key", callers, "/v1/chat/completions", &[], &chat("hello", 8, true)).unwrap();
    assert_eq!(streamed_text(&answer.body), Some(support::expected_answer("hello", 8)));
    let booking = json!({ "family": "Hassan" });
    let answer = post_as("dev-key", callers, "/services/shop/bookings", &[], &booking).unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    process.signal("INT");
    assert_eq!(process.wait(), Some(0));
}
