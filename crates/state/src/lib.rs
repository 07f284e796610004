//! Replicated log of control instances: consensus, disk, snapshots.
//!
//! A [`Machine`] is state that every voter computes from the same committed commands.

mod machine;

pub use machine::{Index, Machine, Proposed};
