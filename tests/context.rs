//! Cached context follows a conversation to another engine.

#![allow(clippy::unwrap_used)]

mod support;

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::{Answer, Fleet, Plan, chat, get, post, set_fault, wait_for};
use test_case::test_case;

const CHAT: &str = "/v1/chat/completions";
const CONVERSATION: [(&str, &str); 1] = [("x-turmericrelay-conversation", "survey-7")];
const WORDS: usize = 4;

/// Words of the request that keeps an engine busy.
const LONG: usize = 150;

/// When an answer must have come whose engine computes the context: far above the time limit of a
/// move, far below the request's deadline.
const PROMPT_ANSWER: Duration = Duration::from_secs(10);

/// Two engines that work on one request at a time, and one instance.
fn fleet(limit: &str) -> Fleet {
    fleet_in(&["giza"], limit)
}

fn fleet_in(data_centres: &[&str], limit: &str) -> Fleet {
    let context = json!({ "limit": limit, "recompute": "50/s" });
    let plan = Plan::new(data_centres).with_setting("context", context);
    let mut fleet = Fleet::start_plan(plan);
    for name in ["engine-1", "engine-2"] {
        let flags = ["--model", "caption-small", "--slots", "1", "--expires-in", "60s"];
        fleet.add_upstream(name, "giza", &flags);
    }
    fleet
}

fn stat(fleet: &Fleet, engine: usize, name: &str) -> u64 {
    let stats = get(fleet.upstreams[engine].address, "/stats").unwrap();
    serde_json::from_str::<Value>(&stats).unwrap()[name].as_u64().unwrap()
}

fn metric(fleet: &Fleet, name: &str) -> u64 {
    let metrics = get(fleet.instances[0].addresses.operators, "/metrics").unwrap();
    let prefix = format!("turmericrelay_{name}_total ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(&prefix));
    line.unwrap().parse().unwrap()
}

fn first_text() -> String {
    "a long flight log ".repeat(100)
}

fn send(fleet: &Fleet, instance: usize, body: &Value) -> Answer {
    let address = fleet.instances[instance].addresses.callers;
    let answer = post(address, CHAT, &CONVERSATION, body).unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    answer
}

/// Sends the first turn; gives the engine that has its context then.
fn first_turn(fleet: &Fleet) -> usize {
    send(fleet, 0, &chat(&first_text(), WORDS, false));
    usize::from(stat(fleet, 1, "answered") == 1)
}

/// Keeps the engine at home busy, so that the next turn spills.
fn occupy(fleet: &Fleet, home: usize) -> JoinHandle<()> {
    let address = fleet.instances[0].addresses.callers;
    let hold = std::thread::spawn(move || {
        post(address, CHAT, &CONVERSATION, &chat("hold", LONG, false)).unwrap();
    });
    wait_for("work at the engine", || (stat(fleet, home, "running") == 1).then_some(()));
    hold
}

/// Sends a turn after others and checks its answer; gives the tokens that its engine had cached.
fn later_turn(fleet: &Fleet, instance: usize, texts: &[String]) -> u64 {
    let turns: Vec<(&str, &str)> =
        texts.iter().flat_map(|text| [("assistant", "noted"), ("user", text.as_str())]).collect();
    let turns = &turns[1..];
    let messages: Vec<Value> =
        turns.iter().map(|(role, content)| json!({ "role": role, "content": content })).collect();
    let body = json!({ "model": "caption-small", "messages": messages, "max_tokens": WORDS });
    let answer: Value = serde_json::from_str(&send(fleet, instance, &body).body).unwrap();
    let prompt: String = turns.iter().map(|(role, text)| format!("{role}: {text}\n")).collect();
    assert_eq!(answer["choices"][0]["message"]["content"], standin::answer(&prompt, WORDS));
    answer["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap()
}

fn second_turn(fleet: &Fleet) -> u64 {
    later_turn(fleet, 0, &[first_text(), "and?".to_string()])
}

#[test]
fn a_spilled_conversation_finds_its_context() {
    let fleet = fleet("5s");
    let home = first_turn(&fleet);
    let hold = occupy(&fleet, home);
    let cached = second_turn(&fleet);
    assert_eq!(stat(&fleet, 1 - home, "answered"), 1, "the turn did not spill");
    assert!(cached as usize > first_text().len() / 4 - 32, "{cached}");
    assert_eq!(metric(&fleet, "context_moves_done"), 1);
    assert!(metric(&fleet, "context_moved_bytes") > 0);
    hold.join().unwrap();
}

#[test]
fn a_conversation_that_spilled_through_another_instance_finds_its_context() {
    let fleet = fleet_in(&["giza", "giza"], "5s");
    let home = first_turn(&fleet);
    let hold = occupy(&fleet, home);
    let second_text = "a longer flight log ".repeat(100);
    later_turn(&fleet, 0, &[first_text(), second_text.clone()]);
    assert_eq!(stat(&fleet, 1 - home, "answered"), 1, "the turn did not spill");
    hold.join().unwrap();
    let whole = first_text().len() + second_text.len();
    let texts = [first_text(), second_text, "and then?".to_string()];
    let cached = later_turn(&fleet, 1, &texts);
    assert_eq!(stat(&fleet, home, "answered"), 3, "the turn did not return home");
    assert!(cached as usize > whole / 4 - 32, "{cached} of {}", whole / 4);
}

#[test]
fn the_context_of_a_leaving_engine_is_fetched() {
    let fleet = fleet("5s");
    let home = first_turn(&fleet);
    let operators = fleet.instances[0].addresses.operators;
    let listed: Vec<Value> = serde_json::from_str(&get(operators, "/upstreams").unwrap()).unwrap();
    let mut leaving = listed[home].clone();
    let known = ["owner", "in_flight", "running", "waiting", "is_drained"];
    leaving.as_object_mut().unwrap().retain(|field, _| !known.contains(&field.as_str()));
    leaving["is_leaving"] = json!(true);
    assert_eq!(post(operators, "/announce", &[], &leaving).unwrap().status, 200);
    assert!(second_turn(&fleet) > 0);
    assert_eq!(stat(&fleet, 1 - home, "answered"), 1);
    assert_eq!(metric(&fleet, "context_moves_done"), 1);
}

#[test_case("export-hang"; "hangs")]
#[test_case("export-cut"; "breaks off")]
#[test_case("export-crossed"; "gives the context of another conversation")]
fn a_failing_export_delays_no_answer_beyond_the_limit(fault: &str) {
    let fleet = fleet("300ms");
    let home = first_turn(&fleet);
    let hold = occupy(&fleet, home);
    set_fault(fleet.upstreams[home].address, fault);
    let begun = Instant::now();
    assert_eq!(second_turn(&fleet), 0, "the engine has no context");
    assert!(begun.elapsed() < PROMPT_ANSWER, "{:?}", begun.elapsed());
    assert_eq!(metric(&fleet, "context_moves_failed"), 1);
    assert_eq!(metric(&fleet, "context_moves_done"), 0);
    hold.join().unwrap();
}
