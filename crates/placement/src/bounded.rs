//! Rendezvous hashing with bounded loads.

use names::Upstream;

use crate::rendezvous::sort;
use crate::{Bound, Candidate, Policy, Spills, Sum};

/// Orders candidates by their weight for the conversation, those at the bound last.
///
/// A conversation that went to another upstream than its first stays there while that one is
/// below the bound, since its copy of the context is the fresher.
#[derive(Debug)]
pub struct Bounded {
    bound: Bound,
    spills: Spills,
}

impl Bounded {
    /// A policy with `bound` that remembers `spills` spilled conversations.
    pub fn new(bound: Bound, spills: usize) -> Self {
        Self { bound, spills: Spills::new(spills) }
    }
}

impl Policy for Bounded {
    fn order(&mut self, key: u64, candidates: &mut Vec<Candidate>) {
        sort(key, candidates);
        if let Some(upstream) = self.spills.get(key)
            && let Some(index) = candidates.iter().position(|other| other.upstream == *upstream)
        {
            candidates[..=index].rotate_right(1);
        }
        let sum = Sum::of(candidates);
        let bound = self.bound;
        candidates.sort_by_key(|candidate| candidate.in_flight >= bound.most(sum, candidate.slots));
    }

    fn placed(&mut self, key: u64, upstream: &Upstream, home: &Upstream) -> Option<Upstream> {
        let holder = self.spills.get(key).unwrap_or(home).clone();
        if home == upstream {
            self.spills.remove(key);
        } else {
            self.spills.insert(key, upstream);
        }
        Some(holder)
    }

    fn learn(&mut self, key: u64, upstream: &Upstream) {
        self.spills.insert(key, upstream);
    }

    fn is_sticky(&self) -> bool {
        true
    }
}
