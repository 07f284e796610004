//! Messages between the consensus cores of voters and learners.

use names::Instance;
use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Members, Position, Term, VoterId};

/// A message with its sender and recipient.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Identifier of the sender.
    pub from: VoterId,
    /// Instance of the sender.
    pub instance: Instance,
    /// Identifier of the recipient; `None` if the sender does not know it.
    pub to: Option<VoterId>,
    /// Current term of the sender.
    pub term: Term,
    /// Content of the message.
    pub message: Message,
}

/// Content of a message between two cores.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announces that the data folder of the sender is uninitialized.
    Uninitialized,
    /// Asks to be added: the data folder of the sender is not among the members that the sender
    /// knows.
    JoinRequest,
    /// Announces that the group was bootstrapped with these members, one of which is the recipient.
    Bootstrapped(Members),
    /// Asks whether the recipient would vote for the sender in the next term.
    PreVote {
        /// Term of the planned election.
        next_term: Term,
        /// Position of the last entry of the candidate.
        last: Position,
    },
    /// Response to [`Message::PreVote`].
    PreVoted {
        /// Term of the planned election.
        next_term: Term,
        /// Whether the sender would grant its vote.
        is_granted: bool,
    },
    /// Tells the recipient that the leader has stepped down and that it should start an election
    /// immediately.
    TransferLeadership,
    /// Requests a vote for the term of the sender.
    Vote {
        /// Whether the leader of the previous term has stepped down in favour of the sender, in
        /// which case no lease has to expire first.
        is_leadership_transfer: bool,
        /// Position of the last entry of the candidate.
        last: Position,
    },
    /// Response to [`Message::Vote`].
    Voted {
        /// Whether the vote was granted.
        is_granted: bool,
    },
    /// Entries from the leader; a heartbeat contains none.
    Append {
        /// Position of the entry before the first one.
        previous: Position,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: Index,
        /// Send time, in microseconds of the leader's clock.
        sent: u64,
    },
    /// Response to [`Message::Append`] if the previous entry and the new ones match the leader's
    /// log.
    Appended {
        /// Index of the last entry that matches the leader's log.
        verified: Index,
        /// Index of the last entry that matches and is synced.
        synced: Index,
        /// `sent` of the message that this one responds to; 0 in an unsolicited report.
        sent: u64,
    },
    /// Response to [`Message::Append`] if the previous entry is missing or differs.
    Diverged {
        /// Index of that entry.
        previous: Index,
        /// Index of the last entry that may match.
        hint: Index,
        /// `sent` of the message that this one responds to.
        sent: u64,
    },
    /// Part of a snapshot.
    Install {
        /// Position of the snapshot.
        position: Position,
        /// Members in force at that position.
        members: Members,
        /// Offset of the part in the snapshot, in bytes.
        offset: u64,
        /// Size of the whole snapshot, in bytes.
        total: u64,
        /// Content of the part.
        bytes: Vec<u8>,
        /// Send time, in microseconds of the leader's clock.
        sent: u64,
    },
    /// Response to [`Message::Install`].
    Installing {
        /// Position of the snapshot.
        position: Position,
        /// Number of bytes received so far.
        received: u64,
        /// `sent` of the message that this one responds to.
        sent: u64,
    },
    /// Response to [`Message::PreVote`] from a data folder that is no longer a member.
    Removed {
        /// Commit index of the sender; the recipient is not a member at that index.
        committed: Index,
    },
}
