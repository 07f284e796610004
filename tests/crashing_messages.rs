//! Messages of conversations that crash engines, on the product's own interface.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standin::Fault;
use support::crashes::CrashCounter;
use support::{Fleet, post, wait_for};
use test_case::test_case;

const CHAT: &str = "/v1/chat/completions";

const ENGINES: usize = 6;

/// Fault of engines that crash on one message in fifty before the last one, or on one last message
/// in fifty.
const SHARED_FAULT: &str = "crash:20";
const LAST_FAULT: &str = "crash-last:20";

/// Message before the last one that all conversations share.
const SHARED_MESSAGE: &str = "the flight log";

/// Number of crashes after which the fleet has to know the cause.
const CRASHES: u64 = 5;

/// Time within which the fleet has to know it, and number of later crashes that are allowed.
const CONTACT: Duration = Duration::from_secs(3);
const MAX_LATER_CRASHES: u64 = 3;

/// Returns a message that begins with `start` and crashes engines, or one that does not.
fn message(start: &str, is_crash: bool) -> String {
    let fault: Fault = SHARED_FAULT.parse().unwrap();
    let mut texts = (0..).map(|number| format!("{start} {number}"));
    texts.find(|text| fault.is_crash(text) == is_crash).unwrap()
}

/// Returns the request `number` of `caller`, which crashes engines with `fault` if `is_bad` is set.
fn request(fault: &str, is_bad: bool, caller: usize, number: usize) -> Value {
    let question = format!("question {caller} {number}");
    match (fault, is_bad) {
        (LAST_FAULT, true) => conversation(SHARED_MESSAGE, &message("question", true)),
        (LAST_FAULT, false) => conversation(SHARED_MESSAGE, &message(&question, false)),
        _ => conversation(&message("flight log", is_bad), &question),
    }
}

fn conversation(shared: &str, question: &str) -> Value {
    json!({
        "model": "caption-small",
        "messages": [
            { "role": "user", "content": shared },
            { "role": "assistant", "content": "read" },
            { "role": "user", "content": question },
        ],
        "max_tokens": 20,
        "stream": true,
    })
}

/// Guards against a request that is sent to one engine after the other while each of them crashes.
#[test_case(SHARED_FAULT; "before the last message")]
#[test_case(LAST_FAULT; "last message")]
fn a_message_that_crashes_engines_is_not_sent_to_further_ones(fault: &'static str) {
    let mut fleet = Fleet::start(&["giza", "giza", "giza"]);
    let flags = ["--model", "caption-small"];
    let start = |number| fleet.add_upstream(&format!("engine-{number}"), "giza", &flags);
    let engines: Vec<SocketAddr> = (1..=ENGINES).map(start).collect();
    for engine in &engines {
        ureq::post(format!("http://{engine}/fault")).send(fault).unwrap();
    }
    let callers: Vec<SocketAddr> =
        fleet.instances.iter().map(|instance| instance.addresses.callers).collect();
    let is_stopped = Arc::new(AtomicBool::new(false));
    let (served, sent) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut threads = Vec::new();
    for caller in 0..6 {
        let (callers, is_stopped) = (callers.clone(), is_stopped.clone());
        let (served, sent) = (served.clone(), sent.clone());
        threads.push(std::thread::spawn(move || {
            for number in 0.. {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let is_bad = caller == 0;
                let body = request(fault, is_bad, caller, number);
                let answer = post(callers[number % callers.len()], CHAT, &[], &body);
                if is_bad {
                    std::thread::sleep(Duration::from_millis(100));
                } else {
                    sent.fetch_add(1, Ordering::Relaxed);
                    let is_served = answer.is_ok_and(|answer| answer.status == 200);
                    served.fetch_add(usize::from(is_served), Ordering::Relaxed);
                }
            }
        }));
    }
    let mut counter = CrashCounter::new(engines);
    wait_for("the first crash", || (counter.crashes() > 0).then_some(()));
    let deadline = Instant::now() + Duration::from_secs(8);
    while counter.crashes() < CRASHES && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(CONTACT);
    let known = counter.settled();
    let (served_before, sent_before) =
        (served.load(Ordering::Relaxed), sent.load(Ordering::Relaxed));
    std::thread::sleep(Duration::from_secs(5));
    let later = counter.settled() - known;
    let served = served.load(Ordering::Relaxed) - served_before;
    let sent = sent.load(Ordering::Relaxed) - sent_before;
    is_stopped.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    assert!(later <= MAX_LATER_CRASHES, "{later} crashes after {known}");
    assert!(sent >= 20 && served * 2 >= sent, "{served} of {sent} sound requests were served");
}
