//! Rate limits of client accounts that hold across the whole fleet.
//!
//! Each instance admits a small base share of an account's limit on its own. The rest of the limit
//! is the pool of the account's coordinator, an instance that all others derive from the account's
//! key. The coordinator's [`LimitCoordinator`] divides the pool by demand and grants each share for
//! a short time. Each [`Limiter`] reports only active accounts. After lost messages or a network
//! partition, grants expire and only the base share remains.

mod coordinator;
mod limiter;
mod message;

use std::time::Duration;

pub use coordinator::LimitCoordinator;
pub use limiter::{LimitDecision, Limiter};
pub use message::{AccountKey, Demand, Grant, Grants, Limit, Message, Report, RequestsPerHour};

/// Fraction of a limit that the instances share evenly without a coordinator.
const BASE_SHARE: f64 = 0.1;

/// Interval between two reports of an active account.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Lifetime of a grant, counted from the time at which its report was sent.
const GRANT_LIFETIME: Duration = Duration::from_secs(3);

fn find_limit(limits: &[Limit], account: AccountKey) -> Option<f64> {
    let index = limits.binary_search_by(|limit| limit.account.cmp(&account)).ok()?;
    Some(limits[index].rate.as_per_second())
}

fn sort_limits(mut limits: Vec<Limit>) -> Vec<Limit> {
    limits.sort_by_key(|limit| limit.account);
    limits
}
