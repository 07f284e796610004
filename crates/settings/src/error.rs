//! Errors from reading settings.

/// Error from reading or validating settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not valid YAML of the documented format.
    #[error("settings are not valid: {source}; help: see docs/SETTINGS.md for the fields")]
    InvalidFormat {
        /// Error from the YAML parser, with line and column if they are known.
        #[from]
        source: serde_norway::Error,
    },
    /// Two fields contradict each other, or a value is out of range.
    #[error("setting \"{field}\": {problem}; help: {help}")]
    InvalidValue {
        /// Path of the field.
        field: &'static str,
        /// Description of the problem.
        problem: String,
        /// Description of the remedy.
        help: &'static str,
    },
    /// The file cannot be read.
    #[error("cannot read settings file \"{path}\": {source}; help: check its path and permissions")]
    File {
        /// Path of the file.
        path: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
}
