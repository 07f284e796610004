//! Routes: which requests go to which service, and how they may be treated.

use std::time::Duration;

use names::Service;
use serde::{Deserialize, Serialize};

/// What of a request may be repeated at another upstream.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The whole request, any number of times.
    Whole,
    /// Nothing: the request runs once at most.
    Never,
    /// A stream goes on at another upstream after the last event that the caller has.
    Resumed,
}

impl Repeat {
    /// Whether a request that may have run may be sent again.
    pub fn is_idempotent(self) -> bool {
        self != Self::Never
    }
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Its share, against the sum of all weights.
    pub weight: u32,
}

/// Requests of one host whose path starts with one prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that its callers name, in lower case.
    pub host: String,
    /// How its paths begin; starts and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether answers are streams of events.
    pub is_streaming: bool,
    /// The longest time that a request may be kept waiting for its answer.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is on time.
    pub objective: Duration,
    /// The longest pause between two events of a stream that is on time.
    pub pause: Duration,
    /// Its rank; 0 goes first.
    pub rank: u8,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// Most upstreams that one request may be sent to.
    pub attempts: usize,
    /// Whether requests need no API key.
    pub is_anonymous: bool,
    /// Whether requests name the parts of their prompt.
    pub has_prompt: bool,
}

impl Route {
    /// The service for a request that drew `lot`, spread evenly over all numbers.
    pub fn service(&self, lot: u64) -> Option<&Service> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut place = lot.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if place < weight {
                return Some(&target.service);
            }
            place -= weight;
        }
        None
    }
}
