//! Errors of announcements and reports.

/// Error from an announcement, a load report or a cache report of an upstream.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is not valid JSON of the documented format.
    #[error(
        "{what} is not valid: {}; help: see docs/UPSTREAMS.md for the form",
        names::shorten(.source.to_string())
    )]
    InvalidFormat {
        /// Name of the expected body.
        what: &'static str,
        /// Error from the JSON parser, with line and column.
        source: serde_json::Error,
    },
    /// A value is out of range.
    #[error("announcement of upstream \"{upstream}\": {problem}; help: {help}")]
    InvalidValue {
        /// Name of the upstream in the announcement.
        upstream: String,
        /// Description of the problem.
        problem: String,
        /// Description of the remedy.
        help: &'static str,
    },
    /// The upstream is not announced.
    #[error("upstream \"{upstream}\" is not announced; help: announce it first")]
    Unknown {
        /// Name of the upstream in the report.
        upstream: String,
    },
}
