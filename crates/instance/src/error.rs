//! Errors of starting and running an instance.

use std::net::SocketAddr;

/// Error from starting or running an instance.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listening address cannot be bound.
    #[error("cannot listen for {what} on {address}: {source}; help: choose a free port in listen")]
    Listen {
        /// Group of clients that the address is for, such as "operators".
        what: &'static str,
        /// Address that cannot be bound.
        address: SocketAddr,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The sockets for the traffic with peers cannot be used.
    #[error(transparent)]
    Wire(#[from] wire::Error),
    /// A declarations file is not valid.
    #[error("{path}: {source}")]
    Declarations {
        /// Path of the file.
        path: String,
        /// Error from parsing the declarations.
        source: declare::Error,
    },
    /// A file cannot be read.
    #[error("file \"{path}\" cannot be read: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The event loop failed.
    #[error(transparent)]
    EventLoop(#[from] eventloop::Error),
    /// The replicated log in the data folder cannot be opened or written.
    #[error(transparent)]
    State(#[from] state::Error),
    /// A snapshot of the replicated log cannot be decoded.
    #[error(
        "the snapshot at entry {index} has an unknown format; \
         help: run the version that wrote it, or start the instance with an empty folder"
    )]
    Snapshot {
        /// Index of the last log entry that the snapshot covers.
        index: state::Index,
    },
    /// A committed entry of the replicated log differs from the leader's entry at the same index.
    #[error(
        "committed entry {index} differs from the leader's entry; \
         help: keep the data folder, report the error, and start the instance with an empty folder"
    )]
    Contradiction {
        /// Index of the entry.
        index: state::Index,
    },
    /// An actor of the instance has failed.
    #[error("the instance failed: {reason}")]
    Failed {
        /// Error message of the actor.
        reason: String,
    },
}
