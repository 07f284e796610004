//! HTTP server for the operators' port of an instance.
//!
//! Operators, upstreams that announce themselves and metrics collectors use this port. A fixed
//! number of threads accept requests with `tiny_http` and pass each request to a [`Handler`], which
//! may block until the instance has produced a response.

mod request;
mod server;
mod tokens;

pub use request::{Handler, Request, Response};
pub use server::Server;
pub use tokens::{Tokens, is_same_token};
