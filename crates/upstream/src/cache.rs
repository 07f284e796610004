//! What upstreams say of the context that they have cached.
//!
//! Events arrive late and with gaps. [`Index`] trusts what it knows of an upstream's cache only
//! while no event is missing; after a gap it knows nothing until a snapshot arrives.

use names::{Incarnation, Upstream};
use serde::{Deserialize, Serialize};

use crate::Error;

/// Most blocks remembered of one upstream; further ones count as not cached.
const MAX_BLOCKS: usize = 1 << 16;

/// One cached block of context: the hash of the prompt up to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Block(pub u64);

/// One change of a cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// The block was stored.
    Stored(Block),
    /// The block was evicted.
    Evicted(Block),
}

/// Changes of an upstream's cache, numbered without gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Events {
    /// The reporting upstream.
    pub upstream: Upstream,
    /// Its run.
    pub incarnation: Incarnation,
    /// Number of the first change; the first of a run is 0.
    pub first: u64,
    /// The changes in their order.
    pub changes: Vec<Change>,
}

/// All cached blocks of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The reporting upstream.
    pub upstream: Upstream,
    /// Its run.
    pub incarnation: Incarnation,
    /// Number of the first change that is not contained.
    pub next: u64,
    /// The blocks.
    pub blocks: Vec<Block>,
}

impl TryFrom<&[u8]> for Events {
    type Error = Error;

    fn try_from(body: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(body).map_err(|source| Error::Form { what: "cache events", source })
    }
}

impl TryFrom<&[u8]> for Snapshot {
    type Error = Error;

    fn try_from(body: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(body)
            .map_err(|source| Error::Form { what: "cache snapshot", source })
    }
}

/// What became of events or a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// They are part of the index.
    Applied,
    /// They were known before or are of an earlier run.
    Repeated,
    /// Changes are missing; the upstream should send a snapshot.
    Resync,
}

#[derive(Debug)]
struct Cache {
    upstream: Upstream,
    incarnation: Incarnation,
    next: u64,
    is_whole: bool,
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
        self.next += 1;
    }

    fn distrust(&mut self) -> Outcome {
        self.is_whole = false;
        self.blocks = Vec::new();
        Outcome::Resync
    }

    fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.next = 0;
        self.is_whole = true;
        self.blocks = Vec::new();
    }
}

/// The caches of upstreams, sorted by name.
#[derive(Debug, Default)]
pub struct Index {
    caches: Vec<Cache>,
}

impl Index {
    fn find(&self, upstream: &Upstream) -> Result<usize, usize> {
        self.caches.binary_search_by(|cache| cache.upstream.cmp(upstream))
    }

    /// The cache of that run, empty when it is new; none when a later run is known.
    fn cache(&mut self, upstream: &Upstream, incarnation: Incarnation) -> Option<&mut Cache> {
        let index = self.find(upstream).unwrap_or_else(|index| {
            let upstream = upstream.clone();
            let blocks = Vec::new();
            let cache = Cache { upstream, incarnation, next: 0, is_whole: true, blocks };
            self.caches.insert(index, cache);
            index
        });
        let cache = &mut self.caches[index];
        if cache.incarnation < incarnation {
            cache.restart(incarnation);
        }
        (cache.incarnation == incarnation).then_some(cache)
    }

    /// Takes changes of an upstream's cache.
    pub fn take(&mut self, events: Events) -> Outcome {
        let Some(cache) = self.cache(&events.upstream, events.incarnation) else {
            return Outcome::Repeated;
        };
        let end = events.first.saturating_add(events.changes.len() as u64);
        if end <= cache.next {
            return Outcome::Repeated;
        }
        if events.first > cache.next || !cache.is_whole {
            return cache.distrust();
        }
        let known = (cache.next - events.first) as usize;
        events.changes.into_iter().skip(known).for_each(|change| cache.apply(change));
        Outcome::Applied
    }

    /// Takes all blocks of an upstream's cache.
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
        cache.is_whole = true;
        Outcome::Applied
    }

    /// Forgets an upstream that is gone.
    pub fn forget(&mut self, upstream: &Upstream) {
        if let Ok(index) = self.find(upstream) {
            self.caches.remove(index);
        }
    }

    /// How many of the leading `blocks` of a prompt the upstream has cached; none when that is
    /// not known.
    pub fn reuse(&self, upstream: &Upstream, blocks: &[Block]) -> Option<usize> {
        let cache = &self.caches[self.find(upstream).ok()?];
        if !cache.is_whole {
            return None;
        }
        let is_cached = |block: &&Block| cache.blocks.binary_search(block).is_ok();
        Some(blocks.iter().take_while(is_cached).count())
    }

    /// Number of blocks that the upstream has cached; none when that is not known.
    pub fn len(&self, upstream: &Upstream) -> Option<usize> {
        let cache = &self.caches[self.find(upstream).ok()?];
        cache.is_whole.then_some(cache.blocks.len())
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.caches.is_empty()
    }
}
