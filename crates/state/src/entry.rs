//! Entries of the log, and snapshots that replace its beginning.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Chunks, Index, Members, Origin, Position, Term};

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader commits the entries of earlier terms with it.
    Empty,
    /// A command for the machines.
    Command {
        /// Who proposed it.
        origin: Origin,
        /// The command.
        bytes: Arc<[u8]>,
    },
    /// The members from this entry on.
    Members(Members),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term in which a leader appended it.
    pub term: Term,
    /// What it holds.
    pub payload: Payload,
}

/// Size of an entry's fixed fields, in bytes, for flow control.
const ENTRY_OVERHEAD_BYTES: usize = 64;

impl Entry {
    /// About how many bytes the entry takes.
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
    /// Its place in the log.
    pub index: Index,
    /// The entry.
    pub entry: Entry,
}

/// The state after all entries up to a position.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers; index 0 in a blank folder.
    pub position: Position,
    /// The members at that entry.
    pub members: Members,
    /// The machines' state; empty for the state before all commands.
    pub data: Chunks,
}
