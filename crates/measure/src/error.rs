//! Errors from measurements.

/// Error from preparing, running or plotting a measurement.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The scenario is not valid YAML or does not have the documented fields.
    #[error("scenario is not valid: {source}; help: see docs/MEASURING.md for the fields")]
    InvalidFormat {
        /// The parser's error, with line and column where it knows them.
        #[from]
        source: serde_norway::Error,
    },
    /// A value of a scenario, a comparison or the command line is missing or out of range.
    #[error("value of \"{field}\" is invalid: {problem}; help: {help}")]
    InvalidValue {
        /// Name of the invalid field.
        field: &'static str,
        /// Description of the problem.
        problem: String,
        /// How to fix the value.
        help: &'static str,
    },
    /// The folder for plots cannot be created.
    #[error("cannot create folder \"{path}\": {source}; help: choose a folder that is writable")]
    File {
        /// Path of the folder as given.
        path: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// A process does not respond.
    #[error("{url} did not answer: {problem}; help: start the fleet before measuring it")]
    Unreachable {
        /// URL of the request.
        url: String,
        /// Description of the failure.
        problem: String,
    },
    /// A latency histogram cannot be created.
    #[error("cannot create a latency histogram: {0}; help: report this error as a bug")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A plot cannot be drawn.
    #[error("cannot draw plot \"{path}\": {problem}; help: check free space and permissions")]
    Plot {
        /// Path of the plot.
        path: String,
        /// Description of the failure.
        problem: String,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}; help: use fewer threads or raise the process limit")]
    Thread(std::io::Error),
}
