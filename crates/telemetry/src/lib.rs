//! Counters, histograms and log set-up.

mod logs;
mod membership;
mod metrics;
mod replica;

pub use logs::{Error, start_logs};
pub use membership::Membership;
pub use metrics::{Metrics, RequestLabels};
pub use replica::ReplicaMetrics;
