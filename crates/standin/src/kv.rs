//! Export and import of cached context.

use serde::{Deserialize, Serialize};

/// Cached blocks of a conversation, as one engine exports and another imports them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Context {
    /// The blocks from the start of the conversation, as far as they are cached.
    pub blocks: Vec<u64>,
}
