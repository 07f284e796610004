//! What stand-ins say of their load and cached context during a measurement.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::Error;

/// How often stand-ins are asked.
const PERIOD: Duration = Duration::from_millis(100);

/// How long a stand-in may take to answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Mean load, in requests, below which the skew says nothing.
const MIN_MEAN: f64 = 1.0;

/// The multiple of the mean that the load bound promises.
const BOUND: f64 = 1.25;

/// The part of a stand-in's counts that is used.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
struct Stats {
    running: u64,
    waiting: u64,
    cached_blocks: u64,
    computed_blocks: u64,
}

/// The load of all stand-ins at one time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Skew {
    /// Seconds from the start of the load.
    pub at: f64,
    /// Most requests at one stand-in.
    pub max: u64,
    /// Mean requests over the stand-ins that answered.
    pub mean: f64,
}

impl Skew {
    /// The most loaded relative to the mean; none while there is little load.
    pub fn ratio(&self) -> Option<f64> {
        (self.mean >= MIN_MEAN).then(|| self.max as f64 / self.mean)
    }

    /// Whether the most loaded is within the bound, rounded up to a whole request.
    pub fn is_within_bound(&self) -> bool {
        self.max as f64 <= (BOUND * self.mean).ceil()
    }
}

/// What was sampled over the measured time.
#[derive(Debug, Clone, Default)]
pub(crate) struct Samples {
    pub(crate) skews: Vec<Skew>,
    pub(crate) cached_blocks: u64,
    pub(crate) computed_blocks: u64,
}

/// Samples stand-ins on a thread of its own.
pub(crate) struct Sampler {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<Samples>,
}

struct Source {
    url: String,
    last: Option<Stats>,
}

impl Sampler {
    /// Samples from now on; what happens before `measured_from` is not counted.
    pub(crate) fn start(
        stand_ins: &[SocketAddr],
        started: Instant,
        measured_from: Instant,
    ) -> Result<Self, Error> {
        let stopped = Arc::new(AtomicBool::new(false));
        let sources: Vec<_> = stand_ins
            .iter()
            .map(|address| Source { url: format!("http://{address}/stats"), last: None })
            .collect();
        let flag = stopped.clone();
        let thread = std::thread::Builder::new()
            .spawn(move || sample(sources, started, measured_from, &flag))
            .map_err(Error::Thread)?;
        Ok(Self { stopped, thread })
    }

    pub(crate) fn stop(self) -> Samples {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

fn sample(
    mut sources: Vec<Source>,
    started: Instant,
    measured_from: Instant,
    stopped: &AtomicBool,
) -> Samples {
    let agent = Agent::config_builder().proxy(None).timeout_global(Some(TIMEOUT)).build();
    let agent = agent.new_agent();
    let mut samples = Samples::default();
    while !stopped.load(Ordering::Relaxed) {
        let now = Instant::now();
        let is_measured = now >= measured_from;
        let loads: Vec<u64> = sources
            .iter_mut()
            .filter_map(|source| source.ask(&agent, is_measured, &mut samples))
            .collect();
        if is_measured && !loads.is_empty() {
            samples.skews.push(Skew {
                at: (now - started).as_secs_f64(),
                max: loads.iter().copied().max().unwrap_or_default(),
                mean: loads.iter().sum::<u64>() as f64 / loads.len() as f64,
            });
        }
        std::thread::sleep(PERIOD.saturating_sub(now.elapsed()));
    }
    samples
}

impl Source {
    /// Asks the stand-in; adds what its counts grew by and gives its load.
    fn ask(&mut self, agent: &Agent, is_measured: bool, samples: &mut Samples) -> Option<u64> {
        let mut response = agent.get(&self.url).call().ok()?;
        let stats: Stats = serde_json::from_reader(response.body_mut().as_reader()).ok()?;
        let last = self.last.replace(stats);
        if is_measured {
            // A restarted stand-in counts from zero.
            let last = last.filter(|last| last.computed_blocks <= stats.computed_blocks);
            let last = last.unwrap_or_default();
            samples.cached_blocks += stats.cached_blocks.saturating_sub(last.cached_blocks);
            samples.computed_blocks += stats.computed_blocks - last.computed_blocks;
        }
        Some(stats.running + stats.waiting)
    }
}
