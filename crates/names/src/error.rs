//! Errors of building a name.

/// Why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text has no characters.
    #[error("{what} name is empty; help: give it 1 to {limit} characters")]
    Empty {
        /// What was being named.
        what: &'static str,
        /// Longest allowed name, in bytes.
        limit: usize,
    },
    /// The text is longer than a name may be.
    #[error("{what} name \"{name}\" has {length} bytes; help: use at most {limit}")]
    Long {
        /// What was being named.
        what: &'static str,
        /// The text as given.
        name: String,
        /// Its length in bytes.
        length: usize,
        /// Longest allowed name, in bytes.
        limit: usize,
    },
    /// The text holds a character that names may not have.
    #[error(
        "{what} name \"{name}\" contains {character:?}; help: use letters, digits and . _ - : /"
    )]
    Character {
        /// What was being named.
        what: &'static str,
        /// The text as given.
        name: String,
        /// The first character that is not allowed.
        character: char,
    },
    /// The text is not a number of the expected form.
    #[error("{what} \"{text}\" is not a hexadecimal number of 16 digits or fewer")]
    Number {
        /// What was being read.
        what: &'static str,
        /// The text as given.
        text: String,
    },
}
