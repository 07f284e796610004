//! Metrics, log events and logger set-up of an instance.

mod answers;
mod context;
mod event;
mod event_level;
mod ledger;
mod logs;
mod membership;
mod metrics;
mod relay;
mod replica;
mod stdout_logs;
mod upstreams;

pub use answers::AnswerMetrics;
pub use context::ContextMetrics;
pub use event::{Cause, Event};
pub use ledger::{LedgerMetrics, LedgerOutcome};
pub use logs::{Error, start_stderr_logs};
pub use membership::MembershipMetrics;
pub use metrics::{Metrics, RequestLabels};
pub use relay::{OutcomeLabels, RelayMetrics};
pub use replica::ReplicaMetrics;
pub use stdout_logs::{LogRateLimit, start_stdout_logs};
pub use upstreams::{OwnerSample, UpstreamMetrics, UpstreamSample};
