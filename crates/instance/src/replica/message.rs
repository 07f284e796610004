//! Messages of the replicated log between instances.

use names::Instance;
use serde::{Deserialize, Serialize};
use state::{Envelope, Origin, Proposed};

/// What travels in [`wire::Slice::State`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Message {
    /// Between the cores of voters.
    Core(Envelope),
    /// Asks a voter whether it leads.
    Seek,
    /// Answers [`Message::Seek`].
    Found {
        /// The sender leads, and its lease has not lapsed.
        is_leading: bool,
        /// The leader as far as the sender knows.
        leader: Option<Instance>,
    },
    /// Proposes a command to the leader.
    Forward {
        /// Who proposes.
        origin: Origin,
        /// The command.
        bytes: Vec<u8>,
    },
    /// Answers [`Message::Forward`].
    Outcome {
        /// Number of the proposal.
        sequence: u64,
        /// What became of it.
        proposed: Proposed,
    },
}
