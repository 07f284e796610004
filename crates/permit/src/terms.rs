//! What an owner decides an ask by, and its answer.

use names::Instance;

use crate::{Outcome, PermitId};

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

/// What an ask is decided by.
pub(crate) struct Terms<'a> {
    pub(crate) ids: &'a mut Ids,
    pub(crate) limits: Limits,
    pub(crate) slots: u32,
    /// Holders that may have ended.
    pub(crate) doubted: &'a [Instance],
}
