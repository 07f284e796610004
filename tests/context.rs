//! Checks that cached context is moved when a conversation is sent to another engine.

#![allow(clippy::unwrap_used)]

mod support;

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::{Answer, Fleet, Plan, chat, get, post, set_fault, wait_for};
use test_case::test_case;

const CHAT_PATH: &str = "/v1/chat/completions";
const CONVERSATION_HEADERS: [(&str, &str); 1] = [("x-turmericrelay-conversation", "survey-7")];
const ANSWER_WORDS: usize = 4;

/// Number of words in the answer to the request that keeps an engine busy.
const LONG_ANSWER_WORDS: usize = 150;

/// Longest time to an answer whose engine computes the context itself. It is far above the time
/// limit of a context move and far below the request's deadline.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(10);

/// Starts one instance, and two engines that each process one request at a time.
fn start_fleet(move_limit: &str) -> Fleet {
    start_fleet_in(&["giza"], move_limit)
}

fn start_fleet_in(data_centres: &[&str], move_limit: &str) -> Fleet {
    let context = json!({ "limit": move_limit, "recompute": "50/s" });
    let plan = Plan::new(data_centres).with_setting("context", context);
    let mut fleet = Fleet::start_plan(plan);
    for name in ["engine-1", "engine-2"] {
        let flags = ["--model", "caption-small", "--slots", "1", "--expires-in", "60s"];
        fleet.add_upstream(name, "giza", &flags);
    }
    fleet
}

fn statistic(fleet: &Fleet, engine: usize, name: &str) -> u64 {
    let stats = get(fleet.upstreams[engine].address, "/stats").unwrap();
    serde_json::from_str::<Value>(&stats).unwrap()[name].as_u64().unwrap()
}

fn counter(fleet: &Fleet, name: &str) -> u64 {
    let metrics = get(fleet.instances[0].addresses.operators, "/metrics").unwrap();
    let prefix = format!("turmericrelay_{name}_total ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(&prefix));
    line.unwrap().parse().unwrap()
}

fn first_prompt() -> String {
    "a long flight log ".repeat(100)
}

fn send(fleet: &Fleet, instance: usize, body: &Value) -> Answer {
    let address = fleet.instances[instance].addresses.callers;
    let answer = post(address, CHAT_PATH, &CONVERSATION_HEADERS, body).unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    answer
}

/// Sends the first turn, and returns the index of the engine that then has its context.
fn send_first_turn(fleet: &Fleet) -> usize {
    send(fleet, 0, &chat(&first_prompt(), ANSWER_WORDS, false));
    usize::from(statistic(fleet, 1, "answered") == 1)
}

/// Keeps the home engine of the conversation busy, so that the next turn spills.
fn occupy_engine(fleet: &Fleet, home: usize) -> JoinHandle<()> {
    let address = fleet.instances[0].addresses.callers;
    let blocking_request = std::thread::spawn(move || {
        post(address, CHAT_PATH, &CONVERSATION_HEADERS, &chat("hold", LONG_ANSWER_WORDS, false))
            .unwrap();
    });
    wait_for("start of a request", || (statistic(fleet, home, "running") == 1).then_some(()));
    blocking_request
}

/// Sends a turn that follows earlier ones, and checks its answer. Returns the number of prompt
/// tokens that its engine had cached.
fn send_later_turn(fleet: &Fleet, instance: usize, texts: &[String]) -> u64 {
    let turns: Vec<(&str, &str)> =
        texts.iter().flat_map(|text| [("assistant", "noted"), ("user", text.as_str())]).collect();
    let turns = &turns[1..];
    let messages: Vec<Value> =
        turns.iter().map(|(role, content)| json!({ "role": role, "content": content })).collect();
    let body =
        json!({ "model": "caption-small", "messages": messages, "max_tokens": ANSWER_WORDS });
    let answer: Value = serde_json::from_str(&send(fleet, instance, &body).body).unwrap();
    let prompt: String = turns.iter().map(|(role, text)| format!("{role}: {text}\n")).collect();
    assert_eq!(answer["choices"][0]["message"]["content"], standin::answer(&prompt, ANSWER_WORDS));
    answer["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap()
}

fn send_second_turn(fleet: &Fleet) -> u64 {
    send_later_turn(fleet, 0, &[first_prompt(), "and?".to_string()])
}

#[test]
fn a_spilled_conversation_reuses_its_context() {
    let fleet = start_fleet("5s");
    let home = send_first_turn(&fleet);
    let blocking_request = occupy_engine(&fleet, home);
    let cached = send_second_turn(&fleet);
    assert_eq!(statistic(&fleet, 1 - home, "answered"), 1, "the turn did not spill");
    assert!(cached as usize > first_prompt().len() / 4 - 32, "{cached}");
    assert_eq!(counter(&fleet, "context_moves_done"), 1);
    assert!(counter(&fleet, "context_moved_bytes") > 0);
    blocking_request.join().unwrap();
}

#[test]
fn a_conversation_that_spilled_through_another_instance_reuses_its_context() {
    let fleet = start_fleet_in(&["giza", "giza"], "5s");
    let home = send_first_turn(&fleet);
    let blocking_request = occupy_engine(&fleet, home);
    let second_prompt = "a longer flight log ".repeat(100);
    send_later_turn(&fleet, 0, &[first_prompt(), second_prompt.clone()]);
    assert_eq!(statistic(&fleet, 1 - home, "answered"), 1, "the turn did not spill");
    blocking_request.join().unwrap();
    let context_bytes = first_prompt().len() + second_prompt.len();
    let texts = [first_prompt(), second_prompt, "and then?".to_string()];
    let cached = send_later_turn(&fleet, 1, &texts);
    assert_eq!(
        statistic(&fleet, home, "answered"),
        3,
        "the turn did not return to the home engine"
    );
    assert!(cached as usize > context_bytes / 4 - 32, "{cached} of {}", context_bytes / 4);
}

#[test]
fn context_is_fetched_from_a_leaving_engine() {
    let fleet = start_fleet("5s");
    let home = send_first_turn(&fleet);
    let operators = fleet.instances[0].addresses.operators;
    let listed: Vec<Value> = serde_json::from_str(&get(operators, "/upstreams").unwrap()).unwrap();
    let mut announcement = listed[home].clone();
    let listed_only = ["owner", "in_flight", "running", "waiting", "is_drained"];
    announcement.as_object_mut().unwrap().retain(|field, _| !listed_only.contains(&field.as_str()));
    announcement["is_leaving"] = json!(true);
    assert_eq!(post(operators, "/announce", &[], &announcement).unwrap().status, 200);
    assert!(send_second_turn(&fleet) > 0);
    assert_eq!(statistic(&fleet, 1 - home, "answered"), 1);
    assert_eq!(counter(&fleet, "context_moves_done"), 1);
}

#[test_case("export-hang"; "hangs")]
#[test_case("export-cut"; "is truncated")]
#[test_case("export-crossed"; "returns the context of another conversation")]
fn a_failing_context_export_delays_no_answer_beyond_the_limit(fault: &str) {
    let fleet = start_fleet("300ms");
    let home = send_first_turn(&fleet);
    let blocking_request = occupy_engine(&fleet, home);
    set_fault(fleet.upstreams[home].address, fault);
    let started = Instant::now();
    assert_eq!(send_second_turn(&fleet), 0, "the engine reused context that it does not have");
    assert!(started.elapsed() < MAX_ANSWER_TIME, "{:?}", started.elapsed());
    assert_eq!(counter(&fleet, "context_moves_failed"), 1);
    assert_eq!(counter(&fleet, "context_moves_done"), 0);
    blocking_request.join().unwrap();
}
