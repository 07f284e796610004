//! Counters, histograms and log set-up.

mod answers;
mod context;
mod ledger;
mod logs;
mod membership;
mod metrics;
mod replica;
mod upstreams;

pub use answers::Answers;
pub use context::ContextMetrics;
pub use ledger::{LedgerMetrics, LedgerOutcome};
pub use logs::{Error, start_logs};
pub use membership::Membership;
pub use metrics::{Metrics, RequestLabels};
pub use replica::ReplicaMetrics;
pub use upstreams::{Owned, UpstreamMetrics, UpstreamSample};
