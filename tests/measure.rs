//! Runs the load generator against a small fleet.

#![allow(clippy::unwrap_used)]

mod support;

use std::process::Command;
use std::time::Duration;

use measure::Comparison;
use serde_json::{Value, json};
use support::{API_KEY, Fleet, PROGRAM};

#[test]
fn a_light_load_is_measured_and_plotted() {
    let mut fleet = Fleet::start(&["giza", "giza"]);
    let flags = ["--model", "caption-small", "--word-interval", "2ms"];
    let engines = [
        fleet.add_upstream("engine-1", "giza", &flags),
        fleet.add_upstream("engine-2", "giza", &flags),
    ];
    let work = |kind: &str, rank: &str, part: u32| {
        json!({
            "kind": kind, "service": "caption-small", "rank": rank, "deadline": "5s",
            "worth": 1, "part": part, "words": 4,
        })
    };
    let scenario = json!({
        "name": "small", "warm_up": "500ms", "duration": "2s", "capacity": "60/s",
        "load_percent": 50, "conversations": 10, "turns": 5, "turn_bytes": 400,
        "work": [
            work("booking", "urgent", 1),
            work("caption", "normal", 1),
            work("report", "deferrable", 1),
        ],
        "accounts": [{ "name": "nasr", "key": API_KEY, "part": 1 }],
        "extra": { "what": "flood", "kind": "report", "percent": 50 },
    });
    let file = fleet.folder.path().join("scenario.yaml");
    std::fs::write(&file, scenario.to_string()).unwrap();
    let plots = fleet.folder.path().join("plots");
    let mut command = Command::new(PROGRAM);
    command.args(["measure", "--json", "--seed", "5", "--threads", "32", "--scenario"]).arg(&file);
    command.arg("--plot").arg(&plots);
    for instance in &fleet.instances {
        command.arg("--caller").arg(instance.addresses.callers.to_string());
        command.arg("--operators").arg(instance.addresses.operators.to_string());
    }
    for engine in &engines {
        command.arg("--stand-in").arg(engine.to_string());
    }
    let output = support::output(&mut command);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    for group in report["ranks"].as_array().unwrap() {
        assert!(group["offered"].as_u64().unwrap() > 0, "{report}");
        assert_eq!(group["offered"], group["in_time"], "{report}");
    }
    assert!(report["extra"]["offered"].as_u64().unwrap() > 0, "{report}");
    assert!(report["reuse"].as_f64().unwrap() > 0.2, "{report}");
    assert!(report["small"]["first_token_p95"].as_f64().unwrap() > 1.0, "{report}");
    assert!(report["control"]["membership"].as_f64().unwrap() > 0.0, "{report}");
    let skew_plot = std::fs::read_to_string(plots.join("skew.svg")).unwrap();
    assert!(skew_plot.contains("<svg"));
}

#[test]
fn direct_and_relayed_calls_are_compared_in_one_run() {
    let mut fleet = Fleet::start(&["giza"]);
    let flags = ["--model", "caption-small", "--word-interval", "2ms", "--slots", "64"];
    let engine = fleet.add_upstream("engine-1", "giza", &flags);
    let comparison = Comparison {
        caller: fleet.instances[0].addresses.callers,
        stand_ins: vec![engine],
        key: API_KEY.to_string(),
        service: "caption-small".to_string(),
        kind: "caption".to_string(),
        per_second: 40.0,
        warm_up: Duration::from_millis(500),
        duration: Duration::from_secs(2),
        words: 4,
        threads: 32,
        seed: 3,
    };
    let difference = comparison.run().unwrap();
    assert!(difference.is_complete(), "{difference:?}");
    assert!(difference.direct.offered > 40 && difference.relayed.offered > 40, "{difference:?}");
    assert!(difference.direct.p50 > 0.0 && difference.relayed.p50 > 0.0, "{difference:?}");
    let added = difference.relayed.p99 - difference.direct.p99;
    assert!((difference.added_p99 - added).abs() < 1e-9, "{difference:?}");
    let stats: Value = serde_json::from_str(&support::get(engine, "/stats").unwrap()).unwrap();
    let answered_calls = stats["answered"].as_u64().unwrap() as usize;
    assert!(answered_calls >= difference.direct.offered + difference.relayed.offered, "{stats}");
}
