//! Remembers the upstreams that want no new requests, as their responses say.

use std::time::{Duration, Instant};

use names::Upstream;

/// Time for which a leaving upstream is remembered after it was last listed. A late announcement
/// may list it again, some seconds after it has left.
const RETENTION: Duration = Duration::from_secs(600);

/// Why an upstream wants no new requests, and until when that is remembered.
#[derive(Debug, Clone, Copy)]
enum Cordon {
    /// The upstream leaves. The deadline is put off while the upstream is listed.
    Leaving { forget_at: Instant },
    /// The upstream asked for no requests for a time.
    Paused { until: Instant },
}

#[derive(Debug, Clone)]
struct Entry {
    upstream: Upstream,
    born: u64,
    cordon: Cordon,
}

/// The upstreams that want no new requests of this instance. A cordon applies to one run of an
/// upstream; the next run gets requests again.
#[derive(Debug, Clone, Default)]
pub struct Cordons {
    /// Sorted by upstream and start of the run.
    entries: Vec<Entry>,
}

impl Cordons {
    /// Records that the run of `upstream` that started at `born` leaves, for good. Returns whether
    /// that is news.
    pub fn record_leaving(&mut self, now: Instant, upstream: &Upstream, born: u64) -> bool {
        let is_news = !self.is_leaving(upstream, born);
        self.set(upstream, born, Cordon::Leaving { forget_at: now + RETENTION });
        is_news
    }

    /// Records that the run of `upstream` that started at `born` wants no requests before `until`.
    /// An earlier pause that lasts longer remains. Returns whether a pause begins.
    pub fn record_pause(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        born: u64,
        until: Instant,
    ) -> bool {
        if self.is_leaving(upstream, born) || until <= now {
            return false;
        }
        let previous = self.paused_until(now, upstream, born);
        let until = previous.map_or(until, |previous| previous.max(until));
        self.set(upstream, born, Cordon::Paused { until });
        previous.is_none()
    }

    /// Returns whether the run of `upstream` that started at `born` leaves.
    pub fn is_leaving(&self, upstream: &Upstream, born: u64) -> bool {
        matches!(self.cordon(upstream, born), Some(Cordon::Leaving { .. }))
    }

    /// Returns the time before which the run of `upstream` that started at `born` wants no
    /// requests, or `None` if it has not asked to wait.
    pub fn paused_until(&self, now: Instant, upstream: &Upstream, born: u64) -> Option<Instant> {
        match self.cordon(upstream, born) {
            Some(Cordon::Paused { until }) if now < until => Some(until),
            _ => None,
        }
    }

    /// Forgets the pauses that are over and, after a while, the leaving upstreams that are no
    /// longer listed.
    pub fn expire<L>(&mut self, now: Instant, is_listed: L)
    where
        L: Fn(&Upstream, u64) -> bool,
    {
        self.entries.retain_mut(|entry| match &mut entry.cordon {
            Cordon::Leaving { forget_at } if is_listed(&entry.upstream, entry.born) => {
                *forget_at = now + RETENTION;
                true
            }
            Cordon::Leaving { forget_at } => now < *forget_at,
            Cordon::Paused { until } => now < *until,
        });
    }

    fn set(&mut self, upstream: &Upstream, born: u64, cordon: Cordon) {
        match self.find(upstream, born) {
            Ok(index) => self.entries[index].cordon = cordon,
            Err(index) => {
                let upstream = upstream.clone();
                self.entries.insert(index, Entry { upstream, born, cordon });
            }
        }
    }

    fn cordon(&self, upstream: &Upstream, born: u64) -> Option<Cordon> {
        self.find(upstream, born).ok().map(|index| self.entries[index].cordon)
    }

    fn find(&self, upstream: &Upstream, born: u64) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| (&entry.upstream, entry.born).cmp(&(upstream, born)))
    }
}
