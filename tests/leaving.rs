//! An upstream that leaves gets no new work after two seconds, from any instance.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use support::{Fleet, Plan, chat, get, post, wait_for};
use test_case::test_case;

const CHAT: &str = "/v1/chat/completions";

/// What an upstream announces, of the fields that are listed.
const ANNOUNCED: [&str; 10] = [
    "upstream",
    "incarnation",
    "data_centre",
    "address",
    "protocol",
    "models",
    "slots",
    "labels",
    "expires_in",
    "checks_fencing",
];

/// When a leave must have reached every instance.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);

fn fleet() -> Fleet {
    let mut fleet = Fleet::start_plan(Plan::new(&["giza", "giza", "giza"]).with_proxies());
    for name in ["engine-1", "engine-2"] {
        let flags = ["--model", "caption-small", "--expires-in", "60s", "--word-interval", "5ms"];
        fleet.add_upstream(name, "giza", &flags);
    }
    fleet
}

/// Announces the leave of the first upstream to one instance.
fn announce_leave(fleet: &Fleet, instance: usize) {
    let operators = fleet.instances[instance].addresses.operators;
    let listed: Vec<Value> = serde_json::from_str(&get(operators, "/upstreams").unwrap()).unwrap();
    let mut announcement = listed.into_iter().find(|one| one["upstream"] == "engine-1").unwrap();
    announcement.as_object_mut().unwrap().retain(|field, _| ANNOUNCED.contains(&field.as_str()));
    announcement["is_leaving"] = json!(true);
    let answer = post(operators, "/announce", &[], &announcement).unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
}

fn taken(fleet: &Fleet) -> u64 {
    let stats: Value =
        serde_json::from_str(&get(fleet.upstreams[0].address, "/stats").unwrap()).unwrap();
    stats["taken"].as_u64().unwrap()
}

/// Calls through every instance until `stopped`.
fn call(fleet: &Fleet, stopped: &Arc<AtomicBool>) -> Vec<std::thread::JoinHandle<usize>> {
    let addresses = fleet.instances.iter().map(|instance| instance.addresses.callers);
    addresses
        .map(|address| {
            let stopped = stopped.clone();
            std::thread::spawn(move || {
                let mut answered = 0;
                while !stopped.load(Ordering::Relaxed) {
                    let text = format!("call {answered} through {address}");
                    if post(address, CHAT, &[], &chat(&text, 4, true)).unwrap().status == 200 {
                        answered += 1;
                    }
                }
                answered
            })
        })
        .collect()
}

#[test_case("healthy", |_| {}; "healthy")]
#[test_case("slow link", |fleet| {
    for from in [0, 2] {
        fleet.link(from, 1).change(|faults| faults.delay = Duration::from_millis(150));
    }
}; "slow_link")]
#[test_case("cut link", |fleet| {
    fleet.link(0, 1).change(|faults| faults.is_cut = true);
}; "cut_link")]
fn a_leaving_upstream_gets_no_new_work(fault: &str, inject: fn(&Fleet)) {
    let fleet = fleet();
    let stopped = Arc::new(AtomicBool::new(false));
    let callers = call(&fleet, &stopped);
    wait_for("work at the upstream", || (taken(&fleet) > 20).then_some(()));
    inject(&fleet);
    announce_leave(&fleet, 0);
    std::thread::sleep(LEAVE_LIMIT);
    let at_limit = taken(&fleet);
    std::thread::sleep(LEAVE_LIMIT);
    let later = taken(&fleet);
    stopped.store(true, Ordering::Relaxed);
    let answered: usize = callers.into_iter().map(|caller| caller.join().unwrap()).sum();
    println!("{fault}: {answered} calls answered, {} after the limit", later - at_limit);
    assert_eq!(later, at_limit, "{fault}: new work at the leaving upstream");
    assert!(answered > 50, "{answered}");
}
