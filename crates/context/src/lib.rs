//! Moves of cached context between engines.
//!
//! [`Costs::decide`] compares a move with computing the context again. [`Moves`] follows the moves
//! under way, each an export and an import, spoken by a [`Transfer`]. All are cores without I/O.

mod decision;
mod moves;
mod transfer;

pub use decision::{Bounds, Costs, Decision, Reason, Situation};
pub use moves::{Moves, Outcome, Step, Wanted};
pub use transfer::{Exported, Flaw, KeyValueCache, Transfer, of_protocol};
