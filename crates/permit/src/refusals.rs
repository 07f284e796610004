//! Cache of refusals, which lets an instance refuse similar requests without asking an owner.
//!
//! An owner that refuses a request says when to retry. Until then, the instance itself refuses
//! requests of the same account, kind of work and pool that cost at least as much, have no more
//! time left, and may use no other upstreams of the pool. One request is let through as a probe, to
//! find out whether the owners still refuse.

use std::time::{Duration, Instant};

use admission::Tokens;
use names::{ClientAccount, Kind, Upstream};

use crate::{PlacementRequest, Pool};

/// Upper limit on the lifetime of a cached refusal.
const MAX_REFUSAL_AGE: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct CachedRefusal {
    pool: Pool,
    account: ClientAccount,
    kind: Kind,
    /// Upstreams that the refused requests left out.
    excluded: Vec<Upstream>,
    /// Lowest cost that was refused.
    cost: Tokens,
    /// Longest time to its deadline that a refused request had.
    time_budget: Duration,
    expires_at: Instant,
    is_probed: bool,
}

impl CachedRefusal {
    fn matches(&self, placement_request: &PlacementRequest) -> bool {
        self.account == placement_request.account
            && self.kind == placement_request.kind
            && self.pool == Pool::from(placement_request.target.clone())
    }

    /// Returns whether the owners are expected to refuse `placement_request`, too.
    fn covers(&self, now: Instant, placement_request: &PlacementRequest) -> bool {
        let time_budget = placement_request.deadline.saturating_duration_since(now);
        self.matches(placement_request)
            && is_subset(&self.excluded, &placement_request.excluded)
            && placement_request.cost >= self.cost
            && time_budget <= self.time_budget
    }
}

fn is_subset(part: &[Upstream], all: &[Upstream]) -> bool {
    part.iter().all(|upstream| all.contains(upstream))
}

/// Refusals that have not expired.
#[derive(Debug, Default)]
pub(crate) struct RefusalCache {
    refusals: Vec<CachedRefusal>,
}

impl RefusalCache {
    /// Returns the time until a retry if the owners are expected to refuse `placement_request`.
    /// Returns `None` if the owners have to be asked, which includes the first similar request as
    /// a probe.
    pub(crate) fn retry_after(
        &mut self,
        now: Instant,
        placement_request: &PlacementRequest,
    ) -> Option<Duration> {
        self.refusals.retain(|refusal| refusal.expires_at > now);
        let refusal =
            self.refusals.iter_mut().find(|refusal| refusal.covers(now, placement_request))?;
        let is_probe = !std::mem::replace(&mut refusal.is_probed, true);
        (!is_probe).then(|| refusal.expires_at - now)
    }

    /// Records that an owner refused `placement_request`, which had `time_budget` left until its
    /// deadline.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        placement_request: &PlacementRequest,
        time_budget: Duration,
        retry_after: Duration,
    ) {
        let expires_at = now + retry_after.min(MAX_REFUSAL_AGE);
        let excluded = &placement_request.excluded;
        let is_same = |refusal: &&mut CachedRefusal| {
            refusal.matches(placement_request)
                && is_subset(&refusal.excluded, excluded)
                && is_subset(excluded, &refusal.excluded)
        };
        match self.refusals.iter_mut().find(is_same) {
            Some(refusal) => {
                refusal.cost = refusal.cost.min(placement_request.cost);
                refusal.time_budget = refusal.time_budget.max(time_budget);
                refusal.expires_at = expires_at;
            }
            None => self.refusals.push(CachedRefusal {
                pool: Pool::from(placement_request.target.clone()),
                account: placement_request.account.clone(),
                kind: placement_request.kind.clone(),
                excluded: excluded.clone(),
                cost: placement_request.cost,
                time_budget,
                expires_at,
                is_probed: false,
            }),
        }
    }

    /// Removes refusals that match `placement_request`, since an owner accepted it.
    pub(crate) fn clear(&mut self, placement_request: &PlacementRequest) {
        self.refusals.retain(|refusal| !refusal.matches(placement_request));
    }
}
