//! Randomised test that injects simultaneous faults into a fleet while callers and operators check
//! its guarantees.
//!
//! CI runs one short seed. To run further seeds for longer:
//! `FAULT_SEEDS=1..21 FAULT_SECONDS=30 cargo test --test faults -- --nocapture`

#![allow(clippy::unwrap_used, clippy::panic)]

mod bookings;
mod callers;
mod chats;
mod injector;
mod operators;
#[path = "../support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bookings::{BookingRecord, run_bookings};
use callers::Callers;
use chats::{Counts, run_chats};
use injector::Injector;
use operators::Operators;
use support::{Fleet, chat, expected_answer, plan_with_operators, post, streamed_text, wait_for};

const DATA_CENTRES: [&str; 6] = ["giza", "giza", "maadi", "maadi", "dokki", "dokki"];

/// Duration of fault injection per seed, unless `FAULT_SECONDS` is set.
const DEFAULT_SECONDS: u64 = 12;

const CHAT_CALLERS: usize = 6;
const BOOKING_CALLERS: usize = 4;

/// Starts two instances, two engines and a booking service in each of three data centres.
fn start_fleet() -> Fleet {
    let mut fleet =
        Fleet::start_plan(plan_with_operators(&DATA_CENTRES).with_voters(5).with_proxies());
    for data_centre in ["giza", "maadi", "dokki"] {
        for number in 1..=2 {
            let name = format!("engine-{data_centre}-{number}");
            fleet.add_upstream(&name, data_centre, &["--model", "caption-small"]);
        }
        let journal = fleet.journal().display().to_string();
        let flags = ["--label", "app=shop", "--journal", &journal];
        fleet.add_upstream(&format!("shop-{data_centre}"), data_centre, &flags);
    }
    fleet
}

/// Returns the seeds that `FAULT_SEEDS` selects, or seed 1.
fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("FAULT_SEEDS") else {
        return 1..2;
    };
    let Some((from, to)) = text.split_once("..") else {
        panic!("FAULT_SEEDS \"{text}\" is not a range of the form FROM..TO");
    };
    from.parse().unwrap()..to.parse().unwrap()
}

fn duration() -> Duration {
    let seconds =
        std::env::var("FAULT_SECONDS").map_or(DEFAULT_SECONDS, |text| text.parse().unwrap());
    Duration::from_secs(seconds)
}

fn caller_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.instances.iter().map(|instance| instance.addresses.callers).collect()
}

fn operator_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.instances.iter().map(|instance| instance.addresses.operators).collect()
}

fn run_seed(seed: u64) {
    println!("seed {seed}");
    let mut fleet = start_fleet();
    let addresses = caller_addresses(&fleet);
    let is_stopped = Arc::new(AtomicBool::new(false));
    let chats = Callers::start(&addresses, CHAT_CALLERS, seed, &is_stopped, run_chats);
    let bookings = Callers::start(&addresses, BOOKING_CALLERS, seed, &is_stopped, run_bookings);
    let operators = Operators::start(&operator_addresses(&fleet), seed, &is_stopped);
    Injector::new(seed, &mut fleet).run(duration());
    is_stopped.store(true, Ordering::Relaxed);
    let chats = Counts::sum(chats.join());
    let bookings = BookingRecord::merge(bookings.join());
    let revisions = operators.join_and_check(seed);
    println!("revisions {revisions}");
    println!("chats {chats:?}");
    println!("bookings {:?}", bookings.counts());
    assert_eq!(chats.wrong, 0, "seed {seed}: an answer differs from the engine's");
    assert!(chats.whole > 0, "seed {seed}: no chat was answered");
    bookings.check_against(&fleet, seed);
    check_recovery(&addresses, seed);
}

/// Waits until every instance serves chats after the faults are undone.
fn check_recovery(addresses: &[SocketAddr], seed: u64) {
    for address in addresses {
        wait_for(&format!("seed {seed}: a chat through {address} after the faults"), || {
            let body = chat("after the faults", 4, true);
            let answer = post(*address, "/v1/chat/completions", &[], &body).ok()?;
            let text = streamed_text(&answer.body)?;
            (text == expected_answer("after the faults", 4)).then_some(())
        });
    }
}

#[test]
fn simultaneous_faults_break_no_guarantee() {
    for seed in seeds() {
        run_seed(seed);
    }
}
