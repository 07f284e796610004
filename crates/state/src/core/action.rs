//! What goes into the core and what comes out of it.

use std::sync::Arc;
use std::time::Duration;

use names::Instance;

use crate::{Ballot, Chunks, Entry, Envelope, Index, Indexed, Origin, Snapshot, Voter};

/// Spans of time of the protocol, the same at all voters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// For which a voter that heard a leader helps nobody else to be elected.
    pub election_timeout: Duration,
    /// For which a leader acts after the contact with a quorum; shorter than `election` by more
    /// than clocks drift apart meanwhile.
    pub lease_duration: Duration,
    /// For which a voter leaves others the lead that campaign: long enough for two round trips and two
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

/// Bounds on what a leader sends ahead of the answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Flow {
    /// Most bytes of entries in one message.
    pub append_bytes: usize,
    /// Most messages with entries on their way to one member.
    pub in_flight: usize,
    /// Most bytes of a snapshot in one message.
    pub part_bytes: usize,
    /// Entries before a snapshot that stay in memory for members that are a little behind.
    pub trailing_entries: u64,
}

impl Default for Flow {
    fn default() -> Self {
        Self {
            append_bytes: 128 << 10,
            in_flight: 16,
            part_bytes: 128 << 10,
            trailing_entries: 256,
        }
    }
}

/// Who the core is.
#[derive(Debug, Clone)]
pub struct Start {
    /// The number of the data folder.
    pub me: Voter,
    /// This instance.
    pub instance: Instance,
    /// The instances that found the group.
    pub founders: Vec<Instance>,
    /// Whether this instance may found the group; one that may not waits to be admitted.
    pub may_found: bool,
    /// Spans of time.
    pub timing: Timing,
    /// Bounds on messages.
    pub flow: Flow,
    /// Seed of the election timeouts.
    pub seed: u64,
}

/// What was read from the data folder.
#[derive(Debug, Clone, Default)]
pub struct Recovered {
    /// Term and vote.
    pub ballot: Ballot,
    /// The newest snapshot; blank in a blank folder.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// What happens to the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Receive(Envelope),
    /// All writes up to this one are synced.
    Synced {
        /// [`Write::ticket`] of the last.
        ticket: u64,
    },
    /// A command is proposed to this voter.
    Propose {
        /// Who proposes.
        origin: Origin,
        /// The command.
        bytes: Arc<[u8]>,
    },
    /// The process is about to stop: a leader hands over, and the voter campaigns no more.
    Retire,
    /// The instances that shall vote, sorted; none for those that do.
    Target(Vec<Instance>),
    /// Other live instances that may keep the log, beside the founders; they are told of a folder
    /// that is no member.
    Contacts(Vec<Instance>),
    /// The machines' state after the applied entry `index`; entries before it may go.
    Compact {
        /// The last entry applied.
        index: Index,
        /// The state.
        data: Chunks,
    },
}

/// Something to be written and synced.
#[derive(Debug, Clone)]
pub struct Write {
    /// Grows by one with every write.
    pub ticket: u64,
    /// Term and vote, if they changed.
    pub ballot: Option<Ballot>,
    /// A snapshot; all entries written before are forgotten with it.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether the snapshot came from a leader in place of the log here, of which nothing may be found
    /// beside the new entries after a crash.
    pub replaces_log: bool,
    /// Entries; each replaces those written before at its index and after it.
    pub entries: Vec<Indexed>,
}

/// What is to be done.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a message.
    Send {
        /// The instance to send it to.
        addressee: Instance,
        /// The message.
        envelope: Envelope,
    },
    /// Write and sync, then report [`Input::Synced`]. Later writes may be synced together.
    Persist(Write),
    /// Apply a committed entry.
    Apply {
        /// Its index.
        index: Index,
        /// The entry.
        entry: Entry,
    },
    /// Replace the machines' state by that of a snapshot.
    Restore(Arc<Snapshot>),
    /// The proposal was not appended: this voter does not lead or has too much to do.
    Refuse {
        /// Who proposed.
        origin: Origin,
    },
    /// A committed entry would have to change; the process must stop.
    Halt {
        /// The entry.
        index: Index,
    },
}

/// What a core does in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Receives the log without a vote.
    Learner,
    /// Receives the log.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Appends to the log.
    Leader,
}
