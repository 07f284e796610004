//! Moves of cached context between engines.
//!
//! [`Costs::decide`] chooses between a move and computing the context again. [`Moves`] tracks the
//! moves in progress. Each move is an export and an import in the protocol of a [`Transfer`]. The
//! crate does no I/O; the caller makes the calls and passes in their progress.

mod decision;
mod moves;
mod transfer;

pub use decision::{Costs, Decision, MoveConditions, MoveLimits, Reason};
pub use moves::{MoveOutcome, MoveRequest, MoveStep, Moves};
pub use transfer::{
    ExportedContext, KeyValueCache, Transfer, TransferError, transfer_for_protocol,
};
