//! Replicated log of the control instances: consensus, persistence and snapshots.
//!
//! A [`Machine`] is a state machine that every voter runs over the same committed commands.
//! [`Core`] decides which entries are committed and performs no I/O itself; [`Storage`] persists
//! what the core requests.

mod chunks;
mod core;
mod disk;
mod entry;
mod error;
mod id;
mod lease;
mod log;
mod machine;
mod members;
mod message;
mod sessions;
mod voters;

pub use crate::chunks::Chunks;
pub use crate::core::{
    Action, Core, CoreConfig, FlowLimits, Input, Recovered, Role, Timing, Write,
};
pub use disk::{AtomicFiles, DataFolder, Folder, Journal, Storage, StorageEvent};
pub use entry::{Entry, Indexed, Payload, Snapshot};
pub use error::Error;
pub use id::{Ballot, Position, ProposalId, Term, VoterId};
pub use lease::{Grant, LeaseClient, LeaseCommand, LeaseOutcome, Leases};
pub use machine::{Index, MAX_COMMAND_BYTES, Machine, ProposalOutcome};
pub use members::{Member, MemberChange, Members, Standing};
pub use message::{Envelope, Message};
pub use sessions::Sessions;
pub use voters::{Progress, VoterChange, Voters, VotersCommand, VotersOutcome};
