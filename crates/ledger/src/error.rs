//! Errors of building an idempotency key.

/// Why a text is not a valid idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The key has no characters.
    #[error("header \"idempotency-key\" is empty; help: send 1 to {limit} visible characters")]
    Empty {
        /// Longest allowed key, in bytes.
        limit: usize,
    },
    /// The key is longer than allowed.
    #[error("header \"idempotency-key\" has {length} bytes; help: use at most {limit}")]
    Long {
        /// Its length in bytes.
        length: usize,
        /// Longest allowed key, in bytes.
        limit: usize,
    },
    /// The key holds a character that keys may not have.
    #[error("header \"idempotency-key\" contains {character:?}; help: use visible ASCII")]
    Character {
        /// The first character that is not allowed.
        character: char,
    },
}

/// Why a snapshot of the ledger cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// It has no bytes.
    #[error("the snapshot of the ledger is empty")]
    Empty,
    /// A newer version wrote it.
    #[error(
        "the snapshot of the ledger is of format {format}; help: this version reads formats 1 to \
         {known}, start the version that wrote it"
    )]
    Format {
        /// Its format.
        format: u8,
        /// The newest format that can be read.
        known: u8,
    },
    /// Its bytes do not have the form that its format says.
    #[error("the snapshot of the ledger is not of the form of format {format}")]
    Damaged {
        /// Its format.
        format: u8,
    },
}
