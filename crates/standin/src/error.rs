//! Errors from starting a stand-in.

use std::net::SocketAddr;

/// Error from starting a stand-in.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The listen address cannot be bound.
    #[error("stand-in cannot listen on {address}: {source}; help: choose a free port")]
    Listen {
        /// Address as given.
        address: SocketAddr,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// A thread of the stand-in cannot be started.
    #[error("cannot start a thread of the stand-in: {0}; help: raise the process limit")]
    Thread(std::io::Error),
}
