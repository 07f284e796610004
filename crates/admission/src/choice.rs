//! The choice of a desk by a setting.

use serde::{Deserialize, Serialize};

use crate::{Desk, Fifo, Ranked};

/// The admission policies.
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
    /// Ranks with least shares, fair accounts, deadlines.
    #[default]
    Ranked,
    /// First in, first out.
    Fifo,
}

impl Choice {
    /// A new desk at which `room` requests may run and `max_waiting` may wait at once. The
    /// baseline's queue has no bound.
    pub fn desk(self, room: u32, max_waiting: usize) -> Box<dyn Desk> {
        match self {
            Self::Ranked => Box::new(Ranked::new(room, max_waiting)),
            Self::Fifo => Box::new(Fifo::new(room)),
        }
    }
}
