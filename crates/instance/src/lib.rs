//! Assembles one running instance from the crates that implement its subsystems.
//!
//! [`run`] creates the actors of the instance on one event loop, connects them by messages, and
//! returns when a graceful shutdown has finished.

mod cache_index;
mod claims;
mod config;
mod context_mover;
mod error;
mod limits;
mod listing;
mod members;
mod memory_monitor;
mod operator_port;
mod operators;
mod orders;
mod permit_request;
mod placer;
mod problem;
mod quarantine;
mod replica;
mod root;
mod router;
mod run;
mod selection;
mod stop;
mod traffic;
mod upstream_client;

pub use error::Error;
pub use members::{Members, View};
pub use memory_monitor::MemoryMonitor;
pub use quarantine::{CheckResult, Quarantine, QuarantineExchange};
pub use replica::{Part, Replica, SharedMachine};
pub use run::{Bound, run};
pub use stop::Stop;
pub use traffic::TrafficCollector;
