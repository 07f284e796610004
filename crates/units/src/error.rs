//! Errors of reading a quantity.

/// Why a text is not a quantity.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text does not start with a whole number.
    #[error("{what} \"{text}\" does not start with a whole number; help: write it like {}", example(.what))]
    Number {
        /// What was being read.
        what: &'static str,
        /// The text as given.
        text: String,
    },
    /// The unit is not one of those known.
    #[error("{what} \"{text}\" has unknown unit \"{unit}\"; help: write it like {}", example(.what))]
    Unit {
        /// What was being read.
        what: &'static str,
        /// The text as given.
        text: String,
        /// The unit as given.
        unit: String,
    },
    /// The quantity does not fit its type.
    #[error("{what} \"{text}\" is too large")]
    Large {
        /// What was being read.
        what: &'static str,
        /// The text as given.
        text: String,
    },
}

fn example(what: &str) -> &'static str {
    match what {
        "span of time" => "250ms, 2s, 5m, 1h or 7d",
        "byte size" => "512B, 64KiB, 4MiB or 1GiB",
        _ => "150/s or 600/m",
    }
}
