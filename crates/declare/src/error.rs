//! Errors from parsing and validating declarations and revisions.

/// Error from parsing or validating declarations, orders or revisions.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not YAML, or does not match the schema of the declarations.
    #[error(
        "declarations are not valid: {}; help: see docs/OPERATING.md for the form",
        names::shorten(.source.to_string())
    )]
    InvalidYaml {
        /// Error of the parser, with the line and the column if they are known.
        #[from]
        source: serde_norway::Error,
    },
    /// Too many brackets are open at a time.
    #[error(
        "declarations nest more than {limit} brackets; help: see docs/OPERATING.md for the form"
    )]
    TooDeep {
        /// Maximum number of open brackets.
        limit: usize,
    },
    /// A name is declared twice in one section.
    #[error("{what} \"{name}\" is declared twice; help: remove or rename one of them")]
    Duplicate {
        /// Type of the declared items.
        what: &'static str,
        /// The duplicate name.
        name: String,
    },
    /// A key hash is declared twice. The hash itself is omitted, because errors are logged.
    #[error(
        "client accounts \"{first}\" and \"{second}\" declare the same key hash; help: remove one of them"
    )]
    SharedKey {
        /// Name of one account.
        first: String,
        /// Name of the other account; the same name if one account declares the hash twice.
        second: String,
    },
    /// A reference to an item that is not declared.
    #[error(
        "{place} names {what} \"{name}\", which is not declared; help: declare it or correct the name"
    )]
    Undeclared {
        /// Location of the reference.
        place: String,
        /// Type of the referenced item.
        what: &'static str,
        /// The name that is not declared.
        name: String,
    },
    /// A value is out of range.
    #[error("{place}: {problem}; help: {help}")]
    InvalidValue {
        /// Location of the value.
        place: String,
        /// Description of the problem.
        problem: String,
        /// Suggested correction.
        help: &'static str,
    },
    /// A selector cannot be parsed.
    #[error(
        "selector \"{selector}\" is wrong at column {column}: {problem}; help: write it like {example}",
        example = "rank=urgent,centre in (giza, cairo)"
    )]
    InvalidSelector {
        /// Text of the selector.
        selector: String,
        /// Column of the first unexpected character, counted from 1 in bytes.
        column: usize,
        /// Description of the expected syntax.
        problem: String,
    },
    /// A key hash does not consist of 64 hexadecimal digits.
    /// The text is omitted, because it may be the key itself.
    #[error("a key hash is not 64 hexadecimal digits; help: make it with `turmericrelay hash-key`")]
    InvalidKeyHash,
    /// An item of a revision cannot be encoded or decoded.
    #[error("{section} \"{name}\" of the revision is not valid: {source}")]
    InvalidItem {
        /// Section of the item.
        section: crate::Section,
        /// Name of the item.
        name: String,
        /// Error of the JSON codec.
        source: serde_json::Error,
    },
    /// A revision number cannot be parsed.
    #[error("revision \"{text}\" is not a number; help: `turmericrelay history` lists revisions")]
    InvalidRevision {
        /// The invalid text.
        text: String,
    },
    /// An order id is empty, too long or has invalid characters.
    #[error("order id \"{text}\" is not valid; help: use 1 to 64 letters, digits and . _ -")]
    InvalidOrderId {
        /// The invalid text.
        text: String,
    },
    /// The bytes of a stored revision are corrupt.
    #[error("stored revision is damaged: {problem}; help: remove the file to fetch it from peers")]
    CorruptRevision {
        /// Description of the corruption.
        problem: &'static str,
    },
}

impl Error {
    /// Returns the declared or referenced name that caused the error, if there is one.
    pub fn subject(&self) -> Option<&str> {
        match self {
            Self::Duplicate { name, .. } | Self::Undeclared { name, .. } => Some(name),
            Self::SharedKey { second, .. } => Some(second),
            _ => None,
        }
    }
}

/// All errors in declarations, at least one.
#[derive(Debug)]
pub struct Errors {
    /// The error that is found first.
    pub first: Error,
    /// The other errors.
    pub others: Vec<Error>,
}

impl Errors {
    /// Returns all errors.
    pub fn iter(&self) -> impl Iterator<Item = &Error> {
        std::iter::once(&self.first).chain(&self.others)
    }
}
