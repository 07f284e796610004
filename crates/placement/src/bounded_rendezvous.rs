//! Rendezvous hashing with bounded loads.

use names::Upstream;

use crate::rendezvous::sort_by_weight;
use crate::{Candidate, LoadBound, Policy, SpilledConversations, TotalLoad};

/// Orders candidates by their rendezvous weight for the conversation, with those at the load bound
/// last.
///
/// A conversation that spilled from its home to another upstream stays there while that upstream
/// is below the bound, since its copy of the context is more recent.
#[derive(Debug)]
pub struct BoundedRendezvous {
    bound: LoadBound,
    spilled: SpilledConversations,
}

impl BoundedRendezvous {
    /// Creates a policy with the load bound `bound` that remembers up to `capacity` spilled
    /// conversations.
    pub fn new(bound: LoadBound, capacity: usize) -> Self {
        Self { bound, spilled: SpilledConversations::new(capacity) }
    }
}

impl Policy for BoundedRendezvous {
    fn order(&mut self, key: u64, candidates: &mut Vec<Candidate>) {
        sort_by_weight(key, candidates);
        if let Some(upstream) = self.spilled.get(key)
            && let Some(index) = candidates.iter().position(|other| other.upstream == *upstream)
        {
            candidates[..=index].rotate_right(1);
        }
        let total = TotalLoad::of(candidates);
        let bound = self.bound;
        candidates.sort_by_key(|candidate| {
            candidate.in_flight >= bound.max_in_flight(total, candidate.slots)
        });
    }

    fn record_placement(
        &mut self,
        key: u64,
        upstream: &Upstream,
        home: &Upstream,
    ) -> Option<Upstream> {
        let holder = self.spilled.get(key).unwrap_or(home).clone();
        if home == upstream {
            self.spilled.remove(key);
        } else {
            self.spilled.insert(key, upstream);
        }
        Some(holder)
    }

    fn record_location(&mut self, key: u64, upstream: &Upstream) {
        self.spilled.insert(key, upstream);
    }

    fn is_sticky(&self) -> bool {
        true
    }
}
