//! Counters, histograms and log set-up.

mod logs;
mod metrics;

pub use logs::{Error, start_logs};
pub use metrics::{Metrics, RequestLabels};
