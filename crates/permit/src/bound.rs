//! The load bound: consistent hashing with bounded loads.

use serde::{Deserialize, Serialize};

/// Work and room of a pool of upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that the upstreams work on at once.
    pub slots: u32,
}

/// The most load of an upstream relative to the mean of its pool, in percent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// 125 lets an upstream carry a quarter more than the mean.
    pub percent: u32,
}

impl Bound {
    /// The most requests in flight at an upstream with `slots` while the pool carries `pool`,
    /// with the request that is to be admitted: the bound times the mean per slot, rounded up.
    /// Never more than the slots.
    pub fn limit(self, pool: Sum, slots: u32) -> u32 {
        let share = u64::from(self.percent) * u64::from(pool.in_flight + 1) * u64::from(slots);
        let limit = share.div_ceil(100 * u64::from(pool.slots.max(1)));
        u32::try_from(limit).unwrap_or(u32::MAX).min(slots)
    }
}
