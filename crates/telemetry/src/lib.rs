//! Counters, histograms and log set-up.

mod answers;
mod context;
mod event;
mod ledger;
mod logs;
mod membership;
mod metrics;
mod relay;
mod replica;
mod trail;
mod upstreams;

pub use answers::Answers;
pub use context::ContextMetrics;
pub use event::{Cause, Event};
pub use ledger::{LedgerMetrics, LedgerOutcome};
pub use logs::{Error, start_logs};
pub use membership::Membership;
pub use metrics::{Metrics, RequestLabels};
pub use relay::{EndLabels, RelayMetrics};
pub use replica::ReplicaMetrics;
pub use trail::{Ceiling, start_trail};
pub use upstreams::{Owned, UpstreamMetrics, UpstreamSample};
