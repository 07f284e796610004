//! Requests of the operators' port of an instance, and the threads that handle them.
//!
//! Operators, upstreams that announce themselves and metrics collectors use this port. A fixed
//! number of threads pass each request to a [`Handler`], which may block until the instance has
//! produced a response. The connections belong to the event loop (crate `entry`).

mod request;
mod tokens;
mod workers;

pub use request::{Handler, Request, Response};
pub use tokens::{Tokens, is_same_token};
pub use workers::Workers;
