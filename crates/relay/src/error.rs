//! Errors of starting and running an instance.

use std::net::SocketAddr;

/// Error from starting or running an instance.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be bound.
    #[error("cannot listen for {what} on {address}: {source}; help: choose a free port in listen")]
    Listen {
        /// Kind of clients that connect to the address.
        what: &'static str,
        /// Address that cannot be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A required setting is missing.
    #[error("settings: {what} is missing; help: {help}")]
    Missing {
        /// Name of the missing setting.
        what: &'static str,
        /// Instruction for adding the setting.
        help: &'static str,
    },
    /// The sockets for peers cannot be used.
    #[error(transparent)]
    Wire(#[from] wire::Error),
    /// The event loop failed.
    #[error(transparent)]
    EventLoop(#[from] eventloop::Error),
    /// An actor that the instance depends on failed.
    #[error("the instance failed: {reason}")]
    Failed {
        /// Error of the actor.
        reason: String,
    },
}
