//! Upstreams that a placement policy can choose from.

use std::time::Duration;

use names::Upstream;

use crate::EngineCost;

/// An upstream that can take a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Whether the upstream runs in the data centre of this instance.
    pub is_local: bool,
    /// Estimated number of requests of all instances at the upstream.
    pub load: f64,
    /// Number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Prompt tokens sent by this instance that the upstream has probably not prefilled yet.
    pub backlog: f64,
    /// Share, from 0 to 1, of the requests preferring the upstream that are sent to it. The share
    /// is below 1 for a new upstream, which has no cached context and whose load is not known yet.
    pub slow_start_share: f64,
    /// Whether the upstream has requests of this instance and has sent nothing for longer than the
    /// prefill of a usual prompt takes. No instance learns the load of such an upstream.
    pub is_unresponsive: bool,
    /// Rate limit that the upstream names, within which it takes a request now.
    pub limit: NamedLimit,
    /// Whether the upstream failed recently, so that other candidates are preferred.
    pub is_avoided: bool,
    /// Cost of the request at the upstream. `None` for a service whose upstreams name no pace.
    pub cost: Option<EngineCost>,
}

/// What is known about the limit on the rate of requests to a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedLimit {
    /// The upstream names no limit.
    None,
    /// The upstream named a limit in a recent answer.
    Recent,
    /// The upstream named a limit, and has not answered for a while. The limit may have ended,
    /// which only another answer can tell.
    Old,
    /// The upstream is cold, whether or not it names a limit. Warm upstreams are preferred.
    Cold,
}

/// Duration of the slow start of a new upstream. The prefill of the contexts that a new upstream
/// takes over lasts some seconds.
const SLOW_START_DURATION: Duration = Duration::from_secs(6);

/// Share of its requests that an upstream gets at the beginning of its slow start.
const INITIAL_SHARE: f64 = 0.15;

/// Returns the share of its requests, from 0 to 1, that an upstream gets when it has been known for
/// `age`.
pub fn slow_start_share(age: Duration) -> f64 {
    let progress = age.as_secs_f64() / SLOW_START_DURATION.as_secs_f64();
    (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress).min(1.0)
}

impl Candidate {
    /// Returns the estimated number of requests per slot.
    pub fn utilisation(&self) -> f64 {
        self.load / f64::from(self.slots.max(1))
    }
}
