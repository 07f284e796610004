//! Routes, which assign requests to services and set their timeouts and retries.

use std::time::Duration;

use names::Service;
use serde::{Deserialize, Serialize};

/// Which requests may be retried on another upstream.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The whole request may be retried any number of times.
    Whole,
    /// The request runs at most once.
    Never,
    /// Another upstream resumes the stream after the last event that the caller has received.
    Resumed,
}

impl Repeat {
    /// Whether a request that may already have been executed may be sent again.
    pub fn is_idempotent(self) -> bool {
        self != Self::Never
    }
}

/// A service that receives a fraction of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Service,
    /// Weight of the service, relative to the sum of the weights of all targets.
    pub weight: u32,
}

/// Settings for the requests to one host whose path starts with one prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Prefix of the request paths; starts and ends with a slash.
    pub prefix: String,
    /// Which requests may be retried.
    pub repeat: Repeat,
    /// Whether responses are event streams.
    pub is_streaming: bool,
    /// Maximum time until the response to a request.
    pub timeout: Duration,
    /// Latency objective for the response, or for the first event of a stream.
    pub objective: Duration,
    /// Maximum time between two events of a stream that meets its latency objective.
    pub pause: Duration,
    /// Priority of the requests; 0 is the highest.
    pub rank: u8,
    /// Services that receive the requests.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that one request is sent to.
    pub attempts: usize,
    /// Whether requests without an API key are allowed.
    pub is_anonymous: bool,
    /// Whether requests list the parts of their prompt.
    pub has_prompt: bool,
}

impl Route {
    /// Returns the service for a request by weighted selection.
    ///
    /// `sample` must be uniformly distributed over all values. Returns `None` if the weights add up
    /// to 0.
    pub fn service(&self, sample: u64) -> Option<&Service> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut offset = sample.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if offset < weight {
                return Some(&target.service);
            }
            offset -= weight;
        }
        None
    }
}
