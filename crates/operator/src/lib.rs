//! HTTP for operators, upstreams' announcements and metrics.
//!
//! A fixed number of threads serve the port with `tiny_http` and hand each request to a
//! [`Handler`], which may block until the instance has answered.

mod request;
mod server;
mod tokens;

pub use request::{Handler, Request, Response};
pub use server::Server;
pub use tokens::{Tokens, is_token};
