//! Quantities with their units: spans of time, byte sizes, rates.
//!
//! Settings and declarations write every quantity with its unit, such as `250ms` or `64KiB`.

mod error;
mod rate;
mod size;
mod span;

pub use error::Error;
pub use rate::Rate;
pub use size::Size;
pub use span::Span;

/// Splits `text` into its leading digits and the unit behind them.
fn split(what: &'static str, text: &str) -> Result<(u64, String), Error> {
    let digits = text.chars().take_while(char::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number = number.parse().map_err(|_| Error::Number { what, text: text.to_string() })?;
    Ok((number, unit.trim().to_string()))
}

macro_rules! text_form {
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
pub(crate) use text_form;
