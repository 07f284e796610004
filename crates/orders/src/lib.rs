//! Orders to engines: models loaded and dropped, and roles changed, step by step as declared.
//!
//! [`Progress`] is a core without I/O. It compares a declared rollout with what the engines
//! announce and says which engines get an order now. Orders are repeatable, and the comparison
//! starts anew at each holder of the orders' lease, so a late order of an earlier holder is at
//! most one more load, or a change that the next comparison mends.

mod order;
mod plan;
mod progress;

pub use order::{Order, Task};
pub use plan::Plan;
pub use progress::{Engine, Progress, Standing};
