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
    /// The sockets towards peers cannot be used.
    #[error(transparent)]
    Wire(#[from] wire::Error),
    /// The declarations cannot be used.
    #[error("{path}: {source}")]
    Declarations {
        /// The file.
        path: String,
        /// What is wrong with it.
        source: declare::Error,
    },
    /// A file cannot be read.
    #[error("file \"{path}\" cannot be read: {source}")]
    File {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The event loop failed.
    #[error(transparent)]
    EventLoop(#[from] eventloop::Error),
    /// The data folder cannot be used.
    #[error(transparent)]
    State(#[from] state::Error),
    /// A snapshot of the replicated log cannot be read.
    #[error(
        "the snapshot at entry {index} is of an unknown form; \
         help: run the version that wrote it, or start the instance with an empty folder"
    )]
    Snapshot {
        /// The last entry that it covers.
        index: state::Index,
    },
    /// The replicated log contradicts itself.
    #[error(
        "committed entry {index} differs from the leader's; \
         help: keep the data folder, report it, and start the instance with an empty folder"
    )]
    Contradiction {
        /// The entry.
        index: state::Index,
    },
    /// An actor that the instance needs has failed.
    #[error("the instance failed: {reason}")]
    Failed {
        /// The actor's error.
        reason: String,
    },
}
