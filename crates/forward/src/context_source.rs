//! Chooses the engine from which another engine fetches a cached context.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use names::Upstream;

use crate::policy;

/// An engine that may have a context in its cache.
#[derive(Debug, Clone, PartialEq)]
pub struct ContextSource {
    /// Name of the engine.
    pub upstream: Upstream,
    /// Short hash of the name.
    pub short_hash: u32,
    /// Whether the engine responds. An engine that drains and takes no new requests is still a
    /// source.
    pub is_usable: bool,
    /// Whether the engine joined so recently that its cache holds few contexts.
    pub is_new: bool,
}

/// Returns the index of the engine other than `chosen`, the engine of the request, that most likely
/// has the context `key` in its cache, or `None` if there is no usable one.
///
/// Engines that prefilled the context for this instance recently are preferred, the latest one
/// first. The others follow, new engines last, in the rendezvous order of the key, since requests
/// prefer engines in that order. If the source does not have the context, the chosen engine
/// prefills the context as it would without a source.
pub fn find_context_source(
    sources: &[ContextSource],
    chosen: &Upstream,
    key: u64,
    holders: &ContextHolders,
    now: Instant,
) -> Option<usize> {
    let usable = (0..sources.len())
        .filter(|index| sources[*index].is_usable && sources[*index].upstream != *chosen);
    usable.max_by_key(|index| {
        let ContextSource { upstream, short_hash, is_new, .. } = &sources[*index];
        (
            holders.prefilled_at(now, key, *short_hash),
            Reverse(*is_new),
            policy::rendezvous_weight_of(upstream, key),
        )
    })
}

/// Maximum number of remembered pairs of a context and an engine. Some hundreds are in use at a
/// time.
const MAX_ENTRIES: usize = 4096;

/// Number of entries that are evicted, the oldest first, when there are more than the maximum.
const EVICTED_ENTRIES: usize = MAX_ENTRIES / 4;

/// How long an engine is assumed to keep a context. An engine replaces all contexts in its cache in
/// about this time.
const RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct CachedContext {
    key: u64,
    upstream: u32,
    prefilled_at: Instant,
}

/// The engines that have contexts in their caches, learnt from the responses that this instance
/// received.
#[derive(Debug, Clone, Default)]
pub struct ContextHolders {
    /// Sorted by context and upstream.
    entries: Vec<CachedContext>,
}

impl ContextHolders {
    /// Records that an engine has prefilled the context `key`, since the engine responds to a
    /// request with this context.
    pub fn record(&mut self, now: Instant, key: u64, upstream: u32) {
        let found = self
            .entries
            .binary_search_by_key(&(key, upstream), |entry| (entry.key, entry.upstream));
        match found {
            Ok(index) => self.entries[index].prefilled_at = now,
            Err(index) => {
                self.entries.insert(index, CachedContext { key, upstream, prefilled_at: now })
            }
        }
        if self.entries.len() > MAX_ENTRIES {
            self.evict_oldest();
        }
    }

    /// Returns when an engine last prefilled the context, or `None` if that was too long ago.
    pub fn prefilled_at(&self, now: Instant, key: u64, upstream: u32) -> Option<Instant> {
        let found = self
            .entries
            .binary_search_by_key(&(key, upstream), |entry| (entry.key, entry.upstream));
        found.ok().map(|index| self.entries[index].prefilled_at).filter(|at| now < *at + RETENTION)
    }

    /// Returns the number of remembered pairs of a context and an engine.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no context is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn evict_oldest(&mut self) {
        let mut times: Vec<Instant> = self.entries.iter().map(|entry| entry.prefilled_at).collect();
        times.sort();
        let limit = times[EVICTED_ENTRIES];
        self.entries.retain(|entry| entry.prefilled_at > limit);
    }
}
