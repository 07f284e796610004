//! Calls to upstreams: one call, its outcome, and retry or resumption after a failure.
//!
//! [`Client`] makes calls on the event loop and reports their [`Progress`]. A [`Call`] is converted
//! to the [`Outbound`] request that the client sends. [`Verdict`] says whether a request may have
//! run. [`FailedAttempt`] chooses the next action after a failed attempt within the
//! [`RetryBudget`], and [`SilentAttempt`] the one for a silent attempt. An [`Adapter`] implements one protocol of upstreams. A [`StreamJoiner`] joins
//! the streams of several attempts into one complete stream. [`OutlierDetector`] detects the
//! upstreams to avoid.

mod adapter;
mod budget;
mod call;
mod client;
mod event_scanner;
mod events;
mod health;
mod silence;
mod step;
mod stream_joiner;
mod verdict;

pub use adapter::{Adapter, ChatCompletions, Head, HeadOutcome, Plain};
pub use budget::{RetryAllowance, RetryBudget};
pub use call::{Call, CallEvent, ConnectionReuse, Field, InvalidCall, Progress};
pub use client::{
    CALL_BUFFER_BYTES, Client, CorrelationHeader, KeepAlive, Listening, Outbound, ResponseError,
    ResponsePart, ResponseReader,
};
pub use event_scanner::EventScanner;
pub use events::{Event as StreamEvent, EventSplitter};
pub use health::{HealthChange, OutlierDetector};
pub use silence::{SilenceAction, SilentAttempt};
pub use step::{FailedAttempt, FailureAction};
pub use stream_joiner::{StreamError, StreamJoiner};
pub use verdict::Verdict;
