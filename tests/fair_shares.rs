//! Tests that a client account that floods a plain service leaves room for a small one.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::json;
use support::machines::{KEY, Machine, Machines, document};
use support::wait_for;
use support::worker::{Behaviour, Worker, send_request};
use test_case::test_case;

/// Number of entry instances, enough for load trackers.
const LARGE_FLEET: u8 = 18;

/// Number of entry instances that use no load trackers.
const SMALL_FLEET: u8 = 3;

const FLOOD_KEY: &str = "key-of-the-crowd";

/// Callers of the flood. The two upstreams of the large fleet have 24 places together.
const FLOOD_CALLERS: usize = 60;

const SMALL_CALLS: usize = 20;

/// Time after which a refused caller asks again.
const RETRY_TIME: Duration = Duration::from_millis(100);

fn is_served(address: SocketAddr, key: &str, id: &str) -> bool {
    let key = format!("Token {key}");
    let headers =
        [("Request-Id", id), ("Authorization", key.as_str()), ("Deadline-Remaining", "5000")];
    let answer = send_request(address, "POST", "/bookings/1", &headers, "the body");
    answer.is_ok_and(|answer| answer.status == 200)
}

struct Deployment {
    machines: Machines,
    _shops: Vec<Worker>,
}

impl Deployment {
    fn start(entries: u8, has_shares: bool) -> Self {
        let machines = Machines::start_with_setup(3, entries, |machine| {
            if has_shares {
                machine.extra_settings = "  fair_shares: true\n".to_string();
            }
        });
        let start = |number| {
            let shop = Worker::start(&format!("i-shop-{number}"), "shop", machines.seeds());
            shop.set_behaviour(Behaviour::Slow);
            shop
        };
        let shop_count = if entries == SMALL_FLEET { 1 } else { 2 };
        let shops = (0..shop_count).map(start).collect();
        let mut document = document(7);
        if entries == SMALL_FLEET {
            // Each instance has four places, which may become free at the same time every 500 ms. A
            // request may wait for 600 ms.
            document["services"][1]["connection-limit"] = json!(16);
            document["routes"][2]["objective-ms"] = json!(4800);
        }
        let tenants = document["tenants"].as_array_mut().unwrap();
        tenants.push(json!({ "name": "crowd", "api-keys": [FLOOD_KEY] }));
        machines.put_document_until_acknowledged(&document);
        machines.wait_ready(7);
        for machine in &machines.entries {
            wait_for("the upstreams at an instance", || {
                (machine.events("upstream").len() >= shop_count).then_some(())
            });
            wait_for("membership of all instances", || {
                let metrics = send_request(machine.metrics(), "GET", "/metrics", &[], "").ok()?;
                let members = format!("turmericrelay_members {}\n", entries + 3);
                metrics.text().contains(&members).then_some(())
            });
        }
        Self { machines, _shops: shops }
    }

    fn callers(&self) -> Vec<SocketAddr> {
        self.machines.entries.iter().map(Machine::callers).collect()
    }

    /// Returns the sum of a counter of all entry instances.
    fn sum(&self, name: &str) -> u64 {
        let value = |machine: &Machine| -> Option<u64> {
            let metrics = send_request(machine.metrics(), "GET", "/metrics", &[], "").ok()?;
            let prefix = format!("{name} ");
            metrics.text().lines().find_map(|line| line.strip_prefix(&prefix)?.parse().ok())
        };
        self.machines.entries.iter().map(|machine| value(machine).unwrap()).sum()
    }

    /// Returns how many of [`SMALL_CALLS`] requests of a small account are served.
    fn count_served(&self) -> usize {
        let entries = self.callers();
        let mut served = 0;
        for call in 0..SMALL_CALLS {
            let entry = entries[call % entries.len()];
            match is_served(entry, KEY, &format!("small-{call}")) {
                true => served += 1,
                false => std::thread::sleep(RETRY_TIME),
            }
        }
        served
    }
}

/// Callers of one account that send one request after the other until this is dropped.
struct Flood {
    is_stopped: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    fn start(entries: &[SocketAddr]) -> Self {
        let (is_stopped, served) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let caller = |caller: usize| {
            let (entries, is_stopped) = (entries.to_vec(), is_stopped.clone());
            let served: Arc<AtomicUsize> = Arc::clone(&served);
            std::thread::spawn(move || {
                for number in 0.. {
                    if is_stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    let entry = entries[(caller * 7 + number) % entries.len()];
                    match is_served(entry, FLOOD_KEY, &format!("flood-{caller}-{number}")) {
                        true => drop(served.fetch_add(1, Ordering::Relaxed)),
                        false => std::thread::sleep(RETRY_TIME),
                    }
                }
            })
        };
        let threads = (0..FLOOD_CALLERS).map(caller).collect();
        Self { is_stopped, served, threads }
    }

    /// Waits until the upstreams are full.
    fn wait_full(&self) {
        wait_for("requests of the flood", || {
            (self.served.load(Ordering::Relaxed) >= 60).then_some(())
        });
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Guards against an account that takes all places of a service in a large fleet, so that the requests
/// of a small one are refused.
#[test]
fn a_small_account_is_served_while_another_one_floods_a_large_fleet() {
    let deployment = Deployment::start(LARGE_FLEET, true);
    let flood = Flood::start(&deployment.callers());
    flood.wait_full();
    let served_before = flood.served.load(Ordering::Relaxed);
    let served = deployment.count_served();
    let of_flood = flood.served.load(Ordering::Relaxed) - served_before;
    let over_share = deployment.sum("turmericrelay_over_share_total");
    println!("{served} of {SMALL_CALLS} small, {of_flood} of the flood, {over_share} over share");
    assert!(served >= SMALL_CALLS * 3 / 4, "{served} of {SMALL_CALLS} requests were served");
    assert!(of_flood > SMALL_CALLS, "{of_flood} requests of the flood were served");
    assert!(over_share > 0);
    let entries = deployment.machines.entries.iter();
    let lines: Vec<_> = entries.flat_map(|machine| machine.events("over-share")).collect();
    let line = lines.first().unwrap();
    assert_eq!((&line["account"], &line["service"]), (&json!("crowd"), &json!("shop")));
    assert!(line["requests"].as_u64() > Some(8), "{line}");
    assert!(line["of_account"].as_u64() > Some(6), "{line}");
    assert!(line["accounts"].as_u64() >= Some(2), "{line}");
}

/// Guards against an account whose requests fill the queues of a small fleet, so that those of a small
/// one expire there; and against callers that wait in vain, or return at the same time.
#[test]
fn a_small_account_is_served_while_another_one_floods_a_small_fleet() {
    let deployment = Deployment::start(SMALL_FLEET, true);
    let flood = Flood::start(&deployment.callers());
    flood.wait_full();
    let served_before = flood.served.load(Ordering::Relaxed);
    let served = deployment.count_served();
    let of_flood = flood.served.load(Ordering::Relaxed) - served_before;
    let at_once = deployment.sum("turmericrelay_refused_at_once_total");
    println!("{served} of {SMALL_CALLS} small, {of_flood} of the flood, {at_once} refused at once");
    assert!(served >= SMALL_CALLS * 3 / 4, "{served} of {SMALL_CALLS} requests were served");
    assert!(of_flood > SMALL_CALLS, "{of_flood} requests of the flood were served");
    assert!(at_once > 0);
    let entries = deployment.machines.entries.iter();
    let refused: Vec<_> = entries.flat_map(|machine| machine.events("refused")).collect();
    let mut waits: Vec<u64> = Vec::new();
    for line in refused.iter().filter(|line| line["after_ms"] == 0) {
        let [wait, left] = ["retry_after_ms", "left_ms"].map(|name| line[name].as_u64().unwrap());
        assert_eq!((&line["status"], &line["verdict"]), (&json!(503), &json!("not-run")));
        assert!(wait <= left / 3 + 1, "{line}");
        waits.push(wait);
    }
    let spread = waits.iter().max().unwrap() - waits.iter().min().unwrap();
    assert!(waits.len() < 5 || spread > 100, "callers return at the same time: {waits:?}");
}

/// Guards against shares where the settings do not ask for them.
#[test_case(LARGE_FLEET; "large fleet")]
#[test_case(SMALL_FLEET; "small fleet")]
fn without_the_setting_no_account_has_a_share(entries: u8) {
    let deployment = Deployment::start(entries, false);
    let flood = Flood::start(&deployment.callers());
    flood.wait_full();
    let served = deployment.count_served();
    println!("{served} of {SMALL_CALLS} small without shares");
    assert_eq!(deployment.sum("turmericrelay_over_share_total"), 0);
    assert_eq!(deployment.sum("turmericrelay_refused_at_once_total"), 0);
    let mut entries = deployment.machines.entries.iter();
    assert!(entries.all(|machine| machine.events("over-share").is_empty()));
}
