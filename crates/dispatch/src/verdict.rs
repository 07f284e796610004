//! Whether a request may have run.

use serde::{Deserialize, Serialize};

/// What is known of a request's effect at its upstream.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// The upstream answered.
    Answered,
    /// The upstream did not run the request: no byte that could start it was handed over.
    NotRun,
    /// The upstream may or may not have run the request.
    MayHaveRun,
}

impl Verdict {
    /// Whether another attempt can do no harm.
    pub fn allows_retry(self, is_idempotent: bool) -> bool {
        match self {
            Self::Answered => false,
            Self::NotRun => true,
            Self::MayHaveRun => is_idempotent,
        }
    }
}
