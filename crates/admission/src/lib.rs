//! Admission control: priorities, fair queueing, deadlines and rate limits.
//!
//! An [`AdmissionQueue`] belongs to one upstream and decides which requests run, wait, or are
//! refused. [`Ranked`] is the queue for production use, and [`Fifo`] is the baseline for
//! measurements. [`Accounts`] are its order of client accounts. [`limit`] enforces the rate limits of client accounts across the whole fleet.

mod accounts;
mod admission_policy;
mod admission_queue;
mod fifo;
pub mod limit;
mod ranked;

pub use accounts::{AccountId, Accounts};
pub use admission_policy::AdmissionPolicy;
pub use admission_queue::{
    AdmissionQueue, AdmissionRequest, Decision, QueueAction, RequestId, Tokens,
};
pub use fifo::Fifo;
pub use ranked::Ranked;
