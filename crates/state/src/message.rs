//! Messages between the cores of voters and learners.

use names::Instance;
use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Members, Position, Term, Voter};

/// A message with its sender and addressee.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: Voter,
    /// The instance of the sender.
    pub instance: Instance,
    /// The addressee; none while the sender knows no member.
    pub to: Option<Voter>,
    /// The sender's term.
    pub term: Term,
    /// The message.
    pub message: Message,
}

/// What one core tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's folder is blank.
    Uninitialized,
    /// The sender's folder is not among the members that it knows.
    JoinRequest,
    /// The group was founded with these members, of which the addressee is one.
    Bootstrapped(Members),
    /// Asks whether a vote would be granted in the next term.
    PreVote {
        /// The term to campaign in.
        next_term: Term,
        /// The candidate's last entry.
        last: Position,
    },
    /// Answers [`Message::PreVote`].
    PreVoted {
        /// The term asked for.
        next_term: Term,
        /// Whether the vote would be granted.
        is_granted: bool,
    },
    /// The leader has stepped down and asks the addressee to campaign at once.
    TransferLeadership,
    /// Asks for the vote of the sender's term.
    Vote {
        /// The leader of the term before has stepped down for the sender, so that no lease is
        /// left to wait for.
        is_leadership_transfer: bool,
        /// The candidate's last entry.
        last: Position,
    },
    /// Answers [`Message::Vote`].
    Voted {
        /// Whether the vote is granted.
        is_granted: bool,
    },
    /// Entries of the leader, none in a heartbeat.
    Append {
        /// The entry before them.
        previous: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// When it was sent, in microseconds of the leader's clock.
        sent: u64,
    },
    /// The entries before and in an [`Message::Append`] match the leader's.
    Appended {
        /// Last entry that matches the leader's log.
        verified: Index,
        /// Last entry that matches and is synced.
        synced: Index,
        /// `sent` of the message answered.
        sent: u64,
    },
    /// The entry before an [`Message::Append`] is missing or differs.
    Diverged {
        /// Index of that entry.
        previous: Index,
        /// Last entry that may match.
        hint: Index,
        /// `sent` of the message answered.
        sent: u64,
    },
    /// Part of a snapshot.
    Install {
        /// The position of the snapshot.
        position: Position,
        /// Its members.
        members: Members,
        /// Where the part starts, in bytes.
        offset: u64,
        /// Bytes of the whole snapshot.
        total: u64,
        /// The part.
        bytes: Vec<u8>,
        /// When it was sent, in microseconds of the leader's clock.
        sent: u64,
    },
    /// Answers [`Message::Install`].
    Installing {
        /// The position of the snapshot.
        position: Position,
        /// How many bytes of it are there.
        received: u64,
        /// `sent` of the message answered.
        sent: u64,
    },
    /// Answers [`Message::PreVote`] of a folder that is no member any more.
    Removed {
        /// Up to which entry the sender knows the log to be committed; the addressee is no member there.
        committed: Index,
    },
}
