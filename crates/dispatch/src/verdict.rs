//! Knowledge about whether an upstream ran a request.

use serde::{Deserialize, Serialize};

/// Whether an upstream ran a request, as far as the caller of the upstream knows.
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
    /// The upstream responded to the request.
    Answered,
    /// The upstream did not run the request, because no byte that could start the request was sent
    /// or because the upstream rejected the request before running it.
    NotRun,
    /// The upstream may or may not have run the request.
    MayHaveRun,
}

impl Verdict {
    /// Returns whether the request can be sent again without the risk of an unwanted second run.
    pub fn allows_retry(self, is_idempotent: bool) -> bool {
        match self {
            Self::Answered => false,
            Self::NotRun => true,
            Self::MayHaveRun => is_idempotent,
        }
    }
}
