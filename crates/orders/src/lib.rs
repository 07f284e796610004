//! Orders to engines: models loaded and dropped step by step, as rollouts declare.
//!
//! [`Progress`] is a core without I/O. It compares a declared rollout with what the engines
//! announce and says which engines get an order now. Orders are repeatable, and the comparison
//! starts anew at each holder of the orders' lease, so a late order of an earlier holder is at
//! most one more load, or an unload that the comparison mends by another load.

mod order;
mod progress;

pub use order::{Order, Task};
pub use progress::{Engine, Progress, Standing};
