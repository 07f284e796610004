//! Errors of placement settings.

/// Error from an invalid load bound.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bound is below 100 percent of the mean load.
    #[error(
        "load bound {percent}% is below the mean load; help: set it to 100% or more, usually 125%"
    )]
    Bound {
        /// The rejected bound, in percent.
        percent: u32,
    },
    /// The text is not a percentage.
    #[error("load bound \"{text}\" is not a percentage; help: write it as 125%")]
    Text {
        /// The rejected text.
        text: String,
    },
}
