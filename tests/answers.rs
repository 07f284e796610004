//! Checks that every caller receives the complete answer to its own request, or can detect that it
//! did not. `ANSWER_SEEDS` sets the number of seeds of the test with random faults (default 2).

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use support::{
    API_KEY, Answer, Fleet, chat, expected_answer, get, post, set_fault, stream_ids, streamed_text,
    wait_for,
};
use test_case::test_case;

const CHAT_PATH: &str = "/v1/chat/completions";
const FLAGS: [&str; 2] = ["--model", "caption-small"];

fn start_fleet(engine_count: usize) -> Fleet {
    let mut fleet = Fleet::start(&["giza", "giza"]);
    for number in 1..=engine_count {
        fleet.add_upstream(&format!("engine-{number}"), "giza", &FLAGS);
    }
    fleet
}

/// Guards against a whole stream that ends with its connection and is taken for an interrupted one.
#[test]
fn a_stream_that_ends_with_its_connection_is_complete() {
    let fleet = start_fleet(1);
    set_fault(fleet.upstreams[0].address, "unframed");
    let address = fleet.instances[0].addresses.callers;
    for number in 0..3 {
        let caller = Caller::start(address, format!("unframed {number}"), 5, true);
        assert_eq!(caller.check_answer(), Outcome::Complete);
    }
}

/// Guards against an answer that its engine breaks off in order, at any place, and that looks complete.
#[test_case(true; "stream")]
#[test_case(false; "chat")]
fn an_unframed_answer_that_its_engine_breaks_off_is_never_taken_for_a_whole_one(is_streamed: bool) {
    let fleet = start_fleet(1);
    let address = fleet.instances[0].addresses.callers;
    let engine = fleet.upstreams[0].address;
    let start = |bytes: usize| {
        set_fault(engine, &format!("unframed-cut:{bytes}"));
        let taken = statistic(engine, "taken");
        let caller = Caller::start(address, format!("broken {bytes}"), 5, is_streamed);
        wait_for("the request", || (statistic(engine, "taken") > taken).then_some(()));
        caller
    };
    // Requests stay in progress at the next place, where further attempts break off.
    let callers: Vec<Caller> = (0..1200).step_by(97).map(start).collect();
    callers.into_iter().for_each(|caller| {
        caller.check_answer();
    });
    set_fault(fleet.upstreams[0].address, "unframed");
    let caller = Caller::start(address, "whole".to_string(), 5, is_streamed);
    assert_eq!(caller.check_answer(), Outcome::Complete);
}

/// A request that is sent from a thread of its own.
struct Caller {
    text: String,
    word_count: usize,
    is_streamed: bool,
    thread: JoinHandle<Result<Answer, String>>,
}

/// Outcome of a caller's request.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// The caller received the complete answer.
    Complete,
    /// The caller received an error with a verdict.
    Refused,
    /// The connection broke before the end of the answer.
    Interrupted,
}

impl Caller {
    fn start(address: SocketAddr, text: String, word_count: usize, is_streamed: bool) -> Self {
        let body = chat(&text, word_count, is_streamed);
        let thread = std::thread::spawn(move || post(address, CHAT_PATH, &[], &body));
        Self { text, word_count, is_streamed, thread }
    }

    /// Waits for the answer, compares it with the answer that an engine would give, and returns the
    /// outcome.
    fn check_answer(self) -> Outcome {
        let expected = expected_answer(&self.text, self.word_count);
        let answer = match self.thread.join().unwrap() {
            Ok(answer) if answer.status == 200 => answer,
            Ok(answer) => {
                assert!(answer.verdict.is_some(), "{answer:?}");
                return Outcome::Refused;
            }
            Err(_) => return Outcome::Interrupted,
        };
        if self.is_streamed {
            assert_eq!(streamed_text(&answer.body), Some(expected), "{}", self.text);
            let (ids, ends) = stream_ids(&answer.body);
            assert_eq!((ids.len(), ends), (1, 1), "{ids:?}");
        } else {
            let body: Value = serde_json::from_str(&answer.body).unwrap();
            assert_eq!(body["choices"][0]["message"]["content"], expected);
        }
        Outcome::Complete
    }
}

fn start_callers(fleet: &Fleet, count: usize, word_count: usize, is_streamed: bool) -> Vec<Caller> {
    let start = |number: usize| {
        let address = fleet.instances[number % 2].addresses.callers;
        Caller::start(address, format!("caller {number}"), word_count, is_streamed)
    };
    (0..count).map(start).collect()
}

fn statistic(address: SocketAddr, name: &str) -> u64 {
    let stats: Value = serde_json::from_str(&get(address, "/stats").unwrap()).unwrap();
    stats[name].as_u64().unwrap()
}

fn wait_for_running_request(fleet: &Fleet, engine: usize) {
    let address = fleet.upstreams[engine].address;
    wait_for("start of a request", || (statistic(address, "running") > 0).then_some(()));
}

#[test]
fn streams_resume_at_another_engine_after_theirs_is_killed() {
    let mut fleet = Fleet::start(&["giza", "giza"]);
    for name in ["engine-1", "engine-2"] {
        fleet.add_upstream(name, "giza", &["--model", "caption-small", "--slots", "64"]);
    }
    let callers = start_callers(&fleet, 60, 60, true);
    wait_for_running_request(&fleet, 0);
    wait_for_running_request(&fleet, 1);
    std::thread::sleep(Duration::from_millis(500));
    fleet.upstreams[0].process.kill();
    for caller in callers {
        assert_eq!(caller.check_answer(), Outcome::Complete);
    }
}

#[test]
fn streams_resume_after_their_only_engine_is_restarted() {
    let mut fleet = start_fleet(1);
    let callers = start_callers(&fleet, 4, 60, true);
    wait_for_running_request(&fleet, 0);
    std::thread::sleep(Duration::from_millis(200));
    fleet.restart_upstream(0);
    for caller in callers {
        assert_eq!(caller.check_answer(), Outcome::Complete);
    }
}

#[test_case("error", true; "immediate error, streamed")]
#[test_case("error", false; "immediate error")]
#[test_case("refuse", false; "refusal as not run")]
#[test_case("cut:5", true; "connection closed after five words")]
#[test_case("cut:5", false; "connection closed without an answer")]
#[test_case("crossed", true; "answer to another attempt, streamed")]
#[test_case("crossed", false; "answer to another attempt")]
fn a_faulty_engine_corrupts_no_answer(fault: &str, is_streamed: bool) {
    let fleet = start_fleet(2);
    set_fault(fleet.upstreams[0].address, fault);
    for caller in start_callers(&fleet, 8, 12, is_streamed) {
        assert_eq!(caller.check_answer(), Outcome::Complete);
    }
}

#[test]
fn requests_move_from_an_unresponsive_engine_to_another() {
    let fleet = start_fleet(2);
    set_fault(fleet.upstreams[0].address, "hang");
    let address = fleet.instances[0].addresses.callers;
    let send_and_check = |number: usize| {
        let deadline = [("x-turmericrelay-deadline", "6s")];
        let text = format!("silent {number}");
        let answer = post(address, CHAT_PATH, &deadline, &chat(&text, 6, true)).unwrap();
        assert_eq!(streamed_text(&answer.body), Some(expected_answer(&text, 6)));
    };
    std::thread::scope(|scope| {
        (0..8).for_each(|number| {
            scope.spawn(move || send_and_check(number));
        });
    });
    let engine = fleet.upstreams[0].address;
    wait_for("end of the requests", || (statistic(engine, "running") == 0).then_some(()));
    let (received, cancelled) = (statistic(engine, "taken"), statistic(engine, "cancelled"));
    println!("{cancelled} of 8 requests were cancelled at the unresponsive engine");
    assert!(received > 0 && received == cancelled);
}

/// Returns the number of requests that the first engine received, and the number that all engines
/// received.
fn first_and_total_received(fleet: &Fleet) -> (u64, u64) {
    let received: Vec<u64> =
        fleet.upstreams.iter().map(|engine| statistic(engine.address, "taken")).collect();
    (received[0], received.iter().sum())
}

const CALLERS_PER_ROUND: usize = 30;

#[test_case("error"; "immediate errors")]
#[test_case("slow:20"; "twenty times slower")]
fn a_failing_or_slow_engine_receives_few_requests(fault: &str) {
    let fleet = start_fleet(4);
    set_fault(fleet.upstreams[0].address, fault);
    for round in 0..6 {
        let start = |number: usize| {
            let address = fleet.instances[number % 2].addresses.callers;
            Caller::start(address, format!("round {round} caller {number}"), 12, true)
        };
        let callers: Vec<Caller> = (0..CALLERS_PER_ROUND).map(start).collect();
        if round == 0 {
            std::thread::sleep(Duration::from_secs(4));
        }
        for caller in callers {
            assert_eq!(caller.check_answer(), Outcome::Complete);
        }
        let (first, total) = first_and_total_received(&fleet);
        println!("{fault}, round {round}: {first} of {total} requests to the faulty engine");
    }
    let (first, total) = first_and_total_received(&fleet);
    assert!(first * 6 < total, "{first} of {total} requests went to the faulty engine");
}

#[test]
fn callers_are_refused_without_delay_when_every_engine_fails() {
    let fleet = start_fleet(2);
    for upstream in &fleet.upstreams {
        set_fault(upstream.address, "error");
    }
    let started = std::time::Instant::now();
    for caller in start_callers(&fleet, 4, 12, true) {
        assert_eq!(caller.check_answer(), Outcome::Refused);
    }
    assert!(started.elapsed() < Duration::from_secs(5));
}

#[test]
fn an_interrupted_attempt_is_reported_as_may_have_run() {
    let fleet = start_fleet(1);
    set_fault(fleet.upstreams[0].address, "cut:0");
    let address = fleet.instances[0].addresses.callers;
    let answer = post(address, CHAT_PATH, &[], &chat("once", 4, false)).unwrap();
    assert_eq!(answer.verdict.as_deref(), Some("may-have-run"), "{answer:?}");
    assert!(answer.retry_after.is_some(), "{answer:?}");
}

#[test_case(true; "before the first byte")]
#[test_case(false; "in the middle of the stream")]
fn a_disconnected_caller_cancels_its_request_at_the_engine(is_unresponsive: bool) {
    let fleet = start_fleet(1);
    let engine = fleet.upstreams[0].address;
    if is_unresponsive {
        set_fault(engine, "hang");
    }
    let body = chat("leaving", 1000, true).to_string();
    let mut stream = TcpStream::connect(fleet.instances[1].addresses.callers).unwrap();
    write!(
        stream,
        "POST {CHAT_PATH} HTTP/1.1\r\nauthorization: Bearer {API_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    wait_for_running_request(&fleet, 0);
    let disconnected_at = std::time::Instant::now();
    drop(stream);
    wait_for("cancellation", || (statistic(engine, "cancelled") == 1).then_some(()));
    println!("cancelled after {:?}", disconnected_at.elapsed());
    assert_eq!(statistic(engine, "running"), 0);
}

/// Injects a random fault at one engine or its proxy, or removes the faults of both.
fn inject_random_fault(fleet: &Fleet, proxies: &[support::Proxy], random: &mut Pcg64Mcg) {
    let index = random.random_range(0..proxies.len());
    let engine = fleet.upstreams[index].address;
    match random.random_range(0..6) {
        0 => proxies[index].reset(),
        1 => {
            let bytes = random.random_range(1..8000);
            proxies[index].change(|faults| faults.truncate_after = bytes);
        }
        2 => set_fault(engine, &format!("cut:{}", random.random_range(0..30))),
        3 => set_fault(engine, ["error", "refuse", "crossed"][random.random_range(0..3)]),
        _ => {
            set_fault(engine, "none");
            proxies[index].change(|faults| faults.truncate_after = 0);
        }
    }
}

/// Runs callers under random faults. Returns the number of requests with each [`Outcome`], in the
/// order of its variants.
fn run_with_random_faults(seed: u64) -> [usize; 3] {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = Fleet::start(&["giza", "giza"]);
    let proxies: Vec<support::Proxy> = (1..=3)
        .map(|number| fleet.add_proxied_upstream(&format!("engine-{number}"), "giza", &FLAGS))
        .collect();
    let mut callers = Vec::new();
    for round in 0..10 {
        for number in 0..4 {
            let address = fleet.instances[number % 2].addresses.callers;
            let text = format!("seed {seed} round {round} caller {number}");
            let word_count = random.random_range(1..60);
            callers.push(Caller::start(address, text, word_count, number != 0));
        }
        for _ in 0..3 {
            inject_random_fault(&fleet, &proxies, &mut random);
            std::thread::sleep(Duration::from_millis(random.random_range(10..100)));
        }
    }
    let mut counts = [0; 3];
    for caller in callers {
        counts[caller.check_answer() as usize] += 1;
    }
    counts
}

#[test]
fn no_answer_is_corrupted_under_random_faults() {
    let seeds: u64 =
        std::env::var("ANSWER_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(2);
    let mut total = [0; 3];
    for seed in 0..seeds {
        let counts = run_with_random_faults(seed);
        println!(
            "seed {seed}: {} complete, {} refused, {} interrupted",
            counts[0], counts[1], counts[2]
        );
        (0..3).for_each(|index| total[index] += counts[index]);
    }
    println!(
        "{seeds} seeds: {} complete, {} refused, {} interrupted",
        total[0], total[1], total[2]
    );
    assert!(total[0] > total[1] + total[2], "at most half of the answers are complete: {total:?}");
}
