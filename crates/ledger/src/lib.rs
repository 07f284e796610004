//! Idempotency records of non-idempotent requests.
//!
//! [`Ledger`] is the replicated machine: it knows which keys are claimed, by which attempt, and
//! how each claim ended. [`Claimant`] is the side of one request: it claims its key before the
//! upstream sees a byte and settles the claim afterwards. [`Clock`] estimates the ledger's time.

mod accounts;
mod archive;
mod body;
mod bounds;
mod claimant;
mod clock;
mod command;
mod error;
mod key;
mod machine;
mod records;
mod room;
mod snapshot;
mod withdrawn;

pub use bounds::Bounds;
pub use claimant::{Claimant, End, Next, Refusal};
pub use clock::Clock;
pub use command::{Answer, Claim, Command, Ending, Field, Outcome, Reply, Settlement};
pub use error::{Error, Unreadable};
pub use key::{Digest, Key, Ticket, Time};
pub use machine::Ledger;
