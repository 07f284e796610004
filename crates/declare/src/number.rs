//! Revision numbers, order ids and timestamps.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Maximum length of an order id, in bytes.
const MAX_ORDER_ID_BYTES: usize = 64;
const MILLIS_PER_SECOND: u64 = 1000;
const SECONDS_PER_DAY: u64 = 86_400;

/// Number of a revision of the declarations; 0 before the first commit.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the number of the next revision.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for Revision {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        text.parse().map(Self).map_err(|_| Error::InvalidRevision { text: text.to_string() })
    }
}

/// Id of an order of an operator, which makes retries of the order idempotent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Order(String);

impl TryFrom<String> for Order {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        let is_allowed =
            |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
        let is_valid =
            !text.is_empty() && text.len() <= MAX_ORDER_ID_BYTES && text.bytes().all(is_allowed);
        if is_valid { Ok(Self(text)) } else { Err(Error::InvalidOrderId { text }) }
    }
}

impl FromStr for Order {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        text.to_string().try_into()
    }
}

impl From<Order> for String {
    fn from(order: Order) -> String {
        order.0
    }
}

impl fmt::Display for Order {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A timestamp in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Moment(pub u64);

impl fmt::Display for Moment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.0 / MILLIS_PER_SECOND;
        let (year, month, day) = date(seconds / SECONDS_PER_DAY);
        let second = seconds % SECONDS_PER_DAY;
        let (hour, minute) = (second / 3600, second / 60 % 60);
        write!(formatter, "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{:02}Z", second % 60)
    }
}

/// Returns the year, month and day of the Gregorian calendar, `days` days after 1970-01-01.
fn date(days: u64) -> (u64, u64, u64) {
    // An era has 400 years. Years start in March, so that a leap day is the last day of a year.
    const DAYS_PER_ERA: u64 = 146_097;
    const DAYS_TO_1970: u64 = 719_468;
    let days = days.saturating_add(DAYS_TO_1970);
    let era = days / DAYS_PER_ERA;
    let day_of_era = days % DAYS_PER_ERA;
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
