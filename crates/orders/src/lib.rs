//! Gradual rollout of model loads, unloads and role changes to engines.
//!
//! [`RolloutProgress`] performs no I/O. It compares a declared rollout with the state that the
//! engines announce and returns the engine that gets the next order. Orders can be repeated, and
//! each holder of the orders lease starts the comparison from scratch. A late order of an earlier
//! holder therefore causes at most one additional load, or a change that the next comparison
//! corrects.

mod order;
mod plan;
mod progress;

pub use order::{Order, Task};
pub use plan::Plan;
pub use progress::{Engine, RolloutProgress, RolloutStatus};
