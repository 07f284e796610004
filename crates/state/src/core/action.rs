//! Inputs, outputs and parameters of the consensus core.

use std::sync::Arc;
use std::time::Duration;

use names::Instance;

use crate::{Ballot, Chunks, Entry, Envelope, Index, Indexed, ProposalId, Snapshot, VoterId};

/// Timing parameters of the protocol. They must be the same at all voters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Interval between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Base election timeout. A voter that has heard from a leader grants no vote for this time.
    pub election_timeout: Duration,
    /// Time for which a leader may act after it was last in contact with a quorum. Must be shorter
    /// than `election_timeout` by more than the clocks of two voters can drift apart in that time.
    pub lease_duration: Duration,
    /// Time for which a voter that grants a pre-vote delays its own election, and for which a
    /// voter in a pre-vote refuses candidates of lower priority. Covers two round trips and two
    /// syncs at loaded voters.
    pub pre_vote_window: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(250),
            election_timeout: Duration::from_millis(1000),
            lease_duration: Duration::from_millis(900),
            pre_vote_window: Duration::from_millis(500),
        }
    }
}

/// Limits on what a leader sends before it has received responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowLimits {
    /// Maximum size of the entries in one message, in bytes.
    pub append_bytes: usize,
    /// Maximum number of unacknowledged messages with entries per member.
    pub in_flight: usize,
    /// Maximum size of a snapshot part in one message, in bytes.
    pub part_bytes: usize,
    /// Number of entries before a snapshot that stay in memory for members that lag slightly.
    pub trailing_entries: u64,
}

impl Default for FlowLimits {
    fn default() -> Self {
        Self {
            append_bytes: 128 << 10,
            in_flight: 16,
            part_bytes: 128 << 10,
            trailing_entries: 256,
        }
    }
}

/// Configuration of a core.
#[derive(Debug, Clone)]
pub struct CoreConfig {
    /// Identifier of the data folder.
    pub me: VoterId,
    /// Instance that runs the core.
    pub instance: Instance,
    /// Initial voters, which bootstrap the group together.
    pub initial_voters: Vec<Instance>,
    /// Whether this instance may bootstrap the group. Otherwise it waits until it is added to an
    /// existing group.
    pub may_bootstrap: bool,
    /// Timing parameters of the protocol.
    pub timing: Timing,
    /// Limits on messages.
    pub flow: FlowLimits,
    /// Random seed of the election timeouts.
    pub seed: u64,
}

/// State recovered from the data folder.
#[derive(Debug, Clone, Default)]
pub struct Recovered {
    /// Last stored term and vote.
    pub ballot: Ballot,
    /// Newest snapshot; the default value in an uninitialized folder.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Input to the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// The time returned by `Core::next_tick` has come.
    Tick,
    /// A message was received.
    Receive(Envelope),
    /// All writes up to and including `write_number` are synced.
    Synced {
        /// [`Write::write_number`] of the last synced write.
        write_number: u64,
    },
    /// A command is proposed to this voter.
    Propose {
        /// Identifier of the proposal.
        origin: ProposalId,
        /// Encoded command.
        bytes: Arc<[u8]>,
    },
    /// The process is about to stop. A leader transfers its leadership, and the voter starts no
    /// more elections.
    Retire,
    /// Target voters, sorted; empty to keep the current voters.
    Target(Vec<Instance>),
    /// Other live instances that may store the log, in addition to the initial voters. An
    /// uninitialized or non-member folder announces itself to them.
    Contacts(Vec<Instance>),
    /// State of the state machines after the applied entry `index`. Entries before it may be
    /// discarded.
    Compact {
        /// Index of the last entry included in the state.
        index: Index,
        /// Encoded state of the state machines.
        data: Chunks,
    },
}

/// A request to write and sync data.
#[derive(Debug, Clone)]
pub struct Write {
    /// Sequence number of the write; increases by one with every write.
    pub write_number: u64,
    /// Term and vote, if they changed.
    pub ballot: Option<Ballot>,
    /// Snapshot that replaces all entries written before.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether the snapshot came from a leader and replaces a log that does not lead up to it.
    /// After a crash, none of the old entries may be recovered together with the new ones.
    pub replaces_log: bool,
    /// Entries to write. Each one replaces the earlier entries at its index and after it.
    pub entries: Vec<Indexed>,
}

/// Output of the core that the caller has to carry out.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a message.
    Send {
        /// Instance that the message is sent to.
        addressee: Instance,
        /// Message to send.
        envelope: Envelope,
    },
    /// Write and sync, then report [`Input::Synced`]. Several writes may be synced together.
    Persist(Write),
    /// Apply a committed entry to the state machines.
    Apply {
        /// Index of the entry.
        index: Index,
        /// The committed entry.
        entry: Entry,
    },
    /// Replace the state of the state machines with that of a snapshot.
    Restore(Arc<Snapshot>),
    /// Reject a proposal: this voter does not lead or is overloaded, or the command is too large.
    Refuse {
        /// Identifier of the proposal.
        origin: ProposalId,
    },
    /// Stop the process, because a leader tried to replace a committed entry.
    Halt {
        /// Index of the committed entry.
        index: Index,
    },
}

/// Role of a core in its current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Receives the log without a vote.
    Learner,
    /// Receives the log and votes in elections.
    Follower,
    /// Campaigns in an election.
    Candidate,
    /// Appends entries to the log and replicates them.
    Leader,
}
