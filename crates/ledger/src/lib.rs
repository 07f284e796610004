//! Idempotency records of non-idempotent requests.
//!
//! [`Ledger`] is the replicated state machine: it stores which keys are claimed, by which attempt,
//! and the outcome of each claim. [`Claimant`] is the state machine of one request: it claims the
//! key before any byte is sent to an upstream and settles the claim afterwards. [`Clock`]
//! estimates the ledger time.

mod accounts;
mod archive;
mod archiving;
mod body;
mod bounds;
mod claimant;
mod clock;
mod command;
mod error;
mod key;
mod ledger;
mod records;
mod snapshot;
mod withdrawn;

pub use bounds::Bounds;
pub use claimant::{Claimant, ClaimantAction, Refusal, UpstreamOutcome};
pub use clock::Clock;
pub use command::{
    AttemptOutcome, Claim, Command, CommandOutcome, Field, Reply, Settlement, StoredResponse,
};
pub use error::{KeyError, SnapshotError};
pub use key::{Digest, Key, RequestIdentity, Time};
pub use ledger::Ledger;
