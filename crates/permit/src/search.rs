//! The search of one request for a permit along the upstreams of its conversation.

use std::time::{Duration, Instant};

use names::{Instance, Upstream};

use crate::full_upstreams::FullUpstream;
use crate::{Context, InFlight, ObservedLoad, PermitRequest, PlacementRequest, Pool};

/// Time between two searches for capacity elsewhere while the request is queued.
const SEARCH_PERIOD: Duration = Duration::from_millis(200);

/// Delay before the search restarts after no owner gave a usable reply.
const RESTART_DELAY: Duration = Duration::from_millis(50);

/// Age up to which the load in an owner's reply counts as observed. Requests that ran there may
/// have ended since and may now run elsewhere.
const MAX_LOAD_AGE: Duration = Duration::from_millis(50);

/// A permit request without a final reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PendingRequest {
    pub(crate) number: u64,
    pub(crate) owner: Instance,
    pub(crate) upstream: Upstream,
    pub(crate) deadline: Instant,
}

/// Next step of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Send a permit request to the owner of this upstream.
    Request { upstream: Upstream, observed: Option<ObservedLoad>, may_wait: bool },
    /// Wait until [`UpstreamSearch::resume_at`] at the latest.
    Wait,
}

impl NextStep {
    /// Returns a request for a permit at `upstream` that must not be queued.
    pub(crate) fn request(upstream: Upstream) -> Self {
        Self::Request { upstream, observed: None, may_wait: false }
    }
}

/// The search of one caller's request for an upstream that grants a permit.
#[derive(Debug)]
pub(crate) struct UpstreamSearch {
    /// Number of the caller's request.
    pub(crate) request: u64,
    pub(crate) placement_request: PlacementRequest,
    /// First in rendezvous order of all upstreams that may have the conversation's context.
    pub(crate) home: Upstream,
    pub(crate) order: Vec<Upstream>,
    position: usize,
    full: Vec<FullUpstream>,
    /// Time from the start of the search to the deadline of the request.
    pub(crate) time_budget: Duration,
    /// Whether the search has sent a permit request that may be queued.
    has_asked_to_wait: bool,
    /// The permit request whose first reply is outstanding.
    pub(crate) outstanding: Option<PendingRequest>,
    /// The permit request that is queued at an upstream.
    pub(crate) queued: Option<PendingRequest>,
    pub(crate) resume_at: Instant,
}

impl UpstreamSearch {
    pub(crate) fn new(
        now: Instant,
        request: u64,
        placement_request: PlacementRequest,
        home: Upstream,
        order: Vec<Upstream>,
    ) -> Self {
        let time_budget = placement_request.deadline.saturating_duration_since(now);
        Self {
            request,
            placement_request,
            home,
            order,
            position: 0,
            full: Vec::new(),
            time_budget,
            has_asked_to_wait: false,
            outstanding: None,
            queued: None,
            resume_at: now,
        }
    }

    /// Returns the pool over which the mean load is computed.
    pub(crate) fn pool(&self) -> Pool {
        Pool::from(self.placement_request.target.clone())
    }

    /// Returns whether the request is queued at a different upstream, has no outstanding permit
    /// request, and can be served by `upstream`.
    pub(crate) fn can_move_to(&self, upstream: &Upstream, pool: &Pool) -> bool {
        let is_elsewhere = self.queued.as_ref().is_some_and(|queued| queued.upstream != *upstream);
        is_elsewhere
            && self.outstanding.is_none()
            && self.order.contains(upstream)
            && self.pool() == *pool
    }

    /// Records that the owner of an upstream replied that it is full.
    pub(crate) fn record_full(&mut self, full: FullUpstream) {
        self.full.retain(|other| other.upstream != full.upstream);
        self.full.push(full);
    }

    /// Skips the search when all upstreams are known to be `full`, and asks to be queued at the
    /// least loaded one. The loads are too old to report them as observed.
    pub(crate) fn skip(&mut self, full: Vec<FullUpstream>) -> NextStep {
        self.position = self.order.len();
        self.full = full;
        let least_loaded = self.least_loaded();
        self.full.clear();
        self.has_asked_to_wait = true;
        least_loaded.map_or(NextStep::Wait, |upstream| NextStep::Request {
            upstream,
            observed: None,
            may_wait: true,
        })
    }

    /// Returns the next step. No permit request may be outstanding.
    pub(crate) fn next(&mut self, context: Context<'_>) -> NextStep {
        if self.queued.is_some() {
            return self.search_while_queued(context);
        }
        if let Some(upstream) = self.order.get(self.position).cloned() {
            self.position += 1;
            return NextStep::request(upstream);
        }
        if !self.has_asked_to_wait
            && let Some(upstream) = self.least_loaded()
        {
            self.has_asked_to_wait = true;
            let observed = Some(self.observed(context));
            return NextStep::Request { upstream, observed, may_wait: true };
        }
        self.restart(context.now)
    }

    /// Periodically searches for capacity elsewhere while the request is queued. The last request
    /// of each round reports the observed load to the owner of the least loaded upstream.
    fn search_while_queued(&mut self, context: Context<'_>) -> NextStep {
        let now = context.now;
        if now < self.resume_at {
            return NextStep::Wait;
        }
        if let Some(upstream) = self.order.get(self.position).cloned() {
            self.position += 1;
            return NextStep::request(upstream);
        }
        self.position = 0;
        self.resume_at = now + SEARCH_PERIOD;
        let observed = self.observed(context);
        let least_loaded = self.least_loaded();
        self.full.clear();
        match least_loaded {
            Some(upstream) => {
                NextStep::Request { upstream, observed: Some(observed), may_wait: false }
            }
            None => NextStep::Wait,
        }
    }

    /// Records that the request is now queued at an upstream.
    pub(crate) fn record_queued(&mut self, now: Instant, pending: PendingRequest) {
        self.queued = Some(pending);
        self.position = 0;
        self.full.clear();
        self.resume_at = now + SEARCH_PERIOD;
    }

    /// Ends this search; after a delay a new one starts with the upstreams known by then.
    pub(crate) fn restart(&mut self, now: Instant) -> NextStep {
        self.position = self.order.len();
        self.has_asked_to_wait = true;
        self.queued = None;
        self.resume_at = now + RESTART_DELAY;
        NextStep::Wait
    }

    /// Returns whether the search has ended and waits to restart.
    pub(crate) fn is_over(&self) -> bool {
        self.outstanding.is_none() && self.queued.is_none()
    }

    /// Returns the upstream with the fewest requests per slot, or on a tie the one that was found
    /// first.
    fn least_loaded(&self) -> Option<Upstream> {
        let load = |full: &&FullUpstream| {
            let requests = u64::from(full.load.load.all() + full.waiting);
            requests * 1000 / full.load.slots.max(1)
        };
        self.full.iter().min_by_key(load).map(|full| full.upstream.clone())
    }

    /// Returns the recently observed load of all upstreams that can serve the request. Upstreams
    /// that failed the request or are drained are left out of its mean. If the search had to wait
    /// for an unresponsive owner, the loads were observed at different times, and their sum may
    /// exceed the load at any one time; therefore only recent loads count.
    fn observed(&self, context: Context<'_>) -> ObservedLoad {
        let available = context.registry.available(&self.placement_request.target);
        let usable = available.filter(|entry| {
            !self.placement_request.excluded.contains(&entry.announcement.upstream)
        });
        usable.fold(ObservedLoad::default(), |total, entry| {
            let load = self.recent_load(context.now, &entry.announcement.upstream);
            ObservedLoad {
                load: total.load.combine(load, |left, right| left + right),
                slots: total.slots + u64::from(entry.announcement.slots),
            }
        })
    }

    /// Returns the load of `upstream`, or zero if it was not observed recently.
    fn recent_load(&self, now: Instant, upstream: &Upstream) -> InFlight {
        let is_recent =
            |full: &&FullUpstream| now.saturating_duration_since(full.received_at) <= MAX_LOAD_AGE;
        let full = self.full.iter().find(|full| full.upstream == *upstream).filter(is_recent);
        full.map_or(InFlight::default(), |full| full.load.load)
    }

    /// Returns a permit request for `upstream`.
    pub(crate) fn permit_request(
        &self,
        now: Instant,
        number: u64,
        upstream: Upstream,
        observed: Option<ObservedLoad>,
        may_wait: bool,
    ) -> PermitRequest {
        let placement_request = &self.placement_request;
        let remaining = placement_request.deadline.saturating_duration_since(now);
        PermitRequest {
            number,
            upstream,
            pool: self.pool(),
            account: placement_request.account.clone(),
            weight: placement_request.weight,
            kind: placement_request.kind.clone(),
            rank: placement_request.rank,
            least_share_percent: placement_request.least_share_percent,
            remaining_millis: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            cost: placement_request.cost,
            observed,
            may_wait,
        }
    }
}
