//! Errors of placement settings.

/// Why a load bound cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bound is below the mean.
    #[error("load bound {percent}% is below the mean; help: give 100 or more, 125 is usual")]
    Bound {
        /// The bound as given.
        percent: u32,
    },
    /// The text is not a number of percent.
    #[error("load bound \"{text}\" is not a number of percent; help: write it as 125%")]
    Text {
        /// The text as given.
        text: String,
    },
}
