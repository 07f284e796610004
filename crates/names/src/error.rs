//! Errors from parsing names and identifiers.

/// Error from a text that is not a valid name or identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The name is empty.
    #[error("{kind} name is empty; help: give it 1 to {limit} characters")]
    Empty {
        /// Type of the name.
        kind: &'static str,
        /// Maximum length of a name in bytes.
        limit: usize,
    },
    /// The name is too long.
    #[error("{kind} name \"{name}\" has {length} bytes; help: use at most {limit}")]
    TooLong {
        /// Type of the name.
        kind: &'static str,
        /// The name, truncated to the maximum length.
        name: String,
        /// Length of the name in bytes.
        length: usize,
        /// Maximum length of a name in bytes.
        limit: usize,
    },
    /// The name contains a character that is not allowed.
    #[error(
        "{kind} name \"{name}\" contains {character:?}; help: use letters, digits and . _ - : /"
    )]
    InvalidCharacter {
        /// Type of the name.
        kind: &'static str,
        /// The invalid name.
        name: String,
        /// The first character that is not allowed.
        character: char,
    },
    /// The text is not a hexadecimal number of 64 bits.
    #[error("{kind} \"{text}\" is not a hexadecimal number of 16 digits or fewer")]
    InvalidNumber {
        /// Type of the identifier.
        kind: &'static str,
        /// The invalid text.
        text: String,
    },
}
