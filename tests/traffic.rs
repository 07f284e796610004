//! Test of the control traffic per instance in data centres of several sizes.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use support::{Fleet, chat, get, post};

/// Kinds of control traffic, as the metrics label them.
const SLICES: [&str; 4] = ["membership", "upstream", "permit", "load"];

/// Maximum idle control traffic of an instance in bytes per second. It stays below the 5 KB/s that
/// all control traffic may take.
const MAX_IDLE_BYTES_PER_SECOND: u64 = 2048;

/// Returns the data centre sizes to measure. They come from the environment variable `SIZES`, such
/// as `6,12,24`; without it, as in CI, the only size is 6.
fn sizes() -> Vec<usize> {
    let sizes = std::env::var("SIZES").unwrap_or_else(|_| "6".to_string());
    sizes.split(',').map(|size| size.parse().unwrap()).collect()
}

/// Returns the bytes of one kind that all instances have sent.
fn sent_bytes(fleet: &Fleet, slice: &str) -> u64 {
    let prefix = format!("turmericrelay_peer_bytes_total{{slice=\"{slice}\"}} ");
    let count = |text: String| {
        let line = text.lines().find_map(|line| line.strip_prefix(&prefix)?.parse::<u64>().ok());
        line.unwrap()
    };
    let instances = fleet.instances.iter();
    instances.map(|instance| count(get(instance.addresses.operators, "/metrics").unwrap())).sum()
}

/// Measures the bytes per second and instance of each slice over `span`.
fn measure(fleet: &Fleet, span: Duration) -> Vec<u64> {
    let before: Vec<_> = SLICES.iter().map(|slice| sent_bytes(fleet, slice)).collect();
    let start = Instant::now();
    std::thread::sleep(span);
    let after: Vec<_> = SLICES.iter().map(|slice| sent_bytes(fleet, slice)).collect();
    let seconds = start.elapsed().as_secs_f64() * fleet.instances.len() as f64;
    let rate = |(before, after): (&u64, &u64)| ((after - before) as f64 / seconds) as u64;
    before.iter().zip(&after).map(rate).collect()
}

#[test]
fn idle_control_traffic_stays_below_its_limit() {
    for size in sizes() {
        let mut fleet = Fleet::start(&vec!["giza"; size]);
        for index in 0..size / 2 {
            let flags = ["--model", "caption-small", "--slots", "16"];
            fleet.add_upstream(&format!("engine-{index}"), "giza", &flags);
        }
        std::thread::sleep(Duration::from_secs(15));
        let idle_rates = measure(&fleet, Duration::from_secs(10));
        let is_stopped = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..size * 2)
            .map(|caller| {
                let address = fleet.instances[caller % size].addresses.callers;
                let is_stopped = is_stopped.clone();
                std::thread::spawn(move || {
                    let mut calls = 0;
                    while !is_stopped.load(Ordering::Relaxed) {
                        let text = format!("conversation {caller}");
                        post(address, "/v1/chat/completions", &[], &chat(&text, 50, true)).unwrap();
                        calls += 1;
                    }
                    calls
                })
            })
            .collect();
        let loaded_rates = measure(&fleet, Duration::from_secs(10));
        is_stopped.store(true, Ordering::Relaxed);
        let calls: usize = callers.into_iter().map(|caller| caller.join().unwrap()).sum();
        println!("{size} instances, bytes per second and instance of {SLICES:?}:");
        println!("  idle {idle_rates:?}; with {calls} calls {loaded_rates:?}");
        let total: u64 = idle_rates.iter().sum();
        assert!(total < MAX_IDLE_BYTES_PER_SECOND, "{size} instances: {idle_rates:?}");
    }
}
