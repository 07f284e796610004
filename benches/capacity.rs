//! Measures the costs of an instance at several fleet sizes: control traffic, CPU time and memory.
//!
//! `cargo bench --bench capacity` starts fleets of processes on loopback, one size after the other,
//! and prints the results of each. docs/CAPACITY.md is based on the slopes between the sizes.

#![allow(clippy::unwrap_used, clippy::panic, missing_docs)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use support::{Fleet, Plan, chat, get, post, streamed_text};

/// Time for which a fleet settles before it is measured; `CAPACITY_SETTLE` overrides it, in seconds.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Duration of the measurement of a size.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);

/// Number of words in a response under load.
const WORDS_PER_RESPONSE: usize = 30;

/// Clock ticks per second, the unit of CPU time in /proc.
const TICKS_PER_SECOND: f64 = 100.0;

/// Fleet size to measure.
#[derive(Clone, Copy)]
struct Size {
    instances: usize,
    upstreams: usize,
    callers: usize,
}

const SIZES: [Size; 8] = [
    Size { instances: 6, upstreams: 10, callers: 0 },
    Size { instances: 12, upstreams: 10, callers: 0 },
    Size { instances: 24, upstreams: 10, callers: 0 },
    Size { instances: 48, upstreams: 10, callers: 0 },
    Size { instances: 6, upstreams: 60, callers: 0 },
    Size { instances: 6, upstreams: 240, callers: 0 },
    Size { instances: 6, upstreams: 60, callers: 6 },
    Size { instances: 6, upstreams: 60, callers: 24 },
];

/// Counters of an instance at one time.
#[derive(Default, Clone)]
struct Sample {
    bytes_by_slice: Vec<(String, f64)>,
    cpu_seconds: f64,
    resident_kibibytes: f64,
}

impl Sample {
    fn total_bytes(&self) -> f64 {
        self.bytes_by_slice.iter().map(|(_, bytes)| bytes).sum()
    }
}

/// Reads the counters of an instance from its metrics and from /proc.
fn sample_instance(fleet: &Fleet, index: usize) -> Sample {
    let instance = &fleet.instances[index];
    let metrics = get(instance.addresses.operators, "/metrics").unwrap();
    let bytes_by_slice = metrics
        .lines()
        .filter_map(|line| {
            let label_and_value = line.strip_prefix("turmericrelay_peer_bytes_total{slice=\"")?;
            let (slice, value) = label_and_value.split_once("\"} ")?;
            Some((slice.to_string(), value.parse().ok()?))
        })
        .collect();
    let process_id = instance.process.id();
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap();
    let resident_line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    Sample {
        bytes_by_slice,
        cpu_seconds: ticks / TICKS_PER_SECOND,
        resident_kibibytes: resident_line.split_whitespace().nth(1).unwrap().parse().unwrap(),
    }
}

fn sample_fleet(fleet: &Fleet) -> Vec<Sample> {
    (0..fleet.instances.len()).map(|index| sample_instance(fleet, index)).collect()
}

/// Starts a fleet whose engines send no load reports.
fn start_fleet(size: Size) -> Fleet {
    let data_centres = vec!["giza"; size.instances];
    let mut fleet = Fleet::start_plan(Plan::new(&data_centres).with_voters(3));
    let count = size.upstreams.to_string();
    let flags = [
        "--model",
        "caption-small",
        "--count",
        &count,
        "--expires-in",
        "10s",
        "--report-every",
        "0ms",
        "--slots",
        "4",
    ];
    fleet.add_upstreams("engine", "giza", &flags, size.upstreams);
    fleet
}

/// Starts callers, each of which sends one request after another until the returned flag is set.
///
/// The returned counter counts the complete responses.
fn start_callers(fleet: &Fleet, callers: usize) -> (Arc<AtomicBool>, Arc<AtomicU64>) {
    let is_stopped = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU64::new(0));
    for caller in 0..callers {
        let address = fleet.instances[caller % fleet.instances.len()].addresses.callers;
        let (is_stopped, answered) = (is_stopped.clone(), answered.clone());
        std::thread::spawn(move || {
            let mut turn = 0;
            while !is_stopped.load(Ordering::Relaxed) {
                turn += 1;
                let text = format!("caller {caller} turn {turn}");
                let body = chat(&text, WORDS_PER_RESPONSE, true);
                let response = post(address, "/v1/chat/completions", &[], &body);
                if response.is_ok_and(|response| streamed_text(&response.body).is_some()) {
                    answered.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    (is_stopped, answered)
}

fn settle_time() -> Duration {
    std::env::var("CAPACITY_SETTLE")
        .map_or(SETTLE_TIME, |seconds| Duration::from_secs(seconds.parse().unwrap()))
}

fn measure_size(size: Size) {
    let fleet = start_fleet(size);
    let (is_stopped, answered) = start_callers(&fleet, size.callers);
    std::thread::sleep(settle_time());
    let answered_before = answered.load(Ordering::Relaxed);
    let before = sample_fleet(&fleet);
    std::thread::sleep(MEASUREMENT_TIME);
    let after = sample_fleet(&fleet);
    let answered = answered.load(Ordering::Relaxed) - answered_before;
    is_stopped.store(true, Ordering::Relaxed);
    print_rates(size, &before, &after, answered);
}

fn print_rates(size: Size, before: &[Sample], after: &[Sample], answered: u64) {
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    let instance_count = before.len() as f64;
    let rate = |value: fn(&Sample) -> f64| -> Vec<f64> {
        before.iter().zip(after).map(|(old, new)| (value(new) - value(old)) / seconds).collect()
    };
    let mean = |values: &[f64]| values.iter().sum::<f64>() / instance_count;
    let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let byte_rates = rate(Sample::total_bytes);
    let cpu_percent: Vec<f64> =
        rate(|sample| sample.cpu_seconds).iter().map(|share| share * 100.0).collect();
    let resident_mebibytes: Vec<f64> =
        after.iter().map(|sample| sample.resident_kibibytes / 1024.0).collect();
    println!(
        "instances {:3} upstreams {:3} answers/s {:6.1} | control B/s/instance mean {:8.1} max \
         {:8.1} | core % mean {:5.2} max {:5.2} | MiB mean {:5.1} max {:5.1}",
        size.instances,
        size.upstreams,
        answered as f64 / seconds,
        mean(&byte_rates),
        max(&byte_rates),
        mean(&cpu_percent),
        max(&cpu_percent),
        mean(&resident_mebibytes),
        max(&resident_mebibytes),
    );
    print_slices(before, after, seconds * instance_count);
}

fn print_slices(before: &[Sample], after: &[Sample], instance_seconds: f64) {
    let mut line = String::new();
    for (index, (slice, _)) in after[0].bytes_by_slice.iter().enumerate() {
        let sum = |samples: &[Sample]| -> f64 {
            samples.iter().map(|sample| sample.bytes_by_slice[index].1).sum()
        };
        line.push_str(&format!(" {slice} {:.1}", (sum(after) - sum(before)) / instance_seconds));
    }
    println!("    B/s/instance by slice:{line}");
}

/// Returns the sizes given as arguments `INSTANCES,UPSTREAMS,CALLERS`, or all sizes without any.
fn requested_sizes() -> Vec<Size> {
    let requested: Vec<Size> = std::env::args()
        .skip(1)
        .filter_map(|argument| {
            let numbers: Vec<usize> =
                argument.split(',').map(|number| number.parse().ok()).collect::<Option<_>>()?;
            let [instances, upstreams, callers] = numbers[..] else {
                return None;
            };
            Some(Size { instances, upstreams, callers })
        })
        .collect();
    if requested.is_empty() { SIZES.to_vec() } else { requested }
}

fn main() {
    for size in requested_sizes() {
        measure_size(size);
    }
}
