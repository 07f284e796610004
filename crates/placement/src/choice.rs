//! The choice of a policy by a setting.

use serde::{Deserialize, Serialize};

use crate::{Bound, Bounded, LeastLoad, Policy, Random, Rendezvous, RoundRobin};

/// Spilled conversations that one instance remembers.
const MAX_SPILLS: usize = 8192;

/// The placement policies.
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
pub enum Choice {
    /// Rendezvous hashing with bounded loads.
    #[default]
    Bounded,
    /// Rendezvous hashing, whatever the load.
    Rendezvous,
    /// One after another.
    RoundRobin,
    /// At random.
    Random,
    /// The least load that upstreams report of themselves.
    LeastLoad,
}

impl Choice {
    /// A new policy; `seed` is for random ones.
    pub fn policy(self, bound: Bound, seed: u64) -> Box<dyn Policy> {
        match self {
            Self::Bounded => Box::new(Bounded::new(bound, MAX_SPILLS)),
            Self::Rendezvous => Box::new(Rendezvous),
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::Random => Box::new(Random::new(seed)),
            Self::LeastLoad => Box::new(LeastLoad),
        }
    }
}
