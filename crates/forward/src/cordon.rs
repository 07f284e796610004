//! Remembers the upstreams that want no new requests, as their responses say.

use std::time::{Duration, Instant};

use names::Upstream;

/// Time for which a leaving upstream is remembered after it was last listed. A late announcement
/// may list it again, some seconds after it has left.
const RETENTION: Duration = Duration::from_secs(600);

#[derive(Debug, Clone)]
struct Entry {
    upstream: Upstream,
    born: u64,
    forget_at: Instant,
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
        let found = self.find(upstream, born);
        if let Err(index) = found {
            let entry = Entry { upstream: upstream.clone(), born, forget_at: now + RETENTION };
            self.entries.insert(index, entry);
        }
        found.is_err()
    }

    /// Returns whether the run of `upstream` that started at `born` leaves.
    pub fn is_leaving(&self, upstream: &Upstream, born: u64) -> bool {
        self.find(upstream, born).is_ok()
    }

    /// Forgets the upstreams that are no longer listed, after a while.
    pub fn forget_unlisted<L>(&mut self, now: Instant, is_listed: L)
    where
        L: Fn(&Upstream, u64) -> bool,
    {
        for entry in &mut self.entries {
            if is_listed(&entry.upstream, entry.born) {
                entry.forget_at = now + RETENTION;
            }
        }
        self.entries.retain(|entry| now < entry.forget_at);
    }

    fn find(&self, upstream: &Upstream, born: u64) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| (&entry.upstream, entry.born).cmp(&(upstream, born)))
    }
}
