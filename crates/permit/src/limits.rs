//! Limits on permits, the inputs and results of permit decisions, and usage for operators.

use names::{Instance, Upstream};
use placement::{LoadBound, TotalLoad};

use crate::{InFlight, Outcome, PermitId};

/// Divisor for the part of the known load that is left out of the mean, because those requests may
/// have ended since the load was reported.
const DISCOUNT_DIVISOR: u32 = 10;

/// Reply to a permit request.
pub(crate) struct Reply {
    pub(crate) requester: Instance,
    pub(crate) number: u64,
    pub(crate) outcome: Outcome,
}

/// Generator of permit ids, which increase in the order in which permits are granted.
#[derive(Debug)]
pub(crate) struct PermitIds {
    pub(crate) first: u64,
    next: u64,
}

impl PermitIds {
    pub(crate) fn new(first: u64) -> Self {
        Self { first, next: first }
    }

    pub(crate) fn next(&mut self) -> PermitId {
        self.next += 1;
        PermitId(self.next)
    }
}

/// Maximum numbers of requests in flight at one upstream under the load bound.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Limit that excludes uncertain requests, both at the upstream and in the mean.
    pub(crate) certain: u32,
    /// Limit that includes uncertain requests, both at the upstream and in the mean.
    pub(crate) all: u32,
}

/// Inputs for the part of a pool's load that one upstream may carry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolShare {
    pub(crate) bound: LoadBound,
    /// Slots of the upstream.
    pub(crate) slots: u32,
    /// Slots of the whole pool.
    pub(crate) pool_slots: u64,
    /// Whether a former owner that left the membership may still grant permits. Two owners that
    /// cannot know of each other must not both round up, so this one rounds down.
    pub(crate) is_inherited: bool,
}

impl PoolShare {
    /// Returns the limits while the pool carries the load `total`.
    pub(crate) fn limits(self, total: InFlight) -> Limits {
        Limits { certain: self.limit(total.certain), all: self.limit(total.all()) }
    }

    fn limit(self, in_flight: u32) -> u32 {
        let counted = u64::from(in_flight - in_flight.div_ceil(DISCOUNT_DIVISOR));
        let total = TotalLoad { in_flight: counted, slots: self.pool_slots };
        let limit = match self.is_inherited {
            true => self.bound.max_in_flight_rounded_down(total, self.slots),
            false => self.bound.max_in_flight(total, self.slots),
        };
        limit.min(self.slots)
    }
}

/// State of an owner that the decision on a permit request depends on.
pub(crate) struct DecisionInputs<'a> {
    pub(crate) ids: &'a mut PermitIds,
    pub(crate) limits: Limits,
    pub(crate) slots: u32,
    /// Holders that may have ended.
    pub(crate) suspected: &'a [Instance],
}

/// Usage of an owned upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage<'a> {
    /// Name of the upstream.
    pub upstream: &'a Upstream,
    /// Number of permits in use.
    pub in_flight: u32,
    /// Maximum number of permits under the load bound, as computed for the last request.
    pub bound: u32,
    /// Number of requests that wait for a permit.
    pub waiting: u32,
}
