//! Index of the context that upstreams have cached, built from the events that they report.
//!
//! Events arrive late and with gaps. [`Index`] reports the content of an upstream's cache only
//! while no event is missing. After a gap, the content is unknown until a snapshot arrives.

use names::{Incarnation, Upstream};
use serde::{Deserialize, Serialize};

use crate::Error;

/// Limit on the indexed blocks of one upstream. Blocks above the limit count as not cached.
const MAX_BLOCKS: usize = 1 << 16;

/// One cached block of context, identified by the hash of the prompt up to the end of the block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Block(pub u64);

/// One change of the content of a cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// The block was stored.
    Stored(Block),
    /// The block was evicted.
    Evicted(Block),
}

/// Consecutively numbered changes of an upstream's cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Events {
    /// Name of the reporting upstream.
    pub upstream: Upstream,
    /// Incarnation of the reporting upstream.
    pub incarnation: Incarnation,
    /// Sequence number of the first change. The first change of an incarnation has number 0.
    pub first: u64,
    /// Changes in the order in which they happened.
    pub changes: Vec<Change>,
}

/// Complete content of an upstream's cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Name of the reporting upstream.
    pub upstream: Upstream,
    /// Incarnation of the reporting upstream.
    pub incarnation: Incarnation,
    /// Sequence number of the first change that the snapshot does not include.
    pub next: u64,
    /// All cached blocks.
    pub blocks: Vec<Block>,
}

impl TryFrom<&[u8]> for Events {
    type Error = Error;

    fn try_from(body: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(body)
            .map_err(|source| Error::InvalidFormat { what: "cache events", source })
    }
}

impl TryFrom<&[u8]> for Snapshot {
    type Error = Error;

    fn try_from(body: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(body)
            .map_err(|source| Error::InvalidFormat { what: "cache snapshot", source })
    }
}

/// Result of applying events or a snapshot to the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The events or the snapshot were applied.
    Applied,
    /// The events or the snapshot were already known or belong to an earlier incarnation.
    Repeated,
    /// Changes are missing, so the upstream should send a snapshot.
    Resync,
}

/// Known content of one upstream's cache.
#[derive(Debug)]
struct Cache {
    upstream: Upstream,
    incarnation: Incarnation,
    /// Sequence number of the next change.
    next: u64,
    /// Whether no change is missing.
    is_complete: bool,
    /// Sorted.
    blocks: Vec<Block>,
}

impl Cache {
    fn apply(&mut self, change: Change) {
        match change {
            Change::Stored(block) => {
                if let Err(index) = self.blocks.binary_search(&block)
                    && self.blocks.len() < MAX_BLOCKS
                {
                    self.blocks.insert(index, block);
                }
            }
            Change::Evicted(block) => {
                if let Ok(index) = self.blocks.binary_search(&block) {
                    self.blocks.remove(index);
                }
            }
        }
        self.next = self.next.saturating_add(1);
    }

    /// Discards the content after a gap.
    fn invalidate(&mut self) -> Outcome {
        self.is_complete = false;
        self.blocks = Vec::new();
        Outcome::Resync
    }

    fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.next = 0;
        self.is_complete = true;
        self.blocks = Vec::new();
    }
}

/// Known cache contents of all upstreams, sorted by upstream name.
#[derive(Debug, Default)]
pub struct Index {
    caches: Vec<Cache>,
}

impl Index {
    fn find(&self, upstream: &Upstream) -> Result<usize, usize> {
        self.caches.binary_search_by(|cache| cache.upstream.cmp(upstream))
    }

    /// Returns the cache of the given incarnation, which is created empty if it is new. Returns
    /// `None` if a later incarnation is known.
    fn cache(&mut self, upstream: &Upstream, incarnation: Incarnation) -> Option<&mut Cache> {
        let index = self.find(upstream).unwrap_or_else(|index| {
            let upstream = upstream.clone();
            let blocks = Vec::new();
            let cache = Cache { upstream, incarnation, next: 0, is_complete: true, blocks };
            self.caches.insert(index, cache);
            index
        });
        let cache = &mut self.caches[index];
        if cache.incarnation < incarnation {
            cache.restart(incarnation);
        }
        (cache.incarnation == incarnation).then_some(cache)
    }

    /// Applies changes of an upstream's cache.
    pub fn take(&mut self, events: Events) -> Outcome {
        let Some(cache) = self.cache(&events.upstream, events.incarnation) else {
            return Outcome::Repeated;
        };
        let end = events.first.saturating_add(events.changes.len() as u64);
        if end <= cache.next {
            return Outcome::Repeated;
        }
        if events.first > cache.next || !cache.is_complete {
            return cache.invalidate();
        }
        let applied = (cache.next - events.first) as usize;
        events.changes.into_iter().skip(applied).for_each(|change| cache.apply(change));
        Outcome::Applied
    }

    /// Replaces the content of an upstream's cache with a snapshot.
    pub fn reset(&mut self, snapshot: Snapshot) -> Outcome {
        let Some(cache) = self.cache(&snapshot.upstream, snapshot.incarnation) else {
            return Outcome::Repeated;
        };
        if snapshot.next < cache.next {
            return Outcome::Repeated;
        }
        cache.blocks = snapshot.blocks;
        cache.blocks.sort_unstable();
        cache.blocks.dedup();
        cache.blocks.truncate(MAX_BLOCKS);
        cache.next = snapshot.next;
        cache.is_complete = true;
        Outcome::Applied
    }

    /// Removes an upstream that is gone.
    pub fn forget(&mut self, upstream: &Upstream) {
        if let Ok(index) = self.find(upstream) {
            self.caches.remove(index);
        }
    }

    /// Returns how many of the leading `blocks` of a prompt the upstream has cached, or `None` if
    /// the content of its cache is unknown.
    pub fn reuse(&self, upstream: &Upstream, blocks: &[Block]) -> Option<usize> {
        let cache = &self.caches[self.find(upstream).ok()?];
        if !cache.is_complete {
            return None;
        }
        let is_cached = |block: &&Block| cache.blocks.binary_search(block).is_ok();
        Some(blocks.iter().take_while(is_cached).count())
    }

    /// Returns the number of blocks that the upstream has cached, or `None` if the content of its
    /// cache is unknown.
    pub fn len(&self, upstream: &Upstream) -> Option<usize> {
        let cache = &self.caches[self.find(upstream).ok()?];
        cache.is_complete.then_some(cache.blocks.len())
    }

    /// Returns whether the index contains no upstream.
    pub fn is_empty(&self) -> bool {
        self.caches.is_empty()
    }
}
