//! Admission control: priorities, fair queueing, deadlines and rate limits.
//!
//! A [`AdmissionQueue`] is the admission queue of one upstream and decides which requests run, wait, or are
//! refused. [`Ranked`] is the queue for production use, and [`Fifo`] is the baseline for
//! measurements. [`limit`] enforces the rate limits of client accounts across the whole fleet.

mod choice;
mod desk;
mod fifo;
pub mod limit;
mod ranked;

pub use choice::AdmissionPolicy;
pub use desk::{AdmissionQueue, AdmissionRequest, Decision, QueueAction, RequestId, Tokens};
pub use fifo::Fifo;
pub use ranked::Ranked;
