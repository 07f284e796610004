//! Which upstreams are slower than their kin.
//!
//! An upstream may turn slow and say that it is sound. Of many instances each sees too few of its
//! answers to tell, so they tell its keeper how fast it goes: the time between events of a stream
//! after its first few, or the whole time of a plain answer. The keeper's mean travels with its
//! answers, and whoever asks compares it with the upstreams of the same service that it has asked
//! about. So nobody is slow where most are, and a long prompt does not count.

use std::time::{Duration, Instant};

/// Events of a stream after which its pace is told: enough to even out a pause, and few enough that
/// a slow stream tells within a second or two.
pub const PACE_EVENTS: u32 = 6;

/// Weight of one more observation in the mean of an upstream.
const WEIGHT: f64 = 0.3;

/// How long an observation counts. Without newer ones an upstream is taken for as fast as its kin,
/// and tried again.
const MEMORY: Duration = Duration::from_secs(4);

/// Observations of an upstream before its mean is told.
const LEAST_OBSERVATIONS: u32 = 3;

/// Upstreams with which one is compared at least.
const LEAST_KIN: usize = 5;

/// How many times as long as its kin an upstream takes before it counts as slow. Upstreams of one
/// service differ, and slow down when they are nearly full, by less than that.
const SLOW_FROM: f64 = 2.0;

/// The most that it counts as slow, so that it goes on to get some requests and is seen to recover.
const MOST_SLOW: f64 = 4.0;

#[derive(Debug, Clone, Copy)]
struct Mean {
    upstream: u32,
    micros: f64,
    observations: u32,
    at: Instant,
}

/// The paces of upstreams, as one instance knows them.
#[derive(Debug, Clone, Default)]
pub struct Paces {
    /// Sorted by upstream.
    means: Vec<Mean>,
}

impl Paces {
    /// Takes note that an upstream took so many microseconds for an event or an answer.
    pub fn observe(&mut self, now: Instant, upstream: u32, micros: u32) {
        let micros = f64::from(micros);
        let fresh = Mean { upstream, micros, observations: 1, at: now };
        match self.find(upstream) {
            Ok(index) if now > self.means[index].at + MEMORY => self.means[index] = fresh,
            Ok(index) => {
                let mean = &mut self.means[index];
                mean.micros += (micros - mean.micros) * WEIGHT;
                mean.observations += 1;
                mean.at = now;
            }
            Err(index) => self.means.insert(index, fresh),
        }
    }

    /// Takes the mean of an upstream from its keeper.
    pub fn hear(&mut self, now: Instant, upstream: u32, micros: u32) {
        let heard =
            Mean { upstream, micros: f64::from(micros), observations: LEAST_OBSERVATIONS, at: now };
        match self.find(upstream) {
            Ok(index) => self.means[index] = heard,
            Err(index) => self.means.insert(index, heard),
        }
    }

    /// The mean of an upstream in microseconds, if enough was observed lately.
    pub fn of(&self, now: Instant, upstream: u32) -> Option<u32> {
        let index = self.find(upstream).ok()?;
        self.means[index].known(now).map(|micros| micros as u32)
    }

    /// How many times as much as its kin an upstream takes for its work: 1 unless it is clearly slow.
    /// `kin` are the upstreams of its service.
    pub fn slowness<I>(&self, now: Instant, upstream: u32, kin: I) -> f64
    where
        I: IntoIterator<Item = u32>,
    {
        let Some(own) = self.of(now, upstream) else {
            return 1.0;
        };
        let others = kin.into_iter().filter(|one| *one != upstream);
        let mut others: Vec<u32> = others.filter_map(|one| self.of(now, one)).collect();
        others.sort_unstable();
        if others.len() < LEAST_KIN {
            return 1.0;
        }
        let ratio = f64::from(own) / f64::from(others[others.len() / 2].max(1));
        if ratio < SLOW_FROM { 1.0 } else { ratio.min(MOST_SLOW) }
    }

    /// Forgets what was observed too long ago.
    pub fn forget(&mut self, now: Instant) {
        self.means.retain(|one| now <= one.at + MEMORY);
    }

    fn find(&self, upstream: u32) -> Result<usize, usize> {
        self.means.binary_search_by_key(&upstream, |one| one.upstream)
    }
}

impl Mean {
    fn known(&self, now: Instant) -> Option<f64> {
        let is_known = self.observations >= LEAST_OBSERVATIONS && now <= self.at + MEMORY;
        is_known.then_some(self.micros)
    }
}
