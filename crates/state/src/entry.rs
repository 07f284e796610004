//! Log entries, and snapshots that replace a prefix of the log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Chunks, Index, Members, Position, ProposalId, Term};

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content. A new leader appends an empty entry to commit the entries of earlier terms.
    Empty,
    /// A command for the replicated state machines.
    Command {
        /// Identifier of the proposal.
        origin: ProposalId,
        /// Encoded command.
        bytes: Arc<[u8]>,
    },
    /// The members that are in force from this entry on.
    Members(Members),
}

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Content of the entry.
    pub payload: Payload,
}

/// Estimated size of the fixed fields of an entry or member, in bytes. Used for flow control.
const ENTRY_OVERHEAD_BYTES: usize = 64;

impl Entry {
    /// Returns the approximate size of the entry in bytes.
    pub fn size(&self) -> usize {
        let payload = match &self.payload {
            Payload::Empty => 0,
            Payload::Command { bytes, .. } => bytes.len(),
            Payload::Members(members) => members.list().len() * ENTRY_OVERHEAD_BYTES,
        };
        payload + ENTRY_OVERHEAD_BYTES
    }
}

/// An entry with its index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Indexed {
    /// Index of the entry in the log.
    pub index: Index,
    /// The entry itself.
    pub entry: Entry,
}

/// State after all entries up to a position.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that the snapshot covers; index 0 in an uninitialized folder.
    pub position: Position,
    /// Members in force at that position.
    pub members: Members,
    /// Encoded state of the state machines; empty before the first command.
    pub data: Chunks,
}
