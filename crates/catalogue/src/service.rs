//! Services and the limits on what callers send.

use std::time::Duration;

use names::Service as Name;

/// How engines of a service hand each other context that they have read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transfer {
    /// Bytes that a token of context takes.
    pub token_bytes: u64,
    /// Bytes that an engine sends or receives in a second.
    pub bytes_per_second: u64,
}

impl Transfer {
    /// How long `tokens` of context are on their way.
    pub fn time(&self, tokens: u64) -> Duration {
        let bytes = tokens.saturating_mul(self.token_bytes);
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_second.max(1) as f64)
    }
}

/// What the model engines of a service can do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Requests that one engine works on at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u64,
    /// Set if its engines fetch context from each other.
    pub transfer: Option<Transfer>,
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
