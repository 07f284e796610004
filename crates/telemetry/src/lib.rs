//! Counters, histograms and log set-up.

mod logs;
mod metrics;
mod replica;

pub use logs::{Error, start_logs};
pub use metrics::{Metrics, RequestLabels};
pub use replica::ReplicaMetrics;
