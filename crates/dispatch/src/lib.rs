//! Attempts at upstreams: one call, its verdict, retry and resume.
//!
//! [`Pool`] runs blocking HTTP calls on a bounded number of threads and reports their
//! [`Progress`] to a [`Sink`]; its [`Handle`] cancels and paces a call. [`Verdict`] says whether
//! a request may have run, [`Failure`] chooses what to do after a failed attempt within the
//! [`Budget`] of retries. An [`Adapter`] speaks one protocol of upstreams, and a [`Transcript`]
//! makes one whole stream of several attempts. [`Client`] makes calls on the event loop, without a
//! thread for each. [`Health`] says which upstreams to avoid.

mod adapter;
mod budget;
mod call;
mod client;
mod events;
mod handle;
mod health;
mod pool;
mod step;
mod transcript;
mod verdict;

pub use adapter::{Adapter, ChatCompletions, Head, Judgement, Plain};
pub use budget::{Allowance, Budget};
pub use call::{Call, Event, Field, Progress, Reuse, Sink};
pub use client::{Client, Echo, Flaw as AnswerFlaw, Keeping, Outbound, Piece, Reader};
pub use events::{Event as StreamEvent, Splitter};
pub use handle::Handle;
pub use health::{Finding, Health};
pub use pool::{Full, Pool};
pub use step::{Failure, Step};
pub use transcript::{Flaw, Transcript};
pub use verdict::Verdict;
