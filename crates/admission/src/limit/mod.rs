//! Account limits that hold over the whole fleet.
//!
//! Each instance passes a small base share of an account's limit on its own. The rest is the pool
//! of the account's coordinator, an instance that all others derive from the account's key; its
//! [`Apportioner`] grants shares by demand for a short time. Each [`Limiter`] reports only active
//! accounts. Whatever is lost or cut off, a grant lapses and only the base share remains.

mod apportioner;
mod limiter;
mod message;

use std::time::Duration;

pub use apportioner::Apportioner;
pub use limiter::{Limiter, Passage};
pub use message::{AccountKey, Demand, Grant, Grants, Hourly, Limit, Message, Report};

/// Part of a limit that instances share evenly without a coordinator.
const BASE_SHARE: f64 = 0.1;

/// How often an instance reports an active account.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// How long a grant holds from the sending of its report.
const GRANT_LIFETIME: Duration = Duration::from_secs(3);

fn find_limit(limits: &[Limit], account: AccountKey) -> Option<f64> {
    let index = limits.binary_search_by(|limit| limit.account.cmp(&account)).ok()?;
    Some(limits[index].rate.as_per_second())
}

fn sorted(mut limits: Vec<Limit>) -> Vec<Limit> {
    limits.sort_by_key(|limit| limit.account);
    limits
}
