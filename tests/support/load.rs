//! Generates steady load, and checks the load bound against the engines' own counts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{Fleet, chat, expected_answer, get, post, streamed_text};

/// Path of chat completions.
pub const CHAT: &str = "/v1/chat/completions";

/// Number of concurrent callers of a pool of engines.
pub const CALLERS: usize = 24;

/// How a streamed answer of constant duration is divided into words; more words need more CPU time.
#[derive(Clone, Copy)]
pub struct Pace {
    pub words: usize,
    pub interval: &'static str,
}

/// Answers of 400 ms with one word every 10 ms.
pub const SHORT_WORD_INTERVAL: Pace = Pace { words: 40, interval: "10ms" };

/// Answers of 400 ms with one word every 40 ms.
pub const LONG_WORD_INTERVAL: Pace = Pace { words: 10, interval: "40ms" };

/// Starts an engine with more slots than the load bound allows requests, so that the engine itself
/// does not limit its load.
pub fn add_engine(fleet: &mut Fleet, name: &str, data_centre: &str, pace: Pace) {
    let flags = ["--model", "caption-small", "--slots", "16", "--word-interval", pace.interval];
    fleet.add_upstream(name, data_centre, &flags);
}

/// Returns the index of the instance that owns an upstream.
pub fn owner(fleet: &Fleet, upstream: &str) -> usize {
    let listed = get(fleet.instances[0].addresses.operators, "/upstreams").unwrap();
    let listed: Vec<Value> = serde_json::from_str(&listed).unwrap();
    let entry = listed.iter().find(|entry| entry["upstream"] == upstream).unwrap();
    let is_owner = |instance: &super::Instance| entry["owner"] == *instance.addresses.name;
    fleet.instances.iter().position(is_owner).unwrap()
}

/// Closed-loop callers: each has one request in flight at any time and uses the instances in turn.
pub struct Callers {
    is_stopped: Arc<AtomicBool>,
    pub answered: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<usize>>,
}

impl Callers {
    pub fn start(instances: &[SocketAddr], pace: Pace) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let threads = (0..CALLERS).map(|index| {
            let (is_stopped, answered) = (is_stopped.clone(), answered.clone());
            let instances = instances.to_vec();
            std::thread::spawn(move || run(index, &instances, pace.words, &is_stopped, &answered))
        });
        let threads = threads.collect();
        Self { is_stopped, answered, threads }
    }

    /// Stops the callers; returns the number of requests that were answered and the number of those
    /// whose answer was cut or wrong.
    pub fn stop(self) -> (usize, usize) {
        self.is_stopped.store(true, Ordering::Relaxed);
        let cut_calls = self.threads.into_iter().map(|thread| thread.join().unwrap()).sum();
        (self.answered.load(Ordering::Relaxed), cut_calls)
    }
}

/// Sends requests until `is_stopped`; returns the number of those whose answer was cut or wrong.
/// Requests that were not executed and refused connections count as neither.
fn run(
    index: usize,
    instances: &[SocketAddr],
    words: usize,
    is_stopped: &AtomicBool,
    answered: &AtomicUsize,
) -> usize {
    let mut cut_calls = 0;
    for turn in 0.. {
        if is_stopped.load(Ordering::Relaxed) {
            break;
        }
        let address = instances[(index + turn) % instances.len()];
        let text = format!("conversation {index}");
        let answer = post(address, CHAT, &[], &chat(&text, words, true));
        match answer {
            Ok(answer) if streamed_text(&answer.body) == Some(expected_answer(&text, words)) => {
                answered.fetch_add(1, Ordering::Relaxed);
            }
            Ok(answer) if answer.verdict.as_deref() == Some("not-run") => {}
            Err(error) if error.contains("refused") => {}
            interrupted => {
                println!("interrupted at {address}: {interrupted:?}");
                cut_calls += 1;
            }
        }
    }
    cut_calls
}

/// Returns the number of running and waiting requests of each engine that answers, by its own
/// count.
fn engine_loads(engines: &[SocketAddr]) -> Vec<u64> {
    let load = |engine: &SocketAddr| {
        let stats: Value = serde_json::from_str(&get(*engine, "/stats").ok()?).ok()?;
        Some(stats["running"].as_u64()? + stats["waiting"].as_u64()?)
    };
    engines.iter().filter_map(load).collect()
}

/// A pool of engines that shares the load of [`CALLERS`] callers.
pub struct Pool<'a> {
    pub engines: &'a [SocketAddr],
    /// Number of engines that share the load throughout.
    pub serving: usize,
}

/// Samples the engines' loads for `span` and panics if one exceeds the load bound. The bound is 125
/// % of the mean load of the `serving` engines, which is constant because each caller has one
/// request in flight. Returns the number of samples and the highest load.
pub fn check_bound(engines: &[SocketAddr], serving: usize, span: Duration) -> (usize, u64) {
    check_bounds(&[Pool { engines, serving }], span)
}

/// Checks the load bound as [`check_bound`] does, for several pools at once, each with its own
/// callers.
pub fn check_bounds(pools: &[Pool<'_>], span: Duration) -> (usize, u64) {
    let (mut samples, mut highest) = (0, 0);
    let end = Instant::now() + span;
    while Instant::now() < end {
        for Pool { engines, serving } in pools {
            let limit = (1.25 * CALLERS as f64 / *serving as f64).ceil() as u64;
            let loads = engine_loads(engines);
            let highest_load = loads.iter().copied().max().unwrap_or(0);
            let remaining = end.saturating_duration_since(Instant::now());
            assert!(
                highest_load <= limit,
                "an engine of {loads:?} exceeds the load bound of {limit}, {remaining:?} before \
                 the end of {span:?}"
            );
            highest = highest.max(highest_load);
        }
        samples += 1;
        std::thread::sleep(Duration::from_millis(10));
    }
    (samples, highest)
}
