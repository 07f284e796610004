//! Upstreams as a policy sees them.

use names::Upstream;

/// An upstream that could take a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub upstream: Upstream,
    /// Whether it runs in the data centre of this instance.
    pub is_near: bool,
    /// Requests that it is estimated to hold, from all instances.
    pub load: f64,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Prompt tokens sent to it by this instance that it has probably not read yet.
    pub backlog: f64,
    /// Whether it failed lately, so that others go first.
    pub is_avoided: bool,
}

impl Candidate {
    /// Its load for each of its slots.
    pub fn utilisation(&self) -> f64 {
        self.load / f64::from(self.slots.max(1))
    }
}
