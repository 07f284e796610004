//! Attempts at upstreams: one call, its verdict, retry and resume.
//!
//! [`Pool`] runs blocking HTTP calls on a bounded number of threads and reports their
//! [`Progress`] to a [`Sink`]. [`Verdict`] says whether a request may have run.

mod call;
mod pool;
mod verdict;

pub use call::{Call, Event, Field, Progress, Reuse, Sink};
pub use pool::{Cancel, Full, Pool};
pub use verdict::Verdict;
