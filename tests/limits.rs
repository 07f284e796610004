//! Checks that the rate limit of a client account holds across instances.

mod support;

use std::time::Instant;

use serde_json::json;
use support::{Fleet, Plan, chat, declarations, post};

const CHAT_PATH: &str = "/v1/chat/completions";

/// Requests that the limited account may send per second.
const LIMIT_PER_SECOND: f64 = 10.0;

#[test]
fn an_account_rate_limit_holds_across_instances() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("limited.yaml");
    std::fs::write(&path, format!("{}    limit: 10/s\n", declarations())).unwrap();
    let plan = Plan::new(&["giza", "giza"]).with_setting("bootstrap_declarations", json!(path));
    let mut fleet = Fleet::start_plan(plan);
    fleet.add_upstream("engine-1", "giza", &["--model", "caption-small"]);
    let started = Instant::now();
    let mut accepted = 0.0;
    for number in 0..150 {
        let address = fleet.instances[number % 2].addresses.callers;
        let answer = post(address, CHAT_PATH, &[], &chat("short", 1, false)).unwrap();
        match answer.status {
            200 => accepted += 1.0,
            429 => {
                assert!(answer.body.contains("over_limit"), "{answer:?}");
                assert_eq!(answer.verdict.as_deref(), Some("not-run"));
                assert!(answer.retry_after.is_some());
            }
            _ => panic!("{answer:?}"),
        }
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    let elapsed = started.elapsed().as_secs_f64();
    let maximum = LIMIT_PER_SECOND * elapsed + LIMIT_PER_SECOND + 4.0;
    assert!(accepted <= maximum, "{accepted} requests accepted, more than {maximum}");
    let minimum = LIMIT_PER_SECOND * (elapsed - 2.0) / 2.0;
    assert!(accepted >= minimum, "{accepted} requests accepted, fewer than {minimum}");
}
