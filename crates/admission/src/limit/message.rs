//! Messages between limiters and coordinators, and their units.

use std::fmt;

use names::ClientAccount;
use serde::{Deserialize, Serialize};
use units::Rate;
use xxhash_rust::xxh3::xxh3_64;

const SECONDS_PER_HOUR: f64 = 3600.0;

/// Key of a client account in messages: the hash of its name, always encoded in eight bytes.
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

/// Rate in requests per hour, which has enough resolution for a small share of a small limit.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestsPerHour(pub u32);

impl RequestsPerHour {
    /// Converts a rate in requests per second and rounds it down.
    pub fn from_per_second(requests: f64) -> Self {
        Self((requests * SECONDS_PER_HOUR) as u32)
    }

    /// Returns the rate in requests per second.
    pub fn as_per_second(self) -> f64 {
        f64::from(self.0) / SECONDS_PER_HOUR
    }
}

impl fmt::Display for RequestsPerHour {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/h", self.0)
    }
}

/// Declared rate limit of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Key of the account.
    pub account: AccountKey,
    /// Largest fleet-wide request rate of the account.
    pub rate: Rate,
}

/// Demand of an account at one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Key of the account.
    pub account: AccountKey,
    /// Rate of admitted and refused requests.
    pub rate: RequestsPerHour,
    /// Sequence number of the report whose grant the instance holds, or 0 without a grant.
    pub held_sequence: u64,
}

/// Report of an instance to a coordinator about some accounts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Sequence number, greater than those of earlier reports of the same process.
    pub sequence: u64,
    /// One entry for each active account.
    pub demands: Vec<Demand>,
}

/// Share of a limit that one instance may admit beyond its base share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Key of the account.
    pub account: AccountKey,
    /// Granted request rate.
    pub rate: RequestsPerHour,
}

/// Response of a coordinator to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// Sequence number of the report.
    pub sequence: u64,
    /// One entry for each limited account of the report.
    pub grants: Vec<Grant>,
}

/// Message between instances about limited accounts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Report to a coordinator.
    Report(Report),
    /// Grants from a coordinator.
    Grants(Grants),
}
