//! Errors from parsing identifiers.

/// Error from a text that is not an identifier of a part.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not a hexadecimal number of 64 bits.
    #[error("part \"{text}\" is not a hexadecimal number; help: use 16 digits or fewer")]
    InvalidPart {
        /// The rejected text.
        text: String,
    },
}
