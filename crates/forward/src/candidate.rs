//! Upstreams as a policy sees them.

use std::time::Duration;

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
    /// Share of the requests that prefer it which it gets, from 0 to 1: a new upstream has read no
    /// context yet, and nobody has heard of its load.
    pub warmth: f64,
    /// Whether it has requests of this instance and has sent nothing for longer than reading a usual
    /// prompt takes, so that it is behind and has told nobody.
    pub is_behind: bool,
    /// Whether it failed lately, so that others go first.
    pub is_avoided: bool,
}

/// How long an upstream counts as new. Reading the contexts that it takes over lasts some seconds.
const WARMING_SPAN: Duration = Duration::from_secs(6);

/// Share of its requests that an upstream gets at first.
const FIRST_SHARE: f64 = 0.15;

/// The warmth of an upstream that is known for `age`.
pub fn warmth(age: Duration) -> f64 {
    let part = age.as_secs_f64() / WARMING_SPAN.as_secs_f64();
    (FIRST_SHARE + (1.0 - FIRST_SHARE) * part).min(1.0)
}

impl Candidate {
    /// Its load for each of its slots.
    pub fn utilisation(&self) -> f64 {
        self.load / f64::from(self.slots.max(1))
    }
}
