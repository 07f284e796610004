//! Errors of reading declarations.

/// Why declarations cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not YAML of the documented form.
    #[error("declarations are not valid: {source}; help: see docs/OPERATING.md for the form")]
    Form {
        /// The parser's error, which names line and column where it knows them.
        #[from]
        source: serde_norway::Error,
    },
    /// A name stands twice in one list.
    #[error("{what} \"{name}\" is declared twice; help: remove or rename one of them")]
    Twice {
        /// What the list holds.
        what: &'static str,
        /// The name that stands twice.
        name: String,
    },
    /// A reference leads nowhere.
    #[error(
        "{place} names {what} \"{name}\", which is not declared; help: declare it or correct the name"
    )]
    Unknown {
        /// Where the reference stands.
        place: String,
        /// What it refers to.
        what: &'static str,
        /// The name that is not declared.
        name: String,
    },
    /// A value is out of range.
    #[error("{place}: {problem}; help: {help}")]
    Value {
        /// Where the value stands.
        place: String,
        /// What is wrong with it.
        problem: String,
        /// How to mend it.
        help: &'static str,
    },
    /// A selector cannot be read.
    #[error(
        "selector \"{selector}\" is wrong at column {column}: {problem}; help: write it like {example}",
        example = "rank=urgent,centre in (giza, cairo)"
    )]
    Selector {
        /// The selector as given.
        selector: String,
        /// Column of the first character that does not fit, from 1.
        column: usize,
        /// What was expected.
        problem: String,
    },
    /// A key hash has the wrong form.
    #[error(
        "key hash \"{text}\" is not 64 hexadecimal digits; help: make it with `turmericrelay hash-key`"
    )]
    KeyHash {
        /// The text as given.
        text: String,
    },
    /// An item of a revision cannot be read or written.
    #[error("{section} \"{name}\" of the revision is not valid: {source}")]
    Item {
        /// The list that it stands in.
        section: crate::Section,
        /// Its name.
        name: String,
        /// The codec's error.
        source: serde_json::Error,
    },
    /// A revision's number cannot be read.
    #[error("revision \"{text}\" is not a number; help: `turmericrelay history` lists revisions")]
    Revision {
        /// The text as given.
        text: String,
    },
    /// An order id has the wrong form.
    #[error("order id \"{text}\" is not valid; help: use 1 to 64 letters, digits and . _ -")]
    Order {
        /// The text as given.
        text: String,
    },
    /// The bytes of a stored revision are damaged.
    #[error("stored revision is damaged: {problem}; help: remove the file to fetch it from peers")]
    Damaged {
        /// What does not fit.
        problem: &'static str,
    },
}

impl Error {
    /// The name in the declarations that the error is about, if it is about one.
    pub fn subject(&self) -> Option<&str> {
        match self {
            Self::Twice { name, .. } | Self::Unknown { name, .. } => Some(name),
            _ => None,
        }
    }
}
