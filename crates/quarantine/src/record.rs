//! What instances tell each other about a part.

use serde::{Deserialize, Serialize};

use crate::{Part, Run};

/// Crash of an upstream as it began the answer to a request with a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Run that ended.
    pub run: Run,
    /// Time since the crash in milliseconds.
    pub age_ms: u32,
}

/// What an instance knows about a part. Clocks of instances are not compared, so times are ages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The part.
    pub part: Part,
    /// Crashes since an answer to a request with the part last got past its beginning.
    pub crashes: Vec<CrashRecord>,
    /// Time in milliseconds since an answer got past its beginning, if one did.
    pub cleared_age_ms: Option<u32>,
    /// Number of trials since the part was last cleared.
    pub trials: u8,
    /// Time in milliseconds since the last trial, or 0 if there was none.
    pub trial_age_ms: u32,
}
