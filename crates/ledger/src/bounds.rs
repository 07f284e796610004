//! Bounds of the ledger.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Bounds of the ledger, the same at every voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Most keys.
    pub keys: usize,
    /// Most keys whose records are kept whole, with their answers.
    pub records: usize,
    /// Most bytes of these records and answers.
    pub bytes: usize,
    /// Most bytes of one answer that is kept.
    pub answer_bytes: usize,
    /// The part of the ledger that one account may hold: one of so many.
    pub account_share: usize,
    /// How long after its claim a key is remembered at least.
    pub lifetime: Duration,
    /// How much longer than that a key without its answer may be remembered.
    pub page_span: Duration,
    /// Longest time that an attempt may be running.
    pub hold: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            keys: 768 << 10,
            records: 8 << 10,
            bytes: 4 << 20,
            answer_bytes: 64 << 10,
            account_share: 4,
            lifetime: Duration::from_secs(60 * 60),
            page_span: Duration::from_secs(60),
            hold: Duration::from_secs(5 * 60),
        }
    }
}
