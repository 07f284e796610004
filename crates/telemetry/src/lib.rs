//! Counters, histograms and log set-up.

mod context;
mod logs;
mod membership;
mod metrics;
mod replica;

pub use context::ContextMetrics;
pub use logs::{Error, start_logs};
pub use membership::Membership;
pub use metrics::{Metrics, RequestLabels};
pub use replica::ReplicaMetrics;
