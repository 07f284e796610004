//! Fleets of real processes for tests.

#![allow(dead_code, unused_imports, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod client;
mod declaring;
mod fleet;
mod load;
pub mod log;
pub mod machines;
mod process;
mod proxy;
pub mod worker;

pub use client::*;
pub use declaring::*;
pub use fleet::*;
pub use load::*;
pub use process::*;
pub use proxy::*;
