//! Messages about the replicated log between instances.

use names::Instance;
use serde::{Deserialize, Serialize};
use state::{Envelope, ProposalId, ProposalOutcome};

/// Payload of a message in [`wire::Slice::State`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Message {
    /// Message between the consensus cores of two members.
    Core(Envelope),
    /// Asks a voter whether it is the leader.
    FindLeader,
    /// Response to [`Message::FindLeader`].
    LeaderStatus {
        /// Whether the sender is the leader and its leader lease has not expired.
        is_leading: bool,
        /// Leader as far as the sender knows.
        leader: Option<Instance>,
    },
    /// Proposes a command to the leader.
    Forward {
        /// Identity of the proposal.
        origin: ProposalId,
        /// Encoded command.
        bytes: Vec<u8>,
    },
    /// Response to [`Message::Forward`].
    Outcome {
        /// Sequence number of the proposal.
        sequence: u64,
        /// Outcome of the proposal.
        proposed: ProposalOutcome,
    },
}
