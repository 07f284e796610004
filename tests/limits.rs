//! Limits of client accounts over several instances.

mod support;

use std::time::Instant;

use serde_json::json;
use support::{Fleet, Plan, chat, declarations, post};

const CHAT: &str = "/v1/chat/completions";

/// Requests a second that the limited account may make.
const LIMIT: f64 = 10.0;

#[test]
fn an_account_keeps_its_limit_over_all_instances() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("limited.yaml");
    std::fs::write(&path, format!("{}    limit: 10/s\n", declarations())).unwrap();
    let plan = Plan::new(&["giza", "giza"]).with_setting("bootstrap_declarations", json!(path));
    let mut fleet = Fleet::start_plan(plan);
    fleet.add_upstream("engine-1", "giza", &["--model", "caption-small"]);
    let started = Instant::now();
    let mut passed = 0.0;
    for number in 0..150 {
        let address = fleet.instances[number % 2].addresses.callers;
        let answer = post(address, CHAT, &[], &chat("short", 1, false)).unwrap();
        match answer.status {
            200 => passed += 1.0,
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
    let most = LIMIT * elapsed + LIMIT + 4.0;
    assert!(passed <= most, "{passed} of {most}");
    let fewest = LIMIT * (elapsed - 2.0) / 2.0;
    assert!(passed >= fewest, "{passed} of {fewest}");
}
