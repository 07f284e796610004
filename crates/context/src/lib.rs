//! Moves of cached context between engines.
//!
//! [`Costs::decide`] chooses between a move and computing the context again. [`Moves`] tracks the
//! moves in progress. Each move is an export and an import in the protocol of a [`Transfer`]. The
//! crate does no I/O; the caller makes the calls and passes in their progress.

mod decision;
mod moves;
mod transfer;

pub use decision::{Bounds, Costs, Decision, MoveConditions, Reason};
pub use moves::{Moves, Outcome, Step, Wanted};
pub use transfer::{ExportedContext, Flaw, KeyValueCache, Transfer, of_protocol};
