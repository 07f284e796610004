//! Lightweight stand-ins for model engines and plain services, for tests, measurements and the
//! command `dev`.

mod announcer;
mod behaviour;
mod engine;
mod error;
mod fault;
mod host;
mod job;
mod kv;
mod orders;
mod prefix;
mod prompt;
mod replies;
mod reporter;
mod run;
mod service;
mod text;

pub use behaviour::Behaviour;
pub use engine::{Engine, Stats};
pub use error::Error;
pub use fault::{Fault, UnknownFault};
pub use kv::Context;
pub use orders::{Order, Orders, Task};
pub use prompt::Prompt;
pub use run::{Options, Running, UpstreamKind, start};
pub use service::{Run, Service};
pub use text::{answer, word};
