//! Short urgent prompts wait behind a long one that an engine reads, though another engine is free.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;

use serde_json::Value;
use support::machines::{Machine, Machines, document};
use support::platform_calls::call_with_prompt;
use support::wait_for;
use support::worker::{Behaviour, Worker};
use test_case::test_case;

const CONTROLS: u8 = 3;

/// Values of `direct.prompt_costs`.
const PACED: &str = "paced";
const ALWAYS: &str = "always";

/// Returns the document `number`, in which requests of the first route are more urgent than those of
/// the second one.
fn document_with_ranks(number: u64) -> Value {
    let mut document = document(number);
    document["routes"][0]["priority"] = 0.into();
    document["routes"][1]["priority"] = 5.into();
    document
}

/// Returns whether `engine` has executed the request `id`.
fn has_executed(engine: &Worker, id: &str) -> bool {
    engine.executed_requests().iter().any(|request| request.request == id)
}

/// Returns a context whose requests prefer `engine`, as requests to `address` show.
fn context_of(engine: &Worker, address: SocketAddr, path: &str, prefix: &str) -> String {
    let mut contexts = (0..100).map(|number| format!("{prefix}{number}"));
    let prefers_engine = |context: &String| {
        let id = format!("find-{context}");
        let prompt = format!("{context}:100,{id}:10");
        let answer = call_with_prompt(address, path, &id, &prompt).unwrap();
        assert_eq!(answer.status, 200);
        has_executed(engine, &id)
    };
    contexts.find(prefers_engine).unwrap()
}

fn read_metric(instance: &Machine, name: &str) -> f64 {
    let text = support::get(instance.metrics(), "/metrics").unwrap();
    let line = text.lines().find(|line| line.starts_with(name)).unwrap();
    line.rsplit_once(' ').unwrap().1.parse().unwrap()
}

/// Guards against short urgent prompts that wait behind long ones, and against a change for services
/// whose upstreams name no pace, unless the settings ask for it.
#[test_case(1, Some("1,0,8,100"), PACED, true; "in a small fleet")]
#[test_case(16, Some("1,0,8,100"), PACED, true; "in a large fleet, where another instance has the long prompt")]
#[test_case(1, Some("1,0,8"), PACED, false; "unless the engines name no pace")]
#[test_case(16, Some("1,0,8,0"), PACED, false; "unless the pace is invalid, in a large fleet")]
#[test_case(16, None, PACED, false; "unless the engines report no load, in a large fleet")]
#[test_case(1, Some("1,0,8"), ALWAYS, true; "without a pace in a small fleet if the settings say so")]
#[test_case(16, None, ALWAYS, true; "without a pace in a large fleet if the settings say so")]
fn an_urgent_prompt_leaves_an_engine_that_reads_a_long_one(
    entries: u8,
    load: Option<&str>,
    prompt_costs: &str,
    leaves: bool,
) {
    let machines = Machines::start_with_setup(CONTROLS, entries, |machine| {
        machine.extra_settings = format!("  prompt_costs: {prompt_costs}\n");
    });
    let engines =
        ["i-engine-1", "i-engine-2"].map(|name| Worker::start(name, "engines", machines.seeds()));
    machines.put_document_until_acknowledged(&document_with_ranks(7));
    machines.wait_ready(7);
    for engine in &engines {
        let headers: Vec<(&str, &str)> = load.iter().map(|load| ("server-load", *load)).collect();
        engine.set_extra_headers(&headers);
    }
    for entry in &machines.entries {
        wait_for("arrival of the upstreams at an entry instance", || {
            (entry.events("upstream").len() >= engines.len()).then_some(())
        });
        wait_for("membership of all instances", || {
            let members = read_metric(entry, "turmericrelay_members ");
            (members == f64::from(entries + CONTROLS)).then_some(())
        });
    }
    let (first, last) = (&machines.entries[0], &machines.entries[machines.entries.len() - 1]);
    let long = context_of(&engines[0], first.callers(), "/reports/1", "long");
    let short = context_of(&engines[0], last.callers(), "/captions/1", "short");

    engines[0].set_behaviour(Behaviour::Slow);
    let (address, prompt) = (first.callers(), format!("{long}:100,long-own:9000"));
    let long_call =
        std::thread::spawn(move || call_with_prompt(address, "/reports/1", "long", &prompt));
    wait_for("arrival of the long prompt", || has_executed(&engines[0], "long").then_some(()));
    let prompt = format!("{short}:700,short-own:100");
    let answer = call_with_prompt(last.callers(), "/captions/1", "short", &prompt).unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(long_call.join().unwrap().unwrap().status, 200);

    assert_eq!(has_executed(&engines[1], "short"), leaves);
    assert_eq!(
        read_metric(last, "turmericrelay_moved_for_cost_total"),
        f64::from(u8::from(leaves))
    );
    let sent = last.events("sent");
    let placement = sent.iter().find(|line| line["request"] == "short").unwrap();
    assert_eq!(placement["is_moved"].as_bool(), leaves.then_some(true), "{placement}");
    assert_eq!(placement["pace"].as_u64(), leaves.then_some(100), "{placement}");
}
