//! Messages about the use of limited accounts, and the units in them.

use std::fmt;

use names::ClientAccount;
use serde::{Deserialize, Serialize};
use units::Rate;
use xxhash_rust::xxh3::xxh3_64;

const SECONDS_PER_HOUR: f64 = 3600.0;

/// A client account in messages: the hash of its name, eight bytes whatever its value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "[u8; 8]", into = "[u8; 8]")]
pub struct AccountKey(pub u64);

impl From<[u8; 8]> for AccountKey {
    fn from(bytes: [u8; 8]) -> Self {
        Self(u64::from_le_bytes(bytes))
    }
}

impl From<AccountKey> for [u8; 8] {
    fn from(key: AccountKey) -> [u8; 8] {
        key.0.to_le_bytes()
    }
}

impl From<&ClientAccount> for AccountKey {
    fn from(account: &ClientAccount) -> Self {
        Self(xxh3_64(account.as_str().as_bytes()))
    }
}

/// A number of requests an hour, fine enough for a small share of a small limit.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Hourly(pub u32);

impl Hourly {
    /// The rate of `requests` a second, rounded down.
    pub fn from_per_second(requests: f64) -> Self {
        Self((requests * SECONDS_PER_HOUR) as u32)
    }

    /// Requests a second.
    pub fn as_per_second(self) -> f64 {
        f64::from(self.0) / SECONDS_PER_HOUR
    }
}

impl fmt::Display for Hourly {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/h", self.0)
    }
}

/// The declared limit of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// The account.
    pub account: AccountKey,
    /// Most requests that it may make, fleet-wide.
    pub rate: Rate,
}

/// How much an account asks of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The account.
    pub account: AccountKey,
    /// Its requests, passed and refused.
    pub rate: Hourly,
    /// Number of the report whose grant the instance holds; 0 when it holds none.
    pub held: u64,
}

/// What an instance tells the coordinator of some accounts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its number, greater than that of earlier reports of the run.
    pub sequence: u64,
    /// One entry for each active account.
    pub demands: Vec<Demand>,
}

/// The share of a limit that one instance may pass beyond its base share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The account.
    pub account: AccountKey,
    /// Its requests.
    pub rate: Hourly,
}

/// A coordinator's answer to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// The number of the report.
    pub sequence: u64,
    /// One entry for each limited account of the report.
    pub grants: Vec<Grant>,
}

/// What instances tell each other about limited accounts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// To a coordinator.
    Report(Report),
    /// From a coordinator.
    Grants(Grants),
}
