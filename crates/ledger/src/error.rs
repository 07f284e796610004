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
