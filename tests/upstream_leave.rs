//! Checks that a leaving upstream receives no new requests from any instance after two seconds.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use support::{Fleet, Plan, chat, get, post, wait_for};
use test_case::test_case;

const CHAT_PATH: &str = "/v1/chat/completions";

/// Fields in the list of upstreams that are also fields of an announcement.
const ANNOUNCEMENT_FIELDS: [&str; 10] = [
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

/// Time within which every instance must know that an upstream leaves.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);

fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start_plan(Plan::new(&["giza", "giza", "giza"]).with_proxies());
    for name in ["engine-1", "engine-2"] {
        let flags = ["--model", "caption-small", "--expires-in", "60s", "--word-interval", "5ms"];
        fleet.add_upstream(name, "giza", &flags);
    }
    fleet
}

/// Announces to one instance that the first upstream leaves.
fn announce_leave(fleet: &Fleet, instance: usize) {
    let operators = fleet.instances[instance].addresses.operators;
    let listed: Vec<Value> = serde_json::from_str(&get(operators, "/upstreams").unwrap()).unwrap();
    let mut announcement =
        listed.into_iter().find(|upstream| upstream["upstream"] == "engine-1").unwrap();
    announcement
        .as_object_mut()
        .unwrap()
        .retain(|field, _| ANNOUNCEMENT_FIELDS.contains(&field.as_str()));
    announcement["is_leaving"] = json!(true);
    let answer = post(operators, "/announce", &[], &announcement).unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
}

fn received_requests(fleet: &Fleet) -> u64 {
    let stats: Value =
        serde_json::from_str(&get(fleet.upstreams[0].address, "/stats").unwrap()).unwrap();
    stats["taken"].as_u64().unwrap()
}

/// Starts a caller for each instance that sends requests until `is_stopped` is set. Each thread
/// returns the number of answered requests.
fn start_callers(
    fleet: &Fleet,
    is_stopped: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<usize>> {
    let addresses = fleet.instances.iter().map(|instance| instance.addresses.callers);
    addresses
        .map(|address| {
            let is_stopped = is_stopped.clone();
            std::thread::spawn(move || {
                let mut answered = 0;
                while !is_stopped.load(Ordering::Relaxed) {
                    let text = format!("call {answered} through {address}");
                    if post(address, CHAT_PATH, &[], &chat(&text, 4, true)).unwrap().status == 200 {
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
#[test_case("partitioned link", |fleet| {
    fleet.link(0, 1).change(|faults| faults.is_cut = true);
}; "partitioned_link")]
fn a_leaving_upstream_receives_no_new_requests(fault: &str, inject_fault: fn(&Fleet)) {
    let fleet = start_fleet();
    let is_stopped = Arc::new(AtomicBool::new(false));
    let callers = start_callers(&fleet, &is_stopped);
    wait_for("requests at the upstream", || (received_requests(&fleet) > 20).then_some(()));
    inject_fault(&fleet);
    announce_leave(&fleet, 0);
    std::thread::sleep(LEAVE_LIMIT);
    let received_at_limit = received_requests(&fleet);
    std::thread::sleep(LEAVE_LIMIT);
    let received_later = received_requests(&fleet);
    is_stopped.store(true, Ordering::Relaxed);
    let answered: usize = callers.into_iter().map(|caller| caller.join().unwrap()).sum();
    println!(
        "{fault}: {answered} requests answered, {} received after the limit",
        received_later - received_at_limit
    );
    assert_eq!(received_later, received_at_limit, "{fault}: new requests at the leaving upstream");
    assert!(answered > 50, "{answered}");
}
