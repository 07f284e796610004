//! Settings of one instance, parsed from YAML and validated.
//!
//! [`Settings`] is built with `TryFrom<String>` from the text of a settings file. Unknown fields
//! are rejected, and quantities are written with their units.

mod context;
mod direct;
mod error;
mod finding;
mod model;
mod policies;

pub use context::Context;
pub use direct::{Direct, PromptCosts};
pub use error::Error;
pub use finding::{Finding, findings};
pub use model::{Limits, Listen, Logs, Peer, Retries, RetryLimit, Role, Settings, Timing};
pub use policies::Policies;
