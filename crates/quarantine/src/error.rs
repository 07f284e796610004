//! Errors from parsing identifiers.

/// Error from a text that is not a key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not a hexadecimal number of 64 bits.
    #[error("key \"{text}\" is not a hexadecimal number; help: use 16 digits or fewer")]
    InvalidKey {
        /// The rejected text.
        text: String,
    },
}
