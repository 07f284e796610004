//! Errors of measurements.

/// Why a measurement could not be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The scenario is not YAML of the documented form.
    #[error("scenario is not valid: {source}; help: see docs/MEASURING.md for the fields")]
    Form {
        /// The parser's error, with line and column where it knows them.
        #[from]
        source: serde_norway::Error,
    },
    /// A value of the scenario is out of range.
    #[error("scenario field \"{field}\": {problem}; help: {help}")]
    Value {
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        problem: String,
        /// How to mend it.
        help: &'static str,
    },
    /// A file cannot be read or written.
    #[error("file \"{path}\" cannot be used: {source}")]
    File {
        /// The path as given.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A process does not answer.
    #[error("{url} did not answer: {problem}; help: start the fleet before measuring it")]
    Unreachable {
        /// What was asked for.
        url: String,
        /// What went wrong.
        problem: String,
    },
    /// A histogram cannot be made.
    #[error("histogram cannot be made: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A plot cannot be drawn.
    #[error("plot \"{path}\" cannot be drawn: {problem}")]
    Plot {
        /// The file.
        path: String,
        /// What went wrong.
        problem: String,
    },
    /// A thread cannot be started.
    #[error("thread cannot be started: {0}")]
    Thread(std::io::Error),
}
