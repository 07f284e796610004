//! Exchange of upstream loads between instances.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{Pace, Report, is_large_fleet};

/// Period and fan-out of the gossip about loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipConfig {
    /// Time between two messages of an instance.
    pub period: Duration,
    /// Number of instances that each message is sent to.
    pub fanout: usize,
}

/// In a small fleet an instance learns most loads from its own requests.
const SMALL_FLEET_GOSSIP: GossipConfig =
    GossipConfig { period: Duration::from_millis(500), fanout: 8 };

/// In a large fleet the load of an engine that gets long prompts changes by as much as the load
/// bound within half a second.
const LARGE_FLEET_GOSSIP: GossipConfig =
    GossipConfig { period: Duration::from_millis(125), fanout: 4 };

impl GossipConfig {
    /// Returns the period and the fan-out for a fleet of `instances`.
    pub fn new(instances: usize) -> Self {
        if is_large_fleet(instances) { LARGE_FLEET_GOSSIP } else { SMALL_FLEET_GOSSIP }
    }
}

/// How long a load is kept, so that older messages that arrive later can be recognized.
const RETENTION: Duration = Duration::from_secs(10);

/// How long the report of another instance that an engine is unresponsive is valid: two periods of
/// the gossip, in which the report is repeated.
const UNRESPONSIVE_TTL: Duration = Duration::from_millis(250);

/// Load that an upstream had some time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Short hash of the name of the upstream.
    pub upstream: u32,
    /// Number of requests at the upstream.
    pub requests: u16,
    /// Age of the observation in milliseconds.
    pub age: u16,
    /// Pace that the upstream named, in percent, or 0 if it named none.
    pub pace: u16,
}

#[derive(Debug, Clone, Copy)]
struct KnownLoad {
    upstream: u32,
    requests: u16,
    /// Pace that the upstream named, in percent, or 0 if it named none.
    pace: u16,
    at: Instant,
    /// Whether the upstream reported the load to this instance, which has not sent the load to
    /// other instances yet.
    is_unsent: bool,
}

/// An unresponsive engine, as another instance reported at `at`.
#[derive(Debug, Clone, Copy)]
struct Unresponsive {
    upstream: u32,
    at: Instant,
}

/// The newest load of each upstream that this instance knows.
///
/// The instance that observed a load sends the load to a few other instances, which do not forward
/// it. If all instances knew the same loads, all would leave the same engines at once and move to
/// the same other engines, which costs more than the additional knowledge gains.
#[derive(Debug, Clone, Default)]
pub struct LoadGossip {
    /// Sorted by upstream.
    known: Vec<KnownLoad>,
    /// Sorted by upstream.
    unresponsive: Vec<Unresponsive>,
}

impl LoadGossip {
    /// Records the report of the upstream that this instance received at `now`.
    pub fn observe(&mut self, now: Instant, upstream: u32, report: Report) {
        let requests = u16::try_from(report.requests()).unwrap_or(u16::MAX);
        let pace = report.pace.map_or(0, Pace::percent);
        self.put(KnownLoad { upstream, requests, pace, at: now, is_unsent: true });
    }

    /// Records a load that another instance reported at `now`. Returns the time at which the
    /// upstream had that load, or `None` if this instance knows a newer load.
    pub fn merge(&mut self, now: Instant, load: Load) -> Option<Instant> {
        let at = now.checked_sub(Duration::from_millis(u64::from(load.age)))?;
        let Load { upstream, requests, pace, .. } = load;
        if self.unresponsive(upstream).is_some_and(|entry| entry.at < at) {
            self.clear_unresponsive(upstream);
        }
        self.put(KnownLoad { upstream, requests, pace, at, is_unsent: false }).then_some(at)
    }

    /// Records the report of another instance that an engine is unresponsive: the engine has
    /// requests of that instance and has sent nothing for a long time, so that no instance can
    /// learn the load of the engine.
    pub fn mark_unresponsive(&mut self, now: Instant, upstream: u32) {
        let reported = Unresponsive { upstream, at: now };
        match self.unresponsive.binary_search_by_key(&upstream, |entry| entry.upstream) {
            Ok(index) => self.unresponsive[index] = reported,
            Err(index) => self.unresponsive.insert(index, reported),
        }
    }

    /// Drops the report that an engine is unresponsive, because the engine has sent something.
    pub fn clear_unresponsive(&mut self, upstream: u32) {
        self.unresponsive.retain(|entry| entry.upstream != upstream);
    }

    /// Returns whether another instance reported recently that an engine is unresponsive.
    pub fn is_unresponsive(&self, now: Instant, upstream: u32) -> bool {
        self.unresponsive(upstream).is_some_and(|entry| now < entry.at + UNRESPONSIVE_TTL)
    }

    fn unresponsive(&self, upstream: u32) -> Option<Unresponsive> {
        let found = self.unresponsive.binary_search_by_key(&upstream, |entry| entry.upstream);
        found.ok().map(|index| self.unresponsive[index])
    }

    /// Stores `known` and returns true, unless a load that is at least as new is stored already.
    fn put(&mut self, known: KnownLoad) -> bool {
        match self.known.binary_search_by_key(&known.upstream, |known| known.upstream) {
            Ok(index) if self.known[index].at >= known.at => false,
            Ok(index) => {
                self.known[index] = known;
                true
            }
            Err(index) => {
                self.known.insert(index, known);
                true
            }
        }
    }

    /// Returns at most `limit` loads to send to other instances at `now`: those that upstreams
    /// reported to this instance since the last call. Also drops expired entries.
    pub fn take_updates(&mut self, now: Instant, limit: usize) -> Vec<Load> {
        let unsent = self.known.iter().filter(|known| known.is_unsent).take(limit);
        let chosen = unsent.map(|known| known.load(now)).collect();
        self.known.iter_mut().for_each(|known| known.is_unsent = false);
        self.known.retain(|known| now < known.at + RETENTION);
        self.unresponsive.retain(|entry| now < entry.at + UNRESPONSIVE_TTL);
        chosen
    }
}

impl KnownLoad {
    fn load(&self, now: Instant) -> Load {
        let age = now.saturating_duration_since(self.at).as_millis();
        let age = u16::try_from(age).unwrap_or(u16::MAX);
        Load { upstream: self.upstream, requests: self.requests, age, pace: self.pace }
    }
}
