//! Bytes that an instance spends on control, at several sizes of a data centre.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use support::{Fleet, chat, get, post};

const SLICES: [&str; 4] = ["membership", "upstream", "permit", "load"];

/// Most bytes a second and instance at rest, below the 5 KB that control may cost in all.
const MAX_RESTING: u64 = 2048;

/// Sizes to measure: `SIZES` from the environment, such as `6,12,24`; 6 in CI.
fn sizes() -> Vec<usize> {
    let sizes = std::env::var("SIZES").unwrap_or_else(|_| "6".to_string());
    sizes.split(',').map(|size| size.parse().unwrap()).collect()
}

fn sent(fleet: &Fleet, slice: &str) -> u64 {
    let prefix = format!("turmericrelay_peer_bytes_total{{slice=\"{slice}\"}} ");
    let of = |text: String| {
        let line = text.lines().find_map(|line| line.strip_prefix(&prefix)?.parse::<u64>().ok());
        line.unwrap()
    };
    let instances = fleet.instances.iter();
    instances.map(|one| of(get(one.addresses.operators, "/metrics").unwrap())).sum()
}

/// Bytes a second and instance of each slice over `span`.
fn measure(fleet: &Fleet, span: Duration) -> Vec<u64> {
    let before: Vec<_> = SLICES.iter().map(|slice| sent(fleet, slice)).collect();
    let start = Instant::now();
    std::thread::sleep(span);
    let after: Vec<_> = SLICES.iter().map(|slice| sent(fleet, slice)).collect();
    let seconds = start.elapsed().as_secs_f64() * fleet.instances.len() as f64;
    let rate = |(before, after): (&u64, &u64)| ((after - before) as f64 / seconds) as u64;
    before.iter().zip(&after).map(rate).collect()
}

#[test]
fn control_traffic_stays_small() {
    for size in sizes() {
        let mut fleet = Fleet::start(&vec!["giza"; size]);
        for index in 0..size / 2 {
            let flags = ["--model", "caption-small", "--slots", "16"];
            fleet.add_upstream(&format!("engine-{index}"), "giza", &flags);
        }
        std::thread::sleep(Duration::from_secs(15));
        let resting = measure(&fleet, Duration::from_secs(10));
        let stopped = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..size * 2)
            .map(|caller| {
                let address = fleet.instances[caller % size].addresses.callers;
                let stopped = stopped.clone();
                std::thread::spawn(move || {
                    let mut calls = 0;
                    while !stopped.load(Ordering::Relaxed) {
                        let text = format!("conversation {caller}");
                        post(address, "/v1/chat/completions", &[], &chat(&text, 50, true)).unwrap();
                        calls += 1;
                    }
                    calls
                })
            })
            .collect();
        let loaded = measure(&fleet, Duration::from_secs(10));
        stopped.store(true, Ordering::Relaxed);
        let calls: usize = callers.into_iter().map(|caller| caller.join().unwrap()).sum();
        println!("{size} instances, bytes a second and instance of {SLICES:?}:");
        println!("  at rest {resting:?}; with {calls} calls {loaded:?}");
        let total: u64 = resting.iter().sum();
        assert!(total < MAX_RESTING, "{size} instances: {resting:?}");
    }
}
