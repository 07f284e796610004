//! The border between the log and the state that it replicates.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Chunks;

/// Position of a command in the log, from 1.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Index(pub u64);

impl fmt::Display for Index {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Largest command, in bytes; a larger one would not fit a frame between instances.
pub const MAX_COMMAND_BYTES: usize = 1 << 20;

/// State that is computed from committed commands alone, the same at every voter.
pub trait Machine {
    /// Applies the command at `index` and gives its outcome. Neither clocks nor random numbers
    /// may be used; a time that matters is part of the command.
    fn apply(&mut self, index: Index, command: &[u8]) -> Vec<u8>;

    /// The whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;

    /// The whole state as pieces, of which a large machine shares those that did not change.
    fn snapshot_chunks(&self) -> Chunks {
        Chunks::from(self.snapshot())
    }

    /// Replaces the state by that of a snapshot; false when the bytes are no snapshot.
    fn restore(&mut self, snapshot: &[u8]) -> bool;
}

/// What became of a proposed command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposed {
    /// It is committed, and this is its outcome.
    Applied {
        /// Its position.
        index: Index,
        /// What the machine gave for it.
        outcome: Vec<u8>,
    },
    /// It is not and will not be committed: there is no leader within reach, or the command is
    /// larger than [`MAX_COMMAND_BYTES`].
    NotRun,
    /// It may or may not become committed.
    Unknown,
}
