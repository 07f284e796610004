//! The interface between placement policies and their callers.

use names::Upstream;

/// An upstream that could serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Number of requests that the upstream can process at once.
    pub slots: u32,
    /// Number of requests in flight at the upstream, from the policy's [`LoadSource`].
    pub in_flight: u32,
}

/// Source of the load of candidates that a policy asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// The latest count of requests in flight that instances have.
    Tracked,
    /// The load that upstreams report themselves, which lags behind.
    Reported,
}

/// Orders candidates for a request.
pub trait Policy {
    /// Sorts `candidates` so that the one to try first comes first. `key` is the same for all
    /// requests of one conversation. The caller passes the candidates sorted by name.
    fn order(&mut self, key: u64, candidates: &mut Vec<Candidate>);

    /// Records that a request with `key` was sent to `upstream`. Returns the upstream that has the
    /// most recent copy of the conversation's context, or `None` if the policy does not track it.
    /// `home` is the first upstream by rendezvous weight of all that may have the context,
    /// including those that accept no new requests.
    fn record_placement(
        &mut self,
        _key: u64,
        _upstream: &Upstream,
        _home: &Upstream,
    ) -> Option<Upstream> {
        None
    }

    /// Records that another instance sent the conversation to `upstream` last.
    fn record_location(&mut self, _key: u64, _upstream: &Upstream) {}

    /// Returns whether conversations stay at the upstream that they were last sent to, in which
    /// case instances tell each other about it.
    fn is_sticky(&self) -> bool {
        false
    }

    /// Returns the source of the load of candidates.
    fn load_source(&self) -> LoadSource {
        LoadSource::Tracked
    }
}
