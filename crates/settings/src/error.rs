//! Errors of reading settings.

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not YAML of the documented form.
    #[error("settings are not valid: {source}; help: see docs/SETTINGS.md for the fields")]
    Form {
        /// The parser's error, which names line and column where it knows them.
        #[from]
        source: serde_norway::Error,
    },
    /// Two fields contradict each other, or a value is out of range.
    #[error("setting \"{field}\": {problem}; help: {help}")]
    Value {
        /// The field's path.
        field: &'static str,
        /// What is wrong with it.
        problem: String,
        /// How to mend it.
        help: &'static str,
    },
    /// The file cannot be read.
    #[error("settings file \"{path}\" cannot be read: {source}")]
    File {
        /// The path as given.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
}
