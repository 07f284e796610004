//! What instances tell each other about a key.

use serde::{Deserialize, Serialize};

use crate::{Key, Run};

/// Crash of an upstream as it began the answer to a request with a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Run that ended.
    pub run: Run,
    /// Time since the crash in milliseconds.
    pub age_ms: u32,
}

/// What an instance knows about a key. Clocks of instances are not compared, so times are ages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: Key,
    /// Crashes since an answer to a request with the key last got past its beginning.
    pub crashes: Vec<CrashRecord>,
    /// Time in milliseconds since an answer got past its beginning, if one did.
    pub cleared_age_ms: Option<u32>,
    /// Number of trials since the key was last cleared.
    pub trials: u8,
    /// Time in milliseconds since the last trial, or 0 if there was none.
    pub trial_age_ms: u32,
}
