//! A randomised run that mixes faults and checks at once what must always hold.
//!
//! `FAULT_SEEDS=1..21 FAULT_SECONDS=30 cargo test --test faults -- --nocapture` runs further seeds
//! for longer; CI runs one short seed.

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

use bookings::{Record, book};
use callers::Callers;
use chats::{Counts, chat_on};
use injector::Injector;
use operators::Operators;
use support::{Fleet, chat, declaring, expected_answer, post, streamed_text, wait_for};

const DATA_CENTRES: [&str; 6] = ["giza", "giza", "maadi", "maadi", "dokki", "dokki"];
const DEFAULT_SECONDS: u64 = 12;
const CHAT_CALLERS: usize = 6;
const BOOKING_CALLERS: usize = 4;

fn fleet() -> Fleet {
    let mut fleet = Fleet::start_plan(declaring(&DATA_CENTRES).with_voters(5).with_proxies());
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

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("FAULT_SEEDS") else {
        return 1..2;
    };
    let Some((from, to)) = text.split_once("..") else {
        panic!("FAULT_SEEDS \"{text}\" is not FROM..TO");
    };
    from.parse().unwrap()..to.parse().unwrap()
}

fn duration() -> Duration {
    let seconds = std::env::var("FAULT_SECONDS").map_or(DEFAULT_SECONDS, |s| s.parse().unwrap());
    Duration::from_secs(seconds)
}

fn callers_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.instances.iter().map(|instance| instance.addresses.callers).collect()
}

fn operators_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.instances.iter().map(|instance| instance.addresses.operators).collect()
}

fn run(seed: u64) {
    println!("seed {seed}");
    let mut fleet = fleet();
    let addresses = callers_addresses(&fleet);
    let stopped = Arc::new(AtomicBool::new(false));
    let chats = Callers::start(&addresses, CHAT_CALLERS, seed, &stopped, chat_on);
    let bookings = Callers::start(&addresses, BOOKING_CALLERS, seed, &stopped, book);
    let operators = Operators::start(&operators_addresses(&fleet), seed, &stopped);
    Injector::new(seed, &mut fleet).run(duration());
    stopped.store(true, Ordering::Relaxed);
    let chats = Counts::sum(chats.join());
    let bookings = Record::of(bookings.join());
    let revisions = operators.join_and_check(seed);
    println!("revisions {revisions}");
    println!("chats {chats:?}");
    println!("bookings {:?}", bookings.counts());
    assert_eq!(chats.wrong, 0, "seed {seed}: an answer was not the engine's");
    assert!(chats.whole > 0, "seed {seed}: no chat was answered");
    bookings.check_against(&fleet, seed);
    serves_again(&addresses, seed);
}

/// Every instance serves chats once the faults are over.
fn serves_again(addresses: &[SocketAddr], seed: u64) {
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
fn what_must_hold_holds_while_faults_come_together() {
    for seed in seeds() {
        run(seed);
    }
}
