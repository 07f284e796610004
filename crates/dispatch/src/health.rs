//! Outlier detection: upstreams that fail or are slower than their peers.

use std::time::{Duration, Instant};

use names::{Service, Upstream};

/// Number of consecutive failures after which an upstream is avoided.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Largest ratio of an upstream's mean latency to the median of its peers.
const MAX_LATENCY_RATIO: u32 = 5;

/// Fewest latency samples for which the mean latency of an upstream is used.
const MIN_LATENCY_SAMPLES: u32 = 8;

/// Divisor of the moving average: a new sample has the weight `1 / MEAN_LATENCY_DIVISOR`.
const MEAN_LATENCY_DIVISOR: u32 = 8;

/// First time span for which an upstream is avoided. The span doubles each time the upstream is
/// found unhealthy again.
const INITIAL_AVOIDANCE: Duration = Duration::from_secs(1);

/// Largest number of entries. An upstream has one entry for each service that it serves.
const MAX_ENTRIES: usize = 4096;

/// Largest number of times that the avoidance span is doubled.
const MAX_AVOIDANCE_DOUBLINGS: u32 = 5;

/// Change of an upstream's health that an observation caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The health state did not change.
    Unchanged,
    /// Requests have to avoid the upstream from now on.
    Avoided,
}

#[derive(Debug, Clone)]
struct Entry {
    upstream: Upstream,
    service: Service,
    consecutive_failures: u32,
    /// Number of avoidance spans since the upstream was last found healthy.
    avoidances: u32,
    avoided_until: Option<Instant>,
    /// Whether a probe request was let through to check whether the upstream has recovered.
    is_probing: bool,
    mean_latency: Duration,
    samples: u32,
}

impl Entry {
    fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    fn avoid(&mut self, now: Instant) -> HealthChange {
        let doublings = self.avoidances.min(MAX_AVOIDANCE_DOUBLINGS);
        self.avoided_until = Some(now + INITIAL_AVOIDANCE * (1 << doublings));
        self.avoidances += 1;
        self.is_probing = false;
        self.samples = 0;
        HealthChange::Avoided
    }
}

/// Health of the upstreams as one instance observes it.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    /// Sorted by service and upstream.
    entries: Vec<Entry>,
}

impl OutlierDetector {
    /// Records a successful attempt.
    pub fn record_success(&mut self, service: &Service, upstream: &Upstream) {
        let entry = self.entry(service, upstream);
        entry.consecutive_failures = 0;
        if entry.is_probing {
            entry.avoided_until = None;
            entry.is_probing = false;
        } else if entry.avoided_until.is_none() {
            entry.avoidances = 0;
        }
    }

    /// Records a failed attempt.
    pub fn record_failure(
        &mut self,
        service: &Service,
        upstream: &Upstream,
        now: Instant,
    ) -> HealthChange {
        let entry = self.entry(service, upstream);
        entry.consecutive_failures += 1;
        let has_expired = entry.avoided_until.is_some_and(|until| until <= now);
        let is_unproven = entry.is_probing || has_expired;
        if is_unproven
            || (!entry.is_avoided(now) && entry.consecutive_failures >= MAX_CONSECUTIVE_FAILURES)
        {
            return entry.avoid(now);
        }
        HealthChange::Unchanged
    }

    /// Records that an upstream is unreachable. The upstream is avoided at once.
    pub fn record_unreachable(
        &mut self,
        service: &Service,
        upstream: &Upstream,
        now: Instant,
    ) -> HealthChange {
        let entry = self.entry(service, upstream);
        entry.consecutive_failures += 1;
        if entry.is_avoided(now) { HealthChange::Unchanged } else { entry.avoid(now) }
    }

    /// Records the latency of one unit of a response, such as a word or a complete call.
    pub fn record_latency(
        &mut self,
        service: &Service,
        upstream: &Upstream,
        latency: Duration,
        now: Instant,
    ) -> HealthChange {
        let median = self.peer_median_latency(service, upstream);
        let entry = self.entry(service, upstream);
        entry.samples += 1;
        entry.mean_latency = match entry.samples {
            1 => latency,
            _ => (entry.mean_latency * (MEAN_LATENCY_DIVISOR - 1) + latency) / MEAN_LATENCY_DIVISOR,
        };
        let is_excluded = entry.is_avoided(now) && !entry.is_probing;
        if is_excluded || entry.samples < MIN_LATENCY_SAMPLES {
            return HealthChange::Unchanged;
        }
        match median {
            Some(median) if entry.mean_latency > median * MAX_LATENCY_RATIO => entry.avoid(now),
            _ => {
                entry.avoided_until = None;
                entry.is_probing = false;
                HealthChange::Unchanged
            }
        }
    }

    /// Returns the upstreams of `service` that a request has to avoid at `now`, or none if these
    /// would be more than half of the known upstreams. After the avoidance span of an upstream, one
    /// probe request per second is let through until the upstream is found healthy.
    pub fn avoided_upstreams(&mut self, service: &Service, now: Instant) -> Vec<Upstream> {
        let known_count = self.entries.iter().filter(|entry| entry.service == *service).count();
        let mut avoided = Vec::new();
        for entry in self.entries.iter_mut().filter(|entry| entry.service == *service) {
            if entry.is_avoided(now) {
                avoided.push(entry.upstream.clone());
            } else if entry.avoided_until.is_some() {
                entry.avoided_until = Some(now + INITIAL_AVOIDANCE);
                entry.is_probing = true;
            }
        }
        if avoided.len() * 2 > known_count { Vec::new() } else { avoided }
    }

    /// Returns the upstreams of `service` that were found unhealthy and not healthy since, without
    /// letting a probe request through.
    pub fn unproven_upstreams(&self, service: &Service) -> Vec<Upstream> {
        let of_service = self.entries.iter().filter(|entry| entry.service == *service);
        let unproven = of_service.filter(|entry| entry.avoided_until.is_some());
        unproven.map(|entry| entry.upstream.clone()).collect()
    }

    /// Returns whether an upstream is avoided at `now`, without letting a probe request through.
    pub fn is_avoided(&self, service: &Service, upstream: &Upstream, now: Instant) -> bool {
        self.find(service, upstream).is_ok_and(|index| self.entries[index].is_avoided(now))
    }

    fn peer_median_latency(&self, service: &Service, upstream: &Upstream) -> Option<Duration> {
        let is_peer = |entry: &&Entry| entry.service == *service && entry.upstream != *upstream;
        let mut latencies: Vec<Duration> = self
            .entries
            .iter()
            .filter(is_peer)
            .filter(|entry| entry.samples >= MIN_LATENCY_SAMPLES)
            .map(|entry| entry.mean_latency)
            .collect();
        latencies.sort_unstable();
        latencies.get(latencies.len() / 2).copied()
    }

    fn entry(&mut self, service: &Service, upstream: &Upstream) -> &mut Entry {
        let index = match self.find(service, upstream) {
            Ok(index) => index,
            Err(_) => self.insert(service, upstream),
        };
        &mut self.entries[index]
    }

    fn find(&self, service: &Service, upstream: &Upstream) -> Result<usize, usize> {
        let key = (service, upstream);
        self.entries.binary_search_by(|entry| (&entry.service, &entry.upstream).cmp(&key))
    }

    fn insert(&mut self, service: &Service, upstream: &Upstream) -> usize {
        self.evict_if_full();
        let index = self.find(service, upstream).unwrap_or_else(|index| index);
        let entry = Entry {
            upstream: upstream.clone(),
            service: service.clone(),
            consecutive_failures: 0,
            avoidances: 0,
            avoided_until: None,
            is_probing: false,
            mean_latency: Duration::ZERO,
            samples: 0,
        };
        self.entries.insert(index, entry);
        index
    }

    /// Removes the entries of healthy upstreams when there are too many entries. Upstreams that no
    /// longer exist are among the removed ones. Removes all entries if that is not enough.
    fn evict_if_full(&mut self) {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.retain(|entry| entry.avoided_until.is_some());
        }
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.clear();
        }
    }
}
