//! Errors from parsing idempotency keys and reading snapshots.

/// Error from parsing an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key is empty.
    #[error("header \"idempotency-key\" is empty; help: send 1 to {limit} visible characters")]
    Empty {
        /// Maximum length of a key in bytes.
        limit: usize,
    },
    /// The key is too long.
    #[error("header \"idempotency-key\" has {length} bytes; help: use at most {limit}")]
    TooLong {
        /// Length of the key in bytes.
        length: usize,
        /// Maximum length of a key in bytes.
        limit: usize,
    },
    /// The key contains a character that is not allowed.
    #[error("header \"idempotency-key\" contains {character:?}; help: use visible ASCII")]
    InvalidCharacter {
        /// First character that is not allowed.
        character: char,
    },
}

/// Error from reading a snapshot of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The snapshot is empty.
    #[error("cannot restore the ledger: the snapshot is empty")]
    Empty,
    /// The snapshot has an unsupported format, which a newer version wrote.
    #[error(
        "cannot restore the ledger: the snapshot has format {format}, but this version reads only \
         formats 1 to {known}; help: start the version that wrote the snapshot"
    )]
    Format {
        /// Format of the snapshot.
        format: u8,
        /// Newest format that can be read.
        known: u8,
    },
    /// The snapshot cannot be decoded in its format.
    #[error("cannot restore the ledger: the snapshot is not valid data of format {format}")]
    Damaged {
        /// Format of the snapshot.
        format: u8,
    },
}
