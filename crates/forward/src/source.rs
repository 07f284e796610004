//! Where an engine may fetch context that it has not read.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use names::Upstream;

use crate::policy;

/// An engine that may have read a context.
#[derive(Debug, Clone, PartialEq)]
pub struct Source {
    /// Its name.
    pub upstream: Upstream,
    /// Names it in few bytes.
    pub short: u32,
    /// Whether it answers. One that takes no new work, since it leaves, is a source still.
    pub is_usable: bool,
    /// Whether it is there for so short a time that it has read little.
    pub is_new: bool,
}

/// The place of the engine that most likely has read the context `key`, other than the one `chosen`
/// for the request. Those that read it for this instance lately go first, the last one of them first;
/// then those that were there before, in the order of the key, since requests prefer engines in
/// that order. If it has not, the engine chosen reads the context, as it would without a source.
pub fn source(
    sources: &[Source],
    chosen: &Upstream,
    key: u64,
    holders: &Holders,
    now: Instant,
) -> Option<usize> {
    let usable = (0..sources.len())
        .filter(|place| sources[*place].is_usable && sources[*place].upstream != *chosen);
    usable.max_by_key(|place| {
        let Source { upstream, short, is_new, .. } = &sources[*place];
        (holders.read_at(now, key, *short), Reverse(*is_new), policy::weight_of(upstream, key))
    })
}

/// Contexts that are remembered; some hundreds are in use at a time.
const MOST_HELD: usize = 4096;

/// Share of them that is forgotten when there are more, the oldest first.
const FORGOTTEN: usize = MOST_HELD / 4;

/// How long an engine is taken to keep a context: its memory turns over in about as long.
const HELD_SPAN: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct Held {
    key: u64,
    upstream: u32,
    at: Instant,
}

/// Which engines have read which contexts, from what this instance had answered.
#[derive(Debug, Clone, Default)]
pub struct Holders {
    /// Sorted by context and upstream.
    held: Vec<Held>,
}

impl Holders {
    /// Takes note that an engine has read the context `key`, since it answers a request with it.
    pub fn note(&mut self, now: Instant, key: u64, upstream: u32) {
        let found = self.held.binary_search_by_key(&(key, upstream), |one| (one.key, one.upstream));
        match found {
            Ok(index) => self.held[index].at = now,
            Err(index) => self.held.insert(index, Held { key, upstream, at: now }),
        }
        if self.held.len() > MOST_HELD {
            self.forget_oldest();
        }
    }

    /// When an engine last read the context, if that was lately.
    pub fn read_at(&self, now: Instant, key: u64, upstream: u32) -> Option<Instant> {
        let found = self.held.binary_search_by_key(&(key, upstream), |one| (one.key, one.upstream));
        found.ok().map(|index| self.held[index].at).filter(|at| now < *at + HELD_SPAN)
    }

    /// How many contexts and engines are remembered.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn forget_oldest(&mut self) {
        let mut times: Vec<Instant> = self.held.iter().map(|one| one.at).collect();
        times.sort();
        let limit = times[FORGOTTEN];
        self.held.retain(|one| one.at > limit);
    }
}
