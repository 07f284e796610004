//! Errors of placement settings.

/// Error from an invalid load bound.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bound is below 100 percent of the mean load.
    #[error("load bound {percent}% is below the mean; help: give 100 or more, 125 is usual")]
    Bound {
        /// The rejected bound, in percent.
        percent: u32,
    },
    /// The text is not a percentage.
    #[error("load bound \"{text}\" is not a number of percent; help: write it as 125%")]
    Text {
        /// The rejected text.
        text: String,
    },
}
