//! Errors of starting a stand-in.

use std::net::SocketAddr;

/// Why a stand-in could not be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be bound.
    #[error("stand-in cannot listen on {address}: {source}")]
    Listen {
        /// The address as given.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// A thread cannot be started.
    #[error("stand-in thread cannot be started: {0}")]
    Thread(std::io::Error),
}
