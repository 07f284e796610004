//! Samples the load and the cache hits of stand-ins during a measurement.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::Error;

/// Interval at which stand-ins are polled.
const SAMPLING_PERIOD: Duration = Duration::from_millis(100);

/// Time within which a stand-in must respond.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Mean load, in requests, below which the skew is not meaningful.
const MIN_MEAN_LOAD: f64 = 1.0;

/// Ratio of the load of an upstream to the mean that the load bound allows.
const LOAD_BOUND_FACTOR: f64 = 1.25;

/// Fields of a stand-in's statistics that are used.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
struct Stats {
    running: u64,
    waiting: u64,
    cached_blocks: u64,
    computed_blocks: u64,
}

/// Skew of the load across stand-ins at one time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Skew {
    /// Time of the sample, in seconds from the start of the load.
    pub at: f64,
    /// Number of requests at the most loaded stand-in.
    pub max: u64,
    /// Mean number of requests at the stand-ins that responded.
    pub mean: f64,
}

impl Skew {
    /// Returns the ratio of the greatest load to the mean, or `None` if the mean load is below 1.
    pub fn ratio(&self) -> Option<f64> {
        (self.mean >= MIN_MEAN_LOAD).then(|| self.max as f64 / self.mean)
    }

    /// Returns whether the greatest load is within the load bound, rounded up to a full request.
    pub fn is_within_bound(&self) -> bool {
        self.max as f64 <= (LOAD_BOUND_FACTOR * self.mean).ceil()
    }
}

/// Samples of the measured time.
#[derive(Debug, Clone, Default)]
pub(crate) struct Samples {
    pub(crate) skews: Vec<Skew>,
    pub(crate) cached_blocks: u64,
    pub(crate) computed_blocks: u64,
}

/// Samples stand-ins on its own thread.
pub(crate) struct Sampler {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<Samples>,
}

/// Stand-in to poll.
struct Source {
    url: String,
    previous: Option<Stats>,
}

impl Sampler {
    /// Starts sampling; samples before `measurement_start` are not counted.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Thread`] if the thread cannot be started.
    pub(crate) fn start(
        stand_ins: &[SocketAddr],
        started_at: Instant,
        measurement_start: Instant,
    ) -> Result<Self, Error> {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let sources: Vec<_> = stand_ins
            .iter()
            .map(|address| Source { url: format!("http://{address}/stats"), previous: None })
            .collect();
        let stop_flag = is_stopped.clone();
        let thread = std::thread::Builder::new()
            .spawn(move || sample_until_stopped(sources, started_at, measurement_start, &stop_flag))
            .map_err(Error::Thread)?;
        Ok(Self { is_stopped, thread })
    }

    /// Stops sampling and returns the samples.
    pub(crate) fn stop(self) -> Samples {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

/// Polls all sources in each period until `is_stopped` is set.
fn sample_until_stopped(
    mut sources: Vec<Source>,
    started_at: Instant,
    measurement_start: Instant,
    is_stopped: &AtomicBool,
) -> Samples {
    let agent = Agent::config_builder().proxy(None).timeout_global(Some(REQUEST_TIMEOUT)).build();
    let agent = agent.new_agent();
    let mut samples = Samples::default();
    while !is_stopped.load(Ordering::Relaxed) {
        let polled_at = Instant::now();
        let is_measured = polled_at >= measurement_start;
        let loads: Vec<u64> = sources
            .iter_mut()
            .filter_map(|source| source.poll(&agent, is_measured, &mut samples))
            .collect();
        if is_measured && !loads.is_empty() {
            samples.skews.push(Skew {
                at: (polled_at - started_at).as_secs_f64(),
                max: loads.iter().copied().max().unwrap_or_default(),
                mean: loads.iter().sum::<u64>() as f64 / loads.len() as f64,
            });
        }
        std::thread::sleep(SAMPLING_PERIOD.saturating_sub(polled_at.elapsed()));
    }
    samples
}

impl Source {
    /// Polls the stand-in, adds the growth of its counters to `samples` and returns its load.
    ///
    /// Returns `None` if the stand-in does not respond.
    fn poll(&mut self, agent: &Agent, is_measured: bool, samples: &mut Samples) -> Option<u64> {
        let mut response = agent.get(&self.url).call().ok()?;
        let stats: Stats = serde_json::from_reader(response.body_mut().as_reader()).ok()?;
        let previous = self.previous.replace(stats);
        if is_measured {
            // A restarted stand-in counts from zero, so that its previous counters do not apply.
            let previous =
                previous.filter(|previous| previous.computed_blocks <= stats.computed_blocks);
            let previous = previous.unwrap_or_default();
            samples.cached_blocks += stats.cached_blocks.saturating_sub(previous.cached_blocks);
            samples.computed_blocks += stats.computed_blocks - previous.computed_blocks;
        }
        Some(stats.running + stats.waiting)
    }
}
