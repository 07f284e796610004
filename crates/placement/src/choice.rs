//! Placement policy that the settings select.

use serde::{Deserialize, Serialize};

use crate::{BoundedRendezvous, LeastLoad, LoadBound, Policy, Random, Rendezvous, RoundRobin};

/// Number of spilled conversations that one instance remembers.
const MAX_SPILLED_CONVERSATIONS: usize = 8192;

/// Placement policies that the setting can name.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyKind {
    /// Rendezvous hashing with bounded loads.
    #[default]
    Bounded,
    /// Rendezvous hashing, regardless of the load.
    Rendezvous,
    /// Each upstream in turn.
    RoundRobin,
    /// Random order.
    Random,
    /// Lowest load per slot, as reported by the upstreams.
    LeastLoad,
}

impl PolicyKind {
    /// Creates the policy. Policies with randomness use `seed`.
    pub fn policy(self, bound: LoadBound, seed: u64) -> Box<dyn Policy> {
        match self {
            Self::Bounded => Box::new(BoundedRendezvous::new(bound, MAX_SPILLED_CONVERSATIONS)),
            Self::Rendezvous => Box::new(Rendezvous),
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::Random => Box::new(Random::new(seed)),
            Self::LeastLoad => Box::new(LeastLoad),
        }
    }
}
