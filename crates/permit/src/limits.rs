//! What an owner decides an ask by, its answer, and what operators see of it.

use names::{Instance, Upstream};
use placement::{Bound, Sum};

use crate::{Load, Outcome, PermitId};

/// The part of the known load that is not counted, since it may have ended meanwhile.
const DISCOUNT_PARTS: u32 = 10;

/// An answer for an asker.
pub(crate) struct Answer {
    pub(crate) asker: Instance,
    pub(crate) number: u64,
    pub(crate) outcome: Outcome,
}

/// The ids of a run's permits, which grow in the order in which permits are given.
#[derive(Debug)]
pub(crate) struct Ids {
    pub(crate) first: u64,
    next: u64,
}

impl Ids {
    pub(crate) fn new(first: u64) -> Self {
        Self { first, next: first }
    }

    pub(crate) fn next(&mut self) -> PermitId {
        self.next += 1;
        PermitId(self.next)
    }
}

/// Most requests in flight by the load bound.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Without those of lost holders, at the mean without them.
    pub(crate) certain: u32,
    /// With those of lost holders, at the mean with them.
    pub(crate) all: u32,
}

/// What one upstream may carry of the load of its pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Share {
    pub(crate) bound: Bound,
    /// Slots of the upstream.
    pub(crate) slots: u32,
    /// Slots of the whole pool.
    pub(crate) pool_slots: u32,
    /// Whether an owner that was lost from view may still give permits: of two owners that cannot
    /// know of each other, only one may round up.
    pub(crate) is_inherited: bool,
}

impl Share {
    /// The limits while the pool has the load `total`.
    pub(crate) fn limits(self, total: Load) -> Limits {
        Limits { certain: self.most(total.certain), all: self.most(total.all()) }
    }

    fn most(self, in_flight: u32) -> u32 {
        let counted = u64::from(in_flight - in_flight.div_ceil(DISCOUNT_PARTS));
        let sum = Sum { in_flight: counted, slots: u64::from(self.pool_slots) };
        let most = match self.is_inherited {
            true => self.bound.most_rounded_down(sum, self.slots),
            false => self.bound.most(sum, self.slots),
        };
        most.min(self.slots)
    }
}

/// What an ask is decided by.
pub(crate) struct Terms<'a> {
    pub(crate) ids: &'a mut Ids,
    pub(crate) limits: Limits,
    pub(crate) slots: u32,
    /// Holders that may have ended.
    pub(crate) doubted: &'a [Instance],
}

/// How an owned upstream is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage<'a> {
    /// Its name.
    pub upstream: &'a Upstream,
    /// Permits in use.
    pub in_flight: u32,
    /// Most permits by the load bound, as it was computed for the last request.
    pub bound: u32,
    /// Requests that wait for a permit.
    pub waiting: u32,
}
