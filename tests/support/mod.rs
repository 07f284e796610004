//! Test harness: fleets of real processes, fault-injecting proxies, upstreams, and the clients that
//! call them.

#![allow(dead_code, unused_imports, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod answer_plays;
pub mod caller_threads;
mod client;
pub mod crashes;
mod fleet;
pub mod hostile;
mod http;
mod load;
pub mod machines;
pub mod malformed;
mod operator_client;
pub mod platform_calls;
mod process;
mod proxy;
pub mod replicated_log;
pub mod script;
pub mod worker;

pub use client::*;
pub use fleet::*;
pub use load::*;
pub use operator_client::*;
pub use process::*;
pub use proxy::*;
