//! Data format for the export and import of cached context.

use serde::{Deserialize, Serialize};

/// Cached blocks of a conversation, which one engine exports and another imports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Context {
    /// Hashes of the cached blocks from the start of the conversation up to the first missing one.
    pub blocks: Vec<u64>,
}
