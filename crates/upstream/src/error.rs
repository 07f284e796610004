//! Errors of announcements.

/// Why an announcement or load report was refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is not JSON of the documented form.
    #[error("{what} is not valid: {source}; help: see docs/UPSTREAMS.md for the form")]
    Form {
        /// What was expected.
        what: &'static str,
        /// The parser's error, with line and column.
        source: serde_json::Error,
    },
    /// A value is out of range.
    #[error("announcement of upstream \"{upstream}\": {problem}; help: {help}")]
    Value {
        /// The upstream as announced.
        upstream: String,
        /// What is wrong.
        problem: String,
        /// How to mend it.
        help: &'static str,
    },
    /// The upstream is not announced.
    #[error("upstream \"{upstream}\" is not announced; help: announce it first")]
    Unknown {
        /// The name as given.
        upstream: String,
    },
}
