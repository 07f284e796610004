//! Services and the limits on the requests of callers.

use std::time::Duration;

use names::Service as Name;

/// Cost of a transfer of context between the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transfer {
    /// Size of one token of context, in bytes.
    pub token_bytes: u64,
    /// Bandwidth of an engine in each direction, in bytes per second.
    pub bytes_per_second: u64,
}

impl Transfer {
    /// Returns the time that the transfer of `tokens` tokens of context takes.
    pub fn time(&self, tokens: u64) -> Duration {
        let bytes = tokens.saturating_mul(self.token_bytes);
        let seconds = bytes as f64 / self.bytes_per_second.max(1) as f64;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// Capacity of each model engine of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Number of requests that one engine processes at the same time.
    pub slots: u32,
    /// Number of tokens that fit into the memory of one engine.
    pub memory_tokens: u64,
    /// Cost of context transfers; set if the engines fetch context from each other.
    pub transfer: Option<Transfer>,
}

/// How long the upstreams of a service are cold, and what they sustain meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// Time for which an upstream is cold.
    pub duration: Duration,
    /// Number of requests per second that an upstream sustains while it is cold.
    pub per_second: f64,
}

/// A declared service. Each upstream announces the service that it provides.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Unique name of the service.
    pub name: Name,
    /// Maximum number of connections to one upstream, for all callers in total.
    pub connections: usize,
    /// Capacity of the model engines; set if the upstreams are model engines.
    pub engine: Option<Engine>,
    /// Limits of cold upstreams; set if upstreams sustain less while they are cold.
    pub cold: Option<Cold>,
}

/// Limits on the requests of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the request line and the headers, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request.
    pub receive: Duration,
    /// Maximum time that a connection stays open without a request.
    pub idle: Duration,
}
