//! Tests of graceful shutdown while requests wait in queues and while results are being recorded.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::{
    API_KEY, BOOKINGS, CHAT, Fleet, Plan, booking, chat, count_executions, expected_answer, get,
    owner, post, post_booking, set_fault, streamed_text, wait_for,
};

const CALLER_COUNT: usize = 30;
const ENGINE_COUNT: usize = 3;
const SLOTS_PER_ENGINE: usize = 2;
const WORDS_PER_ANSWER: usize = 60;

/// Deadline header that is longer than a test takes, so that no claim expires within a test.
const DEADLINE: (&str, &str) = ("x-turmericrelay-deadline", "9s");

/// Duration of the partition between the stopping instance and the quorum.
const PARTITION_DURATION: Duration = Duration::from_secs(1);

fn stats(engine: SocketAddr) -> Value {
    serde_json::from_str(&get(engine, "/stats").unwrap()).unwrap()
}

/// Returns the number of requests that an instance has not answered yet.
fn active_requests(operators: SocketAddr) -> usize {
    let metrics = get(operators, "/metrics").unwrap();
    let mut values =
        metrics.lines().filter_map(|line| line.strip_prefix("turmericrelay_active_requests "));
    values.next().unwrap().parse().unwrap()
}

#[test]
fn a_graceful_shutdown_hands_waiting_requests_over() {
    let mut fleet = Fleet::start(&["giza", "giza", "giza"]);
    for index in 0..ENGINE_COUNT {
        let slots = SLOTS_PER_ENGINE.to_string();
        let flags = ["--model", "caption-small", "--slots", &slots, "--word-interval", "10ms"];
        fleet.add_upstream(&format!("engine-{index}"), "giza", &flags);
    }
    let stopping = owner(&fleet, "engine-0");
    // An answer that starts now takes 6 s, so no slot is free again before all requests are active.
    for engine in &fleet.upstreams {
        set_fault(engine.address, "slow:10");
    }
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            let address = fleet.instances[caller % 3].addresses.callers;
            std::thread::spawn(move || {
                let text = format!("conversation {caller}");
                let answer =
                    post(address, CHAT, &[], &chat(&text, WORDS_PER_ANSWER, true)).unwrap();
                let is_whole =
                    streamed_text(&answer.body) == Some(expected_answer(&text, WORDS_PER_ANSWER));
                (is_whole, answer)
            })
        })
        .collect();
    wait_for("occupation of all slots with all other requests waiting", || {
        let busy: u64 = fleet
            .upstreams
            .iter()
            .map(|engine| stats(engine.address)["running"].as_u64().unwrap())
            .sum();
        let active: usize = fleet
            .instances
            .iter()
            .map(|instance| active_requests(instance.addresses.operators))
            .sum();
        (busy == (ENGINE_COUNT * SLOTS_PER_ENGINE) as u64 && active == CALLER_COUNT).then_some(())
    });
    for engine in &fleet.upstreams {
        set_fault(engine.address, "none");
    }
    let started = Instant::now();
    fleet.instances[stopping].process.signal("TERM");
    let answers: Vec<_> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    println!("instance {stopping} stopped; all requests answered after {:?}", started.elapsed());
    for (caller, (is_whole, answer)) in answers.iter().enumerate() {
        assert!(is_whole, "caller {caller} got {answer:?}");
    }
    assert_eq!(fleet.instances[stopping].process.wait(), Some(0));
    for engine in &fleet.upstreams {
        let stats = stats(engine.address);
        assert!(
            stats["peak"].as_u64().unwrap() <= SLOTS_PER_ENGINE as u64,
            "{}: {stats}",
            engine.name
        );
    }
}

/// Starts three voters and a slow booking service.
fn start_booking_fleet() -> Fleet {
    let plan = Plan::new(&["giza", "giza", "giza"]).with_voters(3).with_proxies();
    let mut fleet = Fleet::start_plan(plan);
    fleet.add_booking_service("shop-1");
    fleet.wait_for_quorum();
    set_fault(fleet.upstreams[0].address, "slow:20");
    fleet
}

/// Checks that the booking with the key "k1" ran once and that another instance replays its answer.
/// Returns the body of that answer.
fn expect_recorded(fleet: &Fleet) -> String {
    let replayed = post_booking(fleet.instances[0].addresses.callers, "k1", "Hassan").unwrap();
    assert_eq!(replayed.status, 200, "{replayed:?}");
    assert_eq!(count_executions(&fleet.journal(), "Hassan"), 1);
    replayed.body
}

#[test]
fn a_graceful_shutdown_waits_for_results_that_are_being_recorded() {
    let mut fleet = start_booking_fleet();
    let address = fleet.instances[2].addresses.callers;
    let caller = std::thread::spawn(move || {
        post(address, BOOKINGS, &[("idempotency-key", "k1"), DEADLINE], &booking("Hassan"))
    });
    wait_for("run of the booking", || {
        (count_executions(&fleet.journal(), "Hassan") == 1).then_some(())
    });
    fleet.set_partition(&[2], true);
    let answer = caller.join().unwrap().unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    fleet.instances[2].process.signal("TERM");
    std::thread::sleep(PARTITION_DURATION);
    fleet.set_partition(&[2], false);
    assert_eq!(fleet.instances[2].process.wait(), Some(0));
    assert_eq!(expect_recorded(&fleet), answer.body);
}

#[test]
fn a_graceful_shutdown_waits_for_bookings_whose_callers_disconnected() {
    let mut fleet = start_booking_fleet();
    let body = booking("Hassan").to_string();
    let mut stream = TcpStream::connect(fleet.instances[2].addresses.callers).unwrap();
    write!(
        stream,
        "POST {BOOKINGS} HTTP/1.1\r\nauthorization: Bearer {API_KEY}\r\nidempotency-key: k1\r\n\
         content-type: application/json\r\n{}: {}\r\ncontent-length: {}\r\n\r\n{body}",
        DEADLINE.0,
        DEADLINE.1,
        body.len()
    )
    .unwrap();
    wait_for("run of the booking", || {
        (count_executions(&fleet.journal(), "Hassan") == 1).then_some(())
    });
    drop(stream);
    fleet.instances[2].process.signal("TERM");
    assert_eq!(fleet.instances[2].process.wait(), Some(0));
    expect_recorded(&fleet);
}

/// The connection opens before the shutdown, and its first request arrives during the shutdown.
#[test]
fn a_first_request_during_a_graceful_shutdown_is_refused_as_not_run() {
    let mut fleet = Fleet::start(&["giza"]);
    fleet.add_upstream("engine-1", "giza", &["--model", "caption-small"]);
    let address = fleet.instances[0].addresses.callers;
    let running =
        std::thread::spawn(move || post(address, CHAT, &[], &chat("long", WORDS_PER_ANSWER, true)));
    wait_for("arrival of the request at the engine", || {
        (stats(fleet.upstreams[0].address)["running"] == 1).then_some(())
    });
    let mut stream = TcpStream::connect(address).unwrap();
    fleet.instances[0].process.signal("TERM");
    wait_for("close of the listener", || TcpStream::connect(address).is_err().then_some(()));
    let body = chat("late", 4, true).to_string();
    write!(
        stream,
        "POST {CHAT} HTTP/1.1\r\nauthorization: Bearer {API_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    let mut answer = String::new();
    std::io::Read::read_to_string(&mut stream, &mut answer).unwrap();
    let answer = answer.to_lowercase();
    assert!(answer.starts_with("http/1.1 503"), "{answer:?}");
    assert!(answer.contains("x-turmericrelay-verdict: not-run"), "{answer}");
    assert!(answer.contains("retry-after:"), "{answer}");
    let running_answer = running.join().unwrap().unwrap();
    assert_eq!(
        streamed_text(&running_answer.body),
        Some(expected_answer("long", WORDS_PER_ANSWER))
    );
    assert_eq!(fleet.instances[0].process.wait(), Some(0));
}

/// Guards against callers whose connection is closed without an answer when the drain time is over.
#[test]
fn requests_that_still_run_when_the_drain_time_is_over_are_answered() {
    let timing = json!({ "drain": "2s" });
    let mut fleet = Fleet::start_plan(Plan::new(&["giza"]).with_setting("timing", timing));
    let engine = fleet.add_upstream("engine-0", "giza", &["--model", "caption-small"]);
    set_fault(engine, "hang");
    let address = fleet.instances[0].addresses.callers;
    let caller =
        std::thread::spawn(move || post(address, CHAT, &[DEADLINE], &chat("hello", 5, true)));
    wait_for("the request to run", || (stats(engine)["running"] == 1).then_some(()));
    fleet.instances[0].process.signal("TERM");
    let answer = caller.join().unwrap().unwrap();
    assert_eq!((answer.status, answer.verdict.as_deref()), (502, Some("may-have-run")));
}
