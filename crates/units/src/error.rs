//! Errors from parsing quantities.

/// Error from a text that is not a valid quantity.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text does not start with a whole number.
    #[error("{quantity} \"{text}\" does not start with a whole number; help: write it like {}", example(.quantity))]
    MissingNumber {
        /// Name of the expected quantity.
        quantity: &'static str,
        /// The invalid text.
        text: String,
    },
    /// The unit is unknown.
    #[error("{quantity} \"{text}\" has unknown unit \"{unit}\"; help: write it like {}", example(.quantity))]
    UnknownUnit {
        /// Name of the expected quantity.
        quantity: &'static str,
        /// The invalid text.
        text: String,
        /// The unknown unit.
        unit: String,
    },
    /// The value does not fit into the integer type of the quantity.
    #[error("{quantity} \"{text}\" is too large")]
    TooLarge {
        /// Name of the expected quantity.
        quantity: &'static str,
        /// The invalid text.
        text: String,
    },
}

/// Returns examples of valid texts for a quantity.
fn example(quantity: &str) -> &'static str {
    match quantity {
        "span of time" => "250ms, 2s, 5m, 1h or 7d",
        "byte size" => "512B, 64KiB, 4MiB or 1GiB",
        _ => "150/s or 600/m",
    }
}
