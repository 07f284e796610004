//! Rendezvous hashing: each key defines its own order of names, which changes little when names
//! are added or removed.

use std::cmp::Reverse;

use names::Upstream;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Candidate, Policy};

/// Returns the weight of `name` for `key`. The name with the greatest weight comes first.
pub fn weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Returns the home upstream of a conversation: the one of `known` with the greatest weight for
/// `key`.
pub fn home<'a, I>(key: u64, known: I) -> Option<&'a Upstream>
where
    I: IntoIterator<Item = &'a Upstream>,
{
    known.into_iter().max_by_key(|upstream| weight(key, upstream.as_str()))
}

/// Sorts candidates by descending weight for `key`.
pub(crate) fn sort_by_weight(key: u64, candidates: &mut [Candidate]) {
    candidates.sort_by_cached_key(|candidate| Reverse(weight(key, candidate.upstream.as_str())));
}

/// Orders candidates by their rendezvous weight for the conversation, regardless of their load.
#[derive(Debug, Default, Clone, Copy)]
pub struct Rendezvous;

impl Policy for Rendezvous {
    fn order(&mut self, key: u64, candidates: &mut Vec<Candidate>) {
        sort_by_weight(key, candidates);
    }

    fn record_placement(&mut self, _: u64, _: &Upstream, home: &Upstream) -> Option<Upstream> {
        Some(home.clone())
    }
}
