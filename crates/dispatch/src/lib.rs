//! Attempts at upstreams: one call, its verdict, retry and resume.
//!
//! [`Client`] makes calls on the event loop and reports their [`Progress`]; a [`Call`] becomes the
//! [`Outbound`] that it sends. [`Verdict`] says whether a request may have run, [`Failure`] chooses
//! what to do after a failed attempt within the [`Budget`] of retries. An [`Adapter`] speaks one
//! protocol of upstreams, and a [`Transcript`] makes one whole stream of several attempts.
//! [`Health`] says which upstreams to avoid.

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
pub use call::{Call, Event, Field, Progress, Reuse, Unfit};
pub use client::{Client, Echo, Flaw as AnswerFlaw, Keeping, Outbound, Piece, Reader};
pub use events::{Event as StreamEvent, Splitter};
pub use health::{Finding, Health};
pub use step::{Failure, Step};
pub use transcript::{Flaw, Transcript};
pub use verdict::Verdict;
