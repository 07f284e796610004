//! Interface between the replicated log and the state machines on top of it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Chunks;

/// Index of an entry in the log, counted from 1.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Index(pub u64);

impl fmt::Display for Index {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Maximum size of a command, in bytes. A larger command would not fit into a frame between
/// instances.
pub const MAX_COMMAND_BYTES: usize = 1 << 20;

/// A deterministic state machine that is computed from committed commands alone and is identical at
/// every voter.
pub trait Machine {
    /// Applies the command at `index` and returns its encoded outcome. Implementations must not use
    /// clocks or random numbers; any relevant time is part of the command.
    fn apply(&mut self, index: Index, command: &[u8]) -> Vec<u8>;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Encodes the whole state as pieces. A large state machine shares the pieces that did not
    /// change between snapshots.
    fn snapshot_chunks(&self) -> Chunks {
        Chunks::from(self.snapshot())
    }

    /// Replaces the state with that of a snapshot. Returns `false` if the bytes are not a valid
    /// snapshot.
    fn restore(&mut self, snapshot: &[u8]) -> bool;
}

/// Result of a proposed command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The command was committed and applied.
    Applied {
        /// Index of the command in the log.
        index: Index,
        /// Encoded outcome from the state machine.
        outcome: Vec<u8>,
    },
    /// The command is not committed and never will be: no leader is reachable, or the command is
    /// larger than [`MAX_COMMAND_BYTES`].
    NotRun,
    /// The command may or may not be committed.
    Unknown,
}
