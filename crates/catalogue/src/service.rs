//! Services and the limits on what callers send.

use std::time::Duration;

use names::Service as Name;

/// What the model engines of a service can do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Requests that one engine works on at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u64,
}

/// A service that upstreams announce themselves for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Most connections that one upstream takes from all callers together.
    pub connections: usize,
    /// Set for model engines.
    pub engine: Option<Engine>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of request line and headers.
    pub head_bytes: usize,
    /// Most bytes of a body.
    pub body_bytes: usize,
    /// How long a request may take to arrive.
    pub receive: Duration,
    /// How long a connection may stay without a request.
    pub idle: Duration,
}
