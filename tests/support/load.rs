//! Steady load, and the load bound from the engines' own view.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{Fleet, chat, expected_answer, get, post, streamed_text};

/// Path of chats.
pub const CHAT: &str = "/v1/chat/completions";

/// Callers of a pool of engines.
pub const CALLERS: usize = 24;

/// How a call of a steady length is divided into words; many words cost more of the machine.
#[derive(Clone, Copy)]
pub struct Pace {
    pub words: usize,
    pub interval: &'static str,
}

/// Calls of 400 ms with a word each 10 ms.
pub const FINE: Pace = Pace { words: 40, interval: "10ms" };

/// Calls of 400 ms with a word each 40 ms.
pub const COARSE: Pace = Pace { words: 10, interval: "40ms" };

/// Starts an engine that works on more requests than the bound allows.
pub fn add_engine(fleet: &mut Fleet, name: &str, data_centre: &str, pace: Pace) {
    let flags = ["--model", "caption-small", "--slots", "16", "--word-interval", pace.interval];
    fleet.add_upstream(name, data_centre, &flags);
}

/// The instance that owns an upstream.
pub fn owner(fleet: &Fleet, upstream: &str) -> usize {
    let listed = get(fleet.instances[0].addresses.operators, "/upstreams").unwrap();
    let listed: Vec<Value> = serde_json::from_str(&listed).unwrap();
    let entry = listed.iter().find(|entry| entry["upstream"] == upstream).unwrap();
    let is_owner = |instance: &super::Instance| entry["owner"] == *instance.addresses.name;
    fleet.instances.iter().position(is_owner).unwrap()
}

/// Callers that always have one call under way, each through one instance after another.
pub struct Callers {
    stopped: Arc<AtomicBool>,
    pub answered: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<usize>>,
}

impl Callers {
    pub fn start(instances: &[SocketAddr], pace: Pace) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let threads = (0..CALLERS).map(|caller| {
            let (stopped, answered) = (stopped.clone(), answered.clone());
            let instances = instances.to_vec();
            std::thread::spawn(move || call(caller, &instances, pace.words, &stopped, &answered))
        });
        let threads = threads.collect();
        Self { stopped, answered, threads }
    }

    /// Ends the callers; gives the number of answered calls and of those that were cut.
    pub fn stop(self) -> (usize, usize) {
        self.stopped.store(true, Ordering::Relaxed);
        let cut = self.threads.into_iter().map(|thread| thread.join().unwrap()).sum();
        (self.answered.load(Ordering::Relaxed), cut)
    }
}

fn call(
    caller: usize,
    instances: &[SocketAddr],
    words: usize,
    stopped: &AtomicBool,
    answered: &AtomicUsize,
) -> usize {
    let mut cut = 0;
    for turn in 0.. {
        if stopped.load(Ordering::Relaxed) {
            break;
        }
        let address = instances[(caller + turn) % instances.len()];
        let text = format!("conversation {caller}");
        let answer = post(address, CHAT, &[], &chat(&text, words, true));
        match answer {
            Ok(answer) if streamed_text(&answer.body) == Some(expected_answer(&text, words)) => {
                answered.fetch_add(1, Ordering::Relaxed);
            }
            Ok(answer) if answer.verdict.as_deref() == Some("not-run") => {}
            Err(error) if error.contains("refused") => {}
            _ => cut += 1,
        }
    }
    cut
}

/// Requests that the engines have, by their own count.
fn sample(engines: &[SocketAddr]) -> Vec<u64> {
    let load = |engine: &SocketAddr| {
        let stats: Value = serde_json::from_str(&get(*engine, "/stats").ok()?).ok()?;
        Some(stats["running"].as_u64()? + stats["waiting"].as_u64()?)
    };
    engines.iter().filter_map(load).collect()
}

/// Engines that share the load of [`CALLERS`] callers.
pub struct Pool<'a> {
    pub engines: &'a [SocketAddr],
    /// How many of them share the load all the time.
    pub serving: usize,
}

/// Samples for `span`; checks each against the bound over the callers' load, which is steady.
/// `serving` engines share the load. Gives the number of samples and the highest load.
pub fn check_bound(engines: &[SocketAddr], serving: usize, span: Duration) -> (usize, u64) {
    check_bounds(&[Pool { engines, serving }], span)
}

/// The same for several pools at once, each with its own callers.
pub fn check_bounds(pools: &[Pool<'_>], span: Duration) -> (usize, u64) {
    let (mut samples, mut highest) = (0, 0);
    let end = Instant::now() + span;
    while Instant::now() < end {
        for Pool { engines, serving } in pools {
            let limit = (1.25 * CALLERS as f64 / *serving as f64).ceil() as u64;
            let loads = sample(engines);
            let most = loads.iter().copied().max().unwrap_or(0);
            let left = end.saturating_duration_since(Instant::now());
            assert!(
                most <= limit,
                "an engine of {loads:?} carries more than {limit}, {left:?} before the end of \
                 {span:?}"
            );
            highest = highest.max(most);
        }
        samples += 1;
        std::thread::sleep(Duration::from_millis(10));
    }
    (samples, highest)
}
