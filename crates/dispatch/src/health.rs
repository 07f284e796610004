//! Which upstreams fail or lag behind their peers.

use std::time::{Duration, Instant};

use names::{Service, Upstream};

/// Failures in a row after which an upstream is avoided.
const MAX_FAILURES: u32 = 3;

/// How many times as long as its peers' median an upstream may take.
const MAX_SLOWNESS: u32 = 5;

/// Fewest observations of a pace that count.
const MIN_OBSERVATIONS: u32 = 8;

/// Weight of one observation in the mean pace: one of so many.
const PACE_WEIGHT: u32 = 8;

/// How long an upstream is avoided first; it doubles each time it is found unhealthy again.
const FIRST_AVOIDANCE: Duration = Duration::from_secs(1);

/// Most upstreams that are remembered, each once for every service that it answers.
const MAX_ENTRIES: usize = 4096;

/// Most doublings of the time for which an upstream is avoided.
const MAX_DOUBLINGS: u32 = 5;

/// Whether an upstream's state has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// It stays as it was.
    Unchanged,
    /// It is to be avoided from now on.
    Avoided,
}

#[derive(Debug, Clone)]
struct Entry {
    upstream: Upstream,
    service: Service,
    failures: u32,
    /// Times that it was avoided since it was last found healthy.
    avoidances: u32,
    avoided_until: Option<Instant>,
    /// Whether a request was let through to see if it has recovered.
    is_on_trial: bool,
    pace: Duration,
    observations: u32,
}

impl Entry {
    fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    fn avoid(&mut self, now: Instant) -> Finding {
        let doublings = self.avoidances.min(MAX_DOUBLINGS);
        self.avoided_until = Some(now + FIRST_AVOIDANCE * (1 << doublings));
        self.avoidances += 1;
        self.is_on_trial = false;
        self.observations = 0;
        Finding::Avoided
    }
}

/// What one instance has seen of the upstreams, sorted by service and upstream.
#[derive(Debug, Default)]
pub struct Health {
    entries: Vec<Entry>,
}

impl Health {
    /// Notes an answered attempt.
    pub fn succeeded(&mut self, service: &Service, upstream: &Upstream) {
        let entry = self.entry(service, upstream);
        entry.failures = 0;
        if entry.is_on_trial {
            entry.avoided_until = None;
            entry.is_on_trial = false;
        } else if entry.avoided_until.is_none() {
            entry.avoidances = 0;
        }
    }

    /// Notes a failed attempt.
    pub fn failed(&mut self, service: &Service, upstream: &Upstream, now: Instant) -> Finding {
        let entry = self.entry(service, upstream);
        entry.failures += 1;
        let has_lapsed = entry.avoided_until.is_some_and(|until| until <= now);
        let is_unproven = entry.is_on_trial || has_lapsed;
        if is_unproven || (!entry.is_avoided(now) && entry.failures >= MAX_FAILURES) {
            return entry.avoid(now);
        }
        Finding::Unchanged
    }

    /// Notes that nobody could be reached at an upstream, which is avoided at once.
    pub fn lost(&mut self, service: &Service, upstream: &Upstream, now: Instant) -> Finding {
        let entry = self.entry(service, upstream);
        entry.failures += 1;
        if entry.is_avoided(now) { Finding::Unchanged } else { entry.avoid(now) }
    }

    /// Notes how long one unit of an answer took, such as a word or a whole call.
    pub fn paced(
        &mut self,
        service: &Service,
        upstream: &Upstream,
        pace: Duration,
        now: Instant,
    ) -> Finding {
        let median = self.median_of_peers(service, upstream);
        let entry = self.entry(service, upstream);
        entry.observations += 1;
        entry.pace = match entry.observations {
            1 => pace,
            _ => (entry.pace * (PACE_WEIGHT - 1) + pace) / PACE_WEIGHT,
        };
        let is_judged = entry.is_avoided(now) && !entry.is_on_trial;
        if is_judged || entry.observations < MIN_OBSERVATIONS {
            return Finding::Unchanged;
        }
        match median {
            Some(median) if entry.pace > median * MAX_SLOWNESS => entry.avoid(now),
            _ => {
                entry.avoided_until = None;
                entry.is_on_trial = false;
                Finding::Unchanged
            }
        }
    }

    /// The upstreams of `service` that a request has to avoid at `now`: none when that would be
    /// more than half. Once the time of one is over, one request a second is let through until it
    /// has proved healthy.
    pub fn avoided(&mut self, service: &Service, now: Instant) -> Vec<Upstream> {
        let known = self.entries.iter().filter(|entry| entry.service == *service).count();
        let mut avoided = Vec::new();
        for entry in self.entries.iter_mut().filter(|entry| entry.service == *service) {
            if entry.is_avoided(now) {
                avoided.push(entry.upstream.clone());
            } else if entry.avoided_until.is_some() {
                entry.avoided_until = Some(now + FIRST_AVOIDANCE);
                entry.is_on_trial = true;
            }
        }
        if avoided.len() * 2 > known { Vec::new() } else { avoided }
    }

    /// Whether an upstream is avoided at `now`; asking lets no request through.
    pub fn is_avoided(&self, service: &Service, upstream: &Upstream, now: Instant) -> bool {
        self.find(service, upstream).is_ok_and(|index| self.entries[index].is_avoided(now))
    }

    fn median_of_peers(&self, service: &Service, upstream: &Upstream) -> Option<Duration> {
        let is_peer = |entry: &&Entry| entry.service == *service && entry.upstream != *upstream;
        let mut paces: Vec<Duration> = self
            .entries
            .iter()
            .filter(is_peer)
            .filter(|entry| entry.observations >= MIN_OBSERVATIONS)
            .map(|entry| entry.pace)
            .collect();
        paces.sort_unstable();
        paces.get(paces.len() / 2).copied()
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
        self.make_room();
        let index = self.find(service, upstream).unwrap_or_else(|index| index);
        let entry = Entry {
            upstream: upstream.clone(),
            service: service.clone(),
            failures: 0,
            avoidances: 0,
            avoided_until: None,
            is_on_trial: false,
            pace: Duration::ZERO,
            observations: 0,
        };
        self.entries.insert(index, entry);
        index
    }

    /// Forgets healthy upstreams when there are too many, which those that are gone are among.
    fn make_room(&mut self) {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.retain(|entry| entry.avoided_until.is_some());
        }
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.clear();
        }
    }
}
