//! Checks that an upstream that pauses in the middle of an answer costs no caller its answer.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::thread::JoinHandle;

use serde_json::Value;
use support::{
    Answer, Fleet, chat, expected_answer, get, post, set_fault, streamed_text, wait_for,
};
use test_case::test_case;

const CHAT_PATH: &str = "/v1/chat/completions";

/// Deadline of the requests; without progress, another upstream is sought after a third of it.
const DEADLINE: &str = "6s";

/// Fault of an engine that pauses for longer than that.
const PAUSE: &str = "pause:2500";

/// Number of words of an answer.
const WORDS: usize = 40;

fn start_fleet() -> Fleet {
    Fleet::start(&["giza", "giza"])
}

fn add_engine(fleet: &mut Fleet, name: &str, slots: &str) -> SocketAddr {
    let flags = ["--model", "caption-small", "--slots", slots, "--word-interval", "20ms"];
    fleet.add_upstream(name, "giza", &flags)
}

/// Sends a request with [`DEADLINE`] for an answer of [`WORDS`] words.
fn send(fleet: &Fleet, text: &str, streams: bool) -> JoinHandle<Answer> {
    send_chat(fleet, DEADLINE, chat(text, WORDS, streams))
}

/// Fills an upstream with one slot by a stream of `words` words; the upstream must be the only one.
fn occupy(fleet: &Fleet, upstream: SocketAddr, words: usize) -> JoinHandle<Answer> {
    let occupant = send_chat(fleet, "20s", chat("occupant", words, true));
    wait_for_running_request(upstream);
    occupant
}

fn send_chat(fleet: &Fleet, deadline: &'static str, body: Value) -> JoinHandle<Answer> {
    let address = fleet.instances[0].addresses.callers;
    let headers = [("x-turmericrelay-deadline", deadline)];
    std::thread::spawn(move || post(address, CHAT_PATH, &headers, &body).unwrap())
}

fn check_is_whole(answer: &Answer, text: &str, streams: bool) {
    assert_eq!(answer.status, 200, "{answer:?}");
    let expected = expected_answer(text, WORDS);
    if streams {
        assert_eq!(streamed_text(&answer.body), Some(expected));
    } else {
        let body: Value = serde_json::from_str(&answer.body).unwrap();
        assert_eq!(body["choices"][0]["message"]["content"], expected);
    }
}

fn statistic(engine: SocketAddr, name: &str) -> u64 {
    let stats: Value = serde_json::from_str(&get(engine, "/stats").unwrap()).unwrap();
    stats[name].as_u64().unwrap()
}

fn wait_for_running_request(engine: SocketAddr) {
    wait_for("start of a request", || (statistic(engine, "running") > 0).then_some(()));
}

/// Returns the number of permits in use at all instances.
fn permits_in_use(fleet: &Fleet) -> i64 {
    let permits = |instance: &support::Instance| {
        let metrics = get(instance.addresses.operators, "/metrics").unwrap();
        let value = metrics.lines().find_map(|line| line.strip_prefix("turmericrelay_permits "));
        value.unwrap().parse::<i64>().unwrap()
    };
    fleet.instances.iter().map(permits).sum()
}

fn wait_until_no_permit_is_in_use(fleet: &Fleet) {
    wait_for("return of all permits", || (permits_in_use(fleet) == 0).then_some(()));
}

#[test_case(false; "answer at once")]
#[test_case(true; "started stream")]
fn a_pause_of_the_only_upstream_ends_no_answer(streams: bool) {
    let mut fleet = start_fleet();
    let engine = add_engine(&mut fleet, "engine-1", "8");
    set_fault(engine, PAUSE);
    let answer = send(&fleet, "only", streams).join().unwrap();
    check_is_whole(&answer, "only", streams);
    assert_eq!((statistic(engine, "taken"), statistic(engine, "cancelled")), (1, 0));
    wait_until_no_permit_is_in_use(&fleet);
}

#[test_case(false; "answer at once")]
#[test_case(true; "started stream")]
fn a_pause_ends_no_answer_while_the_other_upstream_is_full(streams: bool) {
    let mut fleet = start_fleet();
    let full = add_engine(&mut fleet, "engine-full", "1");
    let occupant = occupy(&fleet, full, 350);
    let engine = add_engine(&mut fleet, "engine-1", "8");
    set_fault(engine, PAUSE);
    let answer = send(&fleet, "beside full", streams).join().unwrap();
    check_is_whole(&answer, "beside full", streams);
    assert_eq!((statistic(engine, "taken"), statistic(engine, "cancelled")), (1, 0));
    assert_eq!(occupant.join().unwrap().status, 200);
    wait_until_no_permit_is_in_use(&fleet);
    assert_eq!(statistic(full, "taken"), 1);
}

#[test_case(false; "answer at once")]
#[test_case(true; "started stream")]
fn a_request_moves_from_a_pausing_upstream_to_a_free_one(streams: bool) {
    let mut fleet = start_fleet();
    let pausing = add_engine(&mut fleet, "engine-1", "8");
    set_fault(pausing, "pause:20000");
    let request = send(&fleet, "moves", streams);
    wait_for_running_request(pausing);
    let free = add_engine(&mut fleet, "engine-2", "8");
    check_is_whole(&request.join().unwrap(), "moves", streams);
    assert_eq!(statistic(free, "answered"), 1);
    wait_for("cancellation", || (statistic(pausing, "cancelled") == 1).then_some(()));
    wait_until_no_permit_is_in_use(&fleet);
}

#[test]
fn a_silent_request_moves_when_a_full_upstream_has_room_again() {
    let mut fleet = start_fleet();
    let full = add_engine(&mut fleet, "engine-full", "1");
    let occupant = occupy(&fleet, full, 180);
    let pausing = add_engine(&mut fleet, "engine-1", "8");
    set_fault(pausing, "pause:20000");
    let answer = send(&fleet, "moves later", false).join().unwrap();
    check_is_whole(&answer, "moves later", false);
    assert_eq!(occupant.join().unwrap().status, 200);
    assert_eq!(statistic(full, "answered"), 2);
    wait_for("cancellation", || (statistic(pausing, "cancelled") == 1).then_some(()));
    wait_until_no_permit_is_in_use(&fleet);
}

#[test_case("refuse", false; "refuses the request")]
#[test_case("restart", true; "does not resume the stream")]
fn a_request_that_moved_returns_when_the_other_upstream_fails(fault: &str, streams: bool) {
    let mut fleet = start_fleet();
    let pausing = add_engine(&mut fleet, "engine-1", "8");
    set_fault(pausing, PAUSE);
    let request = send(&fleet, "returns", streams);
    wait_for_running_request(pausing);
    let failing = add_engine(&mut fleet, "engine-2", "8");
    set_fault(failing, fault);
    check_is_whole(&request.join().unwrap(), "returns", streams);
    assert_eq!(statistic(failing, "taken"), 1);
}

#[test]
fn permits_that_come_as_the_upstream_goes_on_are_returned() {
    let mut fleet = start_fleet();
    let pausing = add_engine(&mut fleet, "engine-1", "64");
    let start = |number: u64| {
        set_fault(pausing, &format!("pause:{}", 1960 + number));
        let text = format!("goes on {number}");
        (send(&fleet, &text, true), text)
    };
    let requests: Vec<_> = (0..40).map(start).collect();
    add_engine(&mut fleet, "engine-2", "64");
    for (request, text) in requests {
        check_is_whole(&request.join().unwrap(), &text, true);
    }
    let moved = statistic(pausing, "cancelled");
    println!("{moved} of 40 requests moved");
    wait_until_no_permit_is_in_use(&fleet);
}
