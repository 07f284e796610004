//! Limits on the size and retention of the ledger.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits on the size and retention of the ledger, which must be the same on every voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Maximum number of keys.
    pub keys: usize,
    /// Maximum number of full records, which include the response.
    pub records: usize,
    /// Maximum total size of full records, in bytes.
    pub bytes: usize,
    /// Maximum size of one stored response, in bytes.
    pub answer_bytes: usize,
    /// Divisor that gives the share of one account: an account may use `1 / account_share` of
    /// each limit.
    pub account_share: usize,
    /// Minimum time that a key is retained after its claim.
    pub lifetime: Duration,
    /// Maximum time that an archived key is retained beyond `lifetime`.
    pub page_span: Duration,
    /// Maximum time that an attempt may run.
    pub max_timeout: Duration,
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
            max_timeout: Duration::from_secs(5 * 60),
        }
    }
}
