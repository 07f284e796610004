//! Upstreams that were seen full a moment ago.

use std::time::{Duration, Instant};

use declare::Rank;
use names::Upstream;

use crate::Evidence;

/// How long a full upstream is not asked again by requests of the same rank.
const VALIDITY: Duration = Duration::from_millis(100);

/// An upstream that answered full.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Seen {
    pub(crate) upstream: Upstream,
    pub(crate) load: Evidence,
    /// Requests that wait there and that the asker's rank does not pass.
    pub(crate) waiting: u32,
    /// When it answered.
    pub(crate) at: Instant,
}

#[derive(Debug)]
struct Remembered {
    seen: Seen,
    rank: Rank,
    until: Instant,
}

/// What this instance's walks saw lately.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    remembered: Vec<Remembered>,
}

impl Memory {
    /// Takes note that an upstream has no free slot.
    pub(crate) fn see(&mut self, now: Instant, rank: Rank, seen: &Seen) {
        let is_other = |one: &Remembered| one.seen.upstream != seen.upstream || one.rank != rank;
        self.remembered.retain(|one| one.until > now && is_other(one));
        if seen.load.load.certain >= seen.load.slots {
            let seen = seen.clone();
            self.remembered.push(Remembered { seen, rank, until: now + VALIDITY });
        }
    }

    /// Takes note that one more request of `rank` waits at `upstream`.
    pub(crate) fn add_waiting(&mut self, rank: Rank, upstream: &Upstream) {
        let is_it = |one: &&mut Remembered| one.seen.upstream == *upstream && one.rank == rank;
        if let Some(one) = self.remembered.iter_mut().find(is_it) {
            one.seen.waiting += 1;
        }
    }

    /// What was seen of all of `order`; none unless each of them was full.
    pub(crate) fn all(&self, now: Instant, rank: Rank, order: &[Upstream]) -> Option<Vec<Seen>> {
        let find = |upstream: &Upstream| {
            let is_it = |one: &&Remembered| {
                one.seen.upstream == *upstream && one.rank == rank && one.until > now
            };
            self.remembered.iter().find(is_it).map(|one| one.seen.clone())
        };
        order.iter().map(find).collect()
    }
}
