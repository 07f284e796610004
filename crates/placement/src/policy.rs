//! The border between placement policies and their users.

use names::Upstream;

/// An upstream that could take a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub upstream: Upstream,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Requests that it works on, by the [`Knowledge`] that the policy asks for.
    pub in_flight: u32,
}

/// Where a policy wants the load of candidates from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// The newest that instances know of requests in flight.
    Newest,
    /// What upstreams report of themselves, which lags behind.
    Reported,
}

/// Orders candidates for a request.
pub trait Policy {
    /// Sorts `candidates` so that the first is tried first. `key` is the same for all requests
    /// of one conversation. Candidates come in the order of their names.
    fn order(&mut self, key: u64, candidates: &mut Vec<Candidate>);

    /// Takes note that a request with `key` went to `upstream`. Gives the upstream that has the
    /// freshest copy of the conversation's context, where the policy can tell. `home` is the first
    /// by weight of all upstreams that could have it, also of those that take no new work.
    fn placed(&mut self, _key: u64, _upstream: &Upstream, _home: &Upstream) -> Option<Upstream> {
        None
    }

    /// Takes note that another instance sent the conversation to `upstream` last.
    fn learn(&mut self, _key: u64, _upstream: &Upstream) {}

    /// Whether conversations stay where they were sent last, so that instances tell each other.
    fn is_sticky(&self) -> bool {
        false
    }

    /// Where the load of candidates comes from.
    fn knowledge(&self) -> Knowledge {
        Knowledge::Newest
    }
}
