//! The load of pools, which one aggregator per pool sums up from the parts that owners send.

use std::time::{Duration, Instant};

use names::Instance;

use crate::{InFlight, Pool};

/// Time between two checks for loads that changed.
pub(crate) const SEND_PERIOD: Duration = Duration::from_millis(20);

/// A load is sent at once if it changed by more than its value divided by this number.
const SEND_THRESHOLD_DIVISOR: u32 = 20;

/// Time after which an unchanged load is sent again.
const RESEND_PERIOD: Duration = Duration::from_millis(100);

/// Time after which a part or a total that was not received again counts as zero.
const LOAD_LIFETIME: Duration = Duration::from_millis(250);

/// Time window over which the aggregator takes the minimum of an owner's part.
const MIN_WINDOW: Duration = Duration::from_millis(150);

/// Time for which the load that a requester observed during its search counts.
const OBSERVED_LIFETIME: Duration = Duration::from_millis(10);

/// Time for which a pool without permit requests is still reported.
const POOL_RETENTION: Duration = Duration::from_secs(10);

fn has_drifted(old: InFlight, new: InFlight) -> bool {
    let exceeds_threshold = |old: u32, new: u32| old.abs_diff(new) * SEND_THRESHOLD_DIVISOR > old;
    exceeds_threshold(old.certain, new.certain) || exceeds_threshold(old.uncertain, new.uncertain)
}

/// The last value that was sent, which decides when to send the next one.
#[derive(Debug, Clone, Copy)]
struct SentLoad {
    value: InFlight,
    resend_at: Instant,
}

/// Returns whether `value` has to be sent now, and if so records it as sent.
fn mark_if_due(sent: &mut Option<SentLoad>, now: Instant, value: InFlight) -> bool {
    let is_due = sent.is_none_or(|sent| has_drifted(sent.value, value) || sent.resend_at <= now);
    if is_due {
        *sent = Some(SentLoad { value, resend_at: now + RESEND_PERIOD });
    }
    is_due
}

/// What an owner knows about the load of one pool.
#[derive(Debug)]
pub(crate) struct PoolLoad {
    pub(crate) pool: Pool,
    total: InFlight,
    total_until: Instant,
    observed: InFlight,
    observed_until: Instant,
    remove_at: Instant,
    sent: Option<SentLoad>,
    /// The aggregator that last received this owner's part.
    aggregator: Option<Instance>,
}

impl PoolLoad {
    fn new(now: Instant, pool: Pool) -> Self {
        let remove_at = now + POOL_RETENTION;
        Self {
            pool,
            total: InFlight::default(),
            total_until: now,
            observed: InFlight::default(),
            observed_until: now,
            remove_at,
            sent: None,
            aggregator: None,
        }
    }

    /// Sets the aggregator of the pool and returns the previous one if it was a different
    /// instance.
    pub(crate) fn set_aggregator(&mut self, aggregator: &Instance) -> Option<Instance> {
        let previous = self.aggregator.replace(aggregator.clone());
        previous.filter(|previous| previous != aggregator)
    }

    /// Returns the load of the pool, of which `own` is at the upstreams of this instance. The
    /// estimate errs on the low side.
    pub(crate) fn total(&self, now: Instant, own: InFlight) -> InFlight {
        let total = if now < self.total_until { self.total } else { InFlight::default() };
        let observed = if now < self.observed_until { self.observed } else { InFlight::default() };
        total.combine(observed, u32::max).combine(own, u32::max)
    }

    pub(crate) fn set_total(&mut self, now: Instant, total: InFlight) {
        self.total = total;
        self.total_until = now + LOAD_LIFETIME;
    }

    pub(crate) fn set_observed(&mut self, now: Instant, observed: InFlight) {
        self.observed = observed;
        self.observed_until = now + OBSERVED_LIFETIME;
    }

    /// Returns whether this owner's part has to be sent to the aggregator now, and if so records
    /// it as sent.
    pub(crate) fn mark_if_due(&mut self, now: Instant, part: InFlight) -> bool {
        mark_if_due(&mut self.sent, now, part)
    }

    /// Discards the received total and forces the part to be sent again, since the members
    /// changed.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.sent = None;
        self.total_until = now;
    }
}

/// Loads of the pools for which this owner received permit requests.
#[derive(Debug, Default)]
pub(crate) struct PoolLoads {
    pub(crate) loads: Vec<PoolLoad>,
}

impl PoolLoads {
    /// Returns the load of `pool`, adding an entry if there is none, and extends its retention.
    pub(crate) fn get(&mut self, now: Instant, pool: &Pool) -> &mut PoolLoad {
        let index = match self.loads.iter().position(|load| load.pool == *pool) {
            Some(index) => index,
            None => {
                self.loads.push(PoolLoad::new(now, pool.clone()));
                self.loads.len() - 1
            }
        };
        self.loads[index].remove_at = now + POOL_RETENTION;
        &mut self.loads[index]
    }

    pub(crate) fn find(&mut self, pool: &Pool) -> Option<&mut PoolLoad> {
        self.loads.iter_mut().find(|load| load.pool == *pool)
    }

    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.loads.retain(|load| load.remove_at > now);
    }
}

#[derive(Debug)]
struct OwnerParts {
    owner: Instance,
    /// Recent parts of the owner, each with the time until which it counts. The last one is the
    /// current part.
    recent: Vec<(InFlight, Instant)>,
    sent: Option<SentLoad>,
}

impl OwnerParts {
    fn push(&mut self, now: Instant, part: InFlight) {
        if let Some(last) = self.recent.last_mut() {
            // An owner that repeats its part may have discarded the total.
            if last.0 == part {
                self.sent = None;
            }
            last.1 = now + MIN_WINDOW;
        }
        self.recent.push((part, now + LOAD_LIFETIME));
    }

    /// Returns the minimum of the parts within the window. A request that ends at this owner and
    /// starts at another one is then never counted twice, whichever part arrives first.
    fn minimum(&mut self, now: Instant) -> InFlight {
        self.recent.retain(|(_, until)| *until > now);
        let parts = self.recent.iter().map(|(part, _)| *part);
        parts.reduce(|left, right| left.combine(right, u32::min)).unwrap_or_default()
    }
}

#[derive(Debug)]
struct AggregatedPool {
    pool: Pool,
    owners: Vec<OwnerParts>,
}

/// Sums the parts of the pools for which this instance is the aggregator.
#[derive(Debug, Default)]
pub(crate) struct Aggregator {
    pools: Vec<AggregatedPool>,
}

impl Aggregator {
    /// Removes all parts, since they may belong to a different view of the members.
    pub(crate) fn clear(&mut self) {
        self.pools.clear();
    }

    /// Removes the parts of `owner`, whose view of the members differs.
    pub(crate) fn remove_owner(&mut self, owner: &Instance) {
        for aggregated in &mut self.pools {
            aggregated.owners.retain(|parts| parts.owner != *owner);
        }
    }

    /// Records the part that `owner` sent.
    pub(crate) fn record(&mut self, now: Instant, owner: &Instance, pool: Pool, part: InFlight) {
        let index = match self.pools.iter().position(|aggregated| aggregated.pool == pool) {
            Some(index) => index,
            None => {
                self.pools.push(AggregatedPool { pool, owners: Vec::new() });
                self.pools.len() - 1
            }
        };
        let owners = &mut self.pools[index].owners;
        match owners.iter_mut().find(|parts| parts.owner == *owner) {
            Some(parts) => parts.push(now, part),
            None => {
                let recent = vec![(part, now + LOAD_LIFETIME)];
                owners.push(OwnerParts { owner: owner.clone(), recent, sent: None });
            }
        }
    }

    /// Returns the totals that have to be sent now: the receiver, the pool, and its load.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<(Instance, Pool, InFlight)> {
        let mut due = Vec::new();
        for AggregatedPool { pool, owners } in &mut self.pools {
            let total = owners.iter_mut().fold(InFlight::default(), |total, parts| {
                total.combine(parts.minimum(now), |left, right| left + right)
            });
            owners.retain(|parts| !parts.recent.is_empty());
            for parts in owners {
                if mark_if_due(&mut parts.sent, now, total) {
                    due.push((parts.owner.clone(), pool.clone(), total));
                }
            }
        }
        self.pools.retain(|aggregated| !aggregated.owners.is_empty());
        due
    }
}
