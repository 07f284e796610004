//! Upstreams that recently reported that they are full.

use std::time::{Duration, Instant};

use declare::Rank;
use names::Upstream;

use crate::ObservedLoad;

/// Time during which requests of the same rank do not ask a full upstream again.
const ENTRY_LIFETIME: Duration = Duration::from_millis(100);

/// An upstream whose owner replied that it is full.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FullUpstream {
    pub(crate) upstream: Upstream,
    pub(crate) load: ObservedLoad,
    /// Number of requests queued there that run before a request of the requester's rank.
    pub(crate) waiting: u32,
    /// Time at which the reply arrived.
    pub(crate) received_at: Instant,
}

#[derive(Debug)]
struct Entry {
    full: FullUpstream,
    rank: Rank,
    expires_at: Instant,
}

/// Full upstreams that recent searches of this instance found, by rank.
#[derive(Debug, Default)]
pub(crate) struct FullUpstreams {
    entries: Vec<Entry>,
}

impl FullUpstreams {
    /// Records the reply of an upstream; the entry is kept only if no slot is free.
    pub(crate) fn record(&mut self, now: Instant, rank: Rank, full: &FullUpstream) {
        let is_other = |entry: &Entry| entry.full.upstream != full.upstream || entry.rank != rank;
        self.entries.retain(|entry| entry.expires_at > now && is_other(entry));
        if u64::from(full.load.load.certain) >= full.load.slots {
            let full = full.clone();
            self.entries.push(Entry { full, rank, expires_at: now + ENTRY_LIFETIME });
        }
    }

    /// Counts one more request of `rank` that is queued at `upstream`.
    pub(crate) fn add_waiting(&mut self, rank: Rank, upstream: &Upstream) {
        let matches = |entry: &&mut Entry| entry.full.upstream == *upstream && entry.rank == rank;
        if let Some(entry) = self.entries.iter_mut().find(matches) {
            entry.full.waiting += 1;
        }
    }

    /// Returns the entries of all upstreams in `order`, or `None` unless every one of them is
    /// full.
    pub(crate) fn all_full(
        &self,
        now: Instant,
        rank: Rank,
        order: &[Upstream],
    ) -> Option<Vec<FullUpstream>> {
        let find = |upstream: &Upstream| {
            let matches = |entry: &&Entry| {
                entry.full.upstream == *upstream && entry.rank == rank && entry.expires_at > now
            };
            self.entries.iter().find(matches).map(|entry| entry.full.clone())
        };
        order.iter().map(find).collect()
    }
}
