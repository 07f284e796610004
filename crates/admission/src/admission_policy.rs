//! Admission policy that the settings select.

use serde::{Deserialize, Serialize};

use crate::{AdmissionQueue, Fifo, Ranked};

/// Admission policy of an upstream.
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
pub enum AdmissionPolicy {
    /// Priority by rank with minimum shares, fair queueing by account, and deadlines.
    #[default]
    Ranked,
    /// First in, first out.
    Fifo,
}

impl AdmissionPolicy {
    /// Creates an admission queue that allows at most `max_running` running and `max_waiting`
    /// waiting requests. The FIFO queue does not limit the number of waiting requests.
    pub fn create_queue(self, max_running: u32, max_waiting: usize) -> Box<dyn AdmissionQueue> {
        match self {
            Self::Ranked => Box::new(Ranked::new(max_running, max_waiting)),
            Self::Fifo => Box::new(Fifo::new(max_running)),
        }
    }
}
