//! The border between placement policies and their users.

use names::Upstream;

/// An upstream that could take a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub upstream: Upstream,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Requests that it works on, by the newest knowledge.
    pub in_flight: u32,
}

/// Orders candidates for a request.
pub trait Policy {
    /// Sorts `candidates` so that the first is tried first. `key` is the same for all requests
    /// of one conversation.
    fn order(&mut self, key: u64, candidates: &mut Vec<Candidate>);
}
