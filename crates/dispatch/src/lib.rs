//! Calls to upstreams: one call, its outcome, and retry or resumption after a failure.
//!
//! [`Client`] makes calls on the event loop and reports their [`Progress`]. A [`Call`] is converted
//! to the [`Outbound`] request that the client sends. [`Verdict`] says whether a request may have
//! run. [`Failure`] chooses the next action after a failed attempt within the retry [`Budget`].
//! An [`Adapter`] implements one protocol of upstreams. A [`Transcript`] joins the streams of
//! several attempts into one complete stream. [`Health`] detects the upstreams to avoid.

mod adapter;
mod budget;
mod call;
mod client;
mod events;
mod health;
mod step;
mod transcript;
mod verdict;

pub use adapter::{Adapter, ChatCompletions, Head, Judgement, Plain};
pub use budget::{Allowance, Budget};
pub use call::{Call, Event, Field, InvalidCall, Progress, Reuse};
pub use client::{Client, Echo, Keeping, Outbound, ResponseError, ResponsePart, ResponseReader};
pub use events::{Event as StreamEvent, Splitter};
pub use health::{Finding, Health};
pub use step::{Failure, Step};
pub use transcript::{Flaw, Transcript};
pub use verdict::Verdict;
