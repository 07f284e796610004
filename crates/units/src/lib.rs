//! Quantities with units: time spans, byte sizes and rates.
//!
//! Settings and declarations contain every quantity as text with its unit, such as `250ms` or
//! `64KiB`.

mod error;
mod rate;
mod size;
mod span;

pub use error::Error;
pub use rate::Rate;
pub use size::Size;
pub use span::Span;

/// Splits `text` into its leading whole number and the unit that follows.
fn split_unit(quantity: &'static str, text: &str) -> Result<(u64, String), Error> {
    let digits = text.chars().take_while(char::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number =
        number.parse().map_err(|_| Error::MissingNumber { quantity, text: text.to_string() })?;
    Ok((number, unit.trim().to_string()))
}

/// Implements the conversions from and to `String` that serde uses.
macro_rules! impl_string_conversions {
    ($type:ident) => {
        impl TryFrom<String> for $type {
            type Error = crate::Error;

            fn try_from(text: String) -> Result<Self, crate::Error> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(value: $type) -> String {
                value.to_string()
            }
        }
    };
}
pub(crate) use impl_string_conversions;
