//! Counters, histograms and log set-up.

mod logs;
mod membership;
mod metrics;

pub use logs::{Error, start_logs};
pub use membership::Membership;
pub use metrics::{Metrics, RequestLabels};
