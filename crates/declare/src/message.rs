//! Gossip messages that distribute revisions between instances.

use serde::{Deserialize, Serialize};

use crate::{Change, Entry, Mark, Revision};

/// Changes from the previous revision to one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Number of the resulting revision.
    pub revision: Revision,
    /// Hash of the complete content after the changes.
    pub mark: Mark,
    /// Changes of the items.
    pub changes: Vec<Change>,
}

impl Delta {
    pub(crate) fn text_bytes(&self) -> usize {
        self.changes.iter().map(Change::text_bytes).sum()
    }
}

impl From<&Entry> for Delta {
    fn from(entry: &Entry) -> Self {
        Self { revision: entry.revision, mark: entry.mark, changes: entry.changes.clone() }
    }
}

/// Summary of the newest revision that an instance knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Number of the revision.
    pub revision: Revision,
    /// Hash of the complete content.
    pub mark: Mark,
    /// Whether the instance knows that the fleet had no newer revision when the instance started.
    pub is_settled: bool,
}

/// Request for the changes after a revision, or for a part of the complete content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Newest revision of the requesting instance.
    pub have: Revision,
    /// Next part to send; set after the first part of the complete content was received.
    pub part: Option<PartRequest>,
}

/// Request for a part of the complete content of a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// Number of the revision.
    pub revision: Revision,
    /// Offset of the part in the encoded content, in bytes.
    pub offset: u64,
}

/// Part of the complete content of a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Number of the revision.
    pub revision: Revision,
    /// Offset of the part in the encoded content, in bytes.
    pub offset: u64,
    /// Length of the encoded content, in bytes.
    pub total: u64,
    /// Bytes of the part.
    pub bytes: Vec<u8>,
}

/// A message between two instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announces the newest revision of the sender.
    Digest(Digest),
    /// Requests the changes or the part that the sender does not have.
    Pull(Pull),
    /// Changes of consecutive revisions.
    Deltas {
        /// Changes of each revision, oldest first.
        deltas: Vec<Delta>,
        /// Newest revision of the sender.
        newest: Revision,
    },
    /// Part of the complete content.
    Part(Part),
}
