//! Errors of starting and running an instance.

use std::net::SocketAddr;

/// Why an instance could not be started or had to end.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be bound.
    #[error("cannot listen for {what} on {address}: {source}; help: choose a free port in listen")]
    Listen {
        /// Who would connect there.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The settings lack something.
    #[error("settings: {what} is missing; help: {help}")]
    Missing {
        /// What is missing.
        what: &'static str,
        /// How to add it.
        help: &'static str,
    },
    /// The sockets towards peers cannot be used.
    #[error(transparent)]
    Wire(#[from] wire::Error),
    /// The event loop failed.
    #[error(transparent)]
    EventLoop(#[from] eventloop::Error),
    /// An actor that the instance needs has failed.
    #[error("the instance failed: {reason}")]
    Failed {
        /// The actor's error.
        reason: String,
    },
}
