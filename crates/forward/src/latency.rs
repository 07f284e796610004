//! Detects upstreams that are slower than the other upstreams of their service.
//!
//! An upstream may become slow while it reports that it is healthy. In a large fleet each instance
//! sees too few responses of an upstream to notice, so instances report the latency to the load
//! tracker of the upstream: the time between events of a stream after the first few events, or the
//! duration of a response that is not streamed. The load tracker returns the mean with its answers,
//! and the asking instance compares this mean with the means of the other upstreams of the service
//! that the instance has asked about. Therefore no upstream counts as slow where most are slow, and
//! a long prompt has no influence.

use std::time::{Duration, Instant};

/// Number of events of a stream after which its latency is reported: enough to even out a pause,
/// and few enough that a slow stream is reported within a second or two.
pub const LATENCY_SAMPLE_EVENTS: u32 = 6;

/// Weight of a new observation in the moving average of an upstream.
const SMOOTHING_FACTOR: f64 = 0.3;

/// How long an observation is valid. Without newer observations an upstream counts as fast as the
/// others, so that requests are sent there again.
const RETENTION: Duration = Duration::from_secs(4);

/// Minimum number of observations of an upstream before its mean is used.
const MIN_OBSERVATIONS: u32 = 3;

/// Minimum number of other upstreams that an upstream is compared with.
const MIN_PEERS: usize = 5;

/// Ratio to the median of the other upstreams from which an upstream counts as slow. Upstreams of
/// one service differ by less than this ratio, also when they are nearly full.
const MIN_SLOW_RATIO: f64 = 2.0;

/// Upper limit of the ratio, so that a slow upstream still gets some requests and its recovery is
/// noticed.
const MAX_SLOW_RATIO: f64 = 4.0;

#[derive(Debug, Clone, Copy)]
struct Mean {
    upstream: u32,
    micros: f64,
    observations: u32,
    at: Instant,
}

/// Mean latency of upstreams, as one instance knows them.
#[derive(Debug, Clone, Default)]
pub struct Latencies {
    /// Sorted by upstream.
    means: Vec<Mean>,
}

impl Latencies {
    /// Records that an upstream took `micros` microseconds for an event or a response.
    pub fn observe(&mut self, now: Instant, upstream: u32, micros: u32) {
        let micros = f64::from(micros);
        let initial = Mean { upstream, micros, observations: 1, at: now };
        match self.find(upstream) {
            Ok(index) if now > self.means[index].at + RETENTION => self.means[index] = initial,
            Ok(index) => {
                let mean = &mut self.means[index];
                mean.micros += (micros - mean.micros) * SMOOTHING_FACTOR;
                mean.observations += 1;
                mean.at = now;
            }
            Err(index) => self.means.insert(index, initial),
        }
    }

    /// Records the mean of an upstream, in microseconds, that its load tracker reported.
    pub fn set_mean(&mut self, now: Instant, upstream: u32, micros: u32) {
        let reported =
            Mean { upstream, micros: f64::from(micros), observations: MIN_OBSERVATIONS, at: now };
        match self.find(upstream) {
            Ok(index) => self.means[index] = reported,
            Err(index) => self.means.insert(index, reported),
        }
    }

    /// Returns the mean of an upstream in microseconds, or `None` without enough recent
    /// observations.
    pub fn mean_micros(&self, now: Instant, upstream: u32) -> Option<u32> {
        let index = self.find(upstream).ok()?;
        self.means[index].valid_micros(now).map(|micros| micros as u32)
    }

    /// Returns the ratio of the latency of an upstream to the median of the other upstreams of its
    /// service, `peers`. The ratio is 1 unless the upstream is clearly slow.
    pub fn slowness<I>(&self, now: Instant, upstream: u32, peers: I) -> f64
    where
        I: IntoIterator<Item = u32>,
    {
        let Some(own) = self.mean_micros(now, upstream) else {
            return 1.0;
        };
        let others = peers.into_iter().filter(|peer| *peer != upstream);
        let mut others: Vec<u32> = others.filter_map(|peer| self.mean_micros(now, peer)).collect();
        others.sort_unstable();
        if others.len() < MIN_PEERS {
            return 1.0;
        }
        let ratio = f64::from(own) / f64::from(others[others.len() / 2].max(1));
        if ratio < MIN_SLOW_RATIO { 1.0 } else { ratio.min(MAX_SLOW_RATIO) }
    }

    /// Drops expired observations.
    pub fn expire(&mut self, now: Instant) {
        self.means.retain(|mean| now <= mean.at + RETENTION);
    }

    fn find(&self, upstream: u32) -> Result<usize, usize> {
        self.means.binary_search_by_key(&upstream, |mean| mean.upstream)
    }
}

impl Mean {
    /// Returns the mean if it has enough observations and has not expired.
    fn valid_micros(&self, now: Instant) -> Option<f64> {
        let is_valid = self.observations >= MIN_OBSERVATIONS && now <= self.at + RETENTION;
        is_valid.then_some(self.micros)
    }
}
