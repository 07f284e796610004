//! Messages by which instances learn revisions of each other.

use serde::{Deserialize, Serialize};

use crate::{Change, Entry, Mark, Revision};

/// The changes of one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The revision that the changes lead to.
    pub revision: Revision,
    /// Hash of the whole content after them.
    pub mark: Mark,
    /// The changes.
    pub changes: Vec<Change>,
}

impl Step {
    pub(crate) fn length(&self) -> usize {
        self.changes.iter().map(Change::length).sum()
    }
}

impl From<&Entry> for Step {
    fn from(entry: &Entry) -> Self {
        Self { revision: entry.revision, mark: entry.mark, changes: entry.changes.clone() }
    }
}

/// The newest revision that an instance knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Its number.
    pub revision: Revision,
    /// Hash of its content.
    pub mark: Mark,
    /// Whether the instance knows that the fleet had no newer one when it started.
    pub is_settled: bool,
}

/// Asks for what leads on from a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The revision that the asking instance has.
    pub have: Revision,
    /// The part of the whole content that it wants next, once it has begun to receive parts.
    pub part: Option<Wanted>,
}

/// A part of the whole content of a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    /// The revision.
    pub revision: Revision,
    /// Where the part starts, in bytes.
    pub offset: u64,
}

/// A part of the whole content of a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The revision.
    pub revision: Revision,
    /// Where the part starts, in bytes.
    pub offset: u64,
    /// Length of the whole, in bytes.
    pub total: u64,
    /// The part.
    pub bytes: Vec<u8>,
}

/// A message between two instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Tells the sender's newest revision.
    Digest(Digest),
    /// Asks for what the sender lacks.
    Pull(Pull),
    /// Changes of consecutive revisions, and the newest revision of the sender.
    Steps {
        /// The changes, oldest first.
        steps: Vec<Step>,
        /// The sender's newest revision.
        newest: Revision,
    },
    /// A part of the whole content.
    Part(Part),
}
