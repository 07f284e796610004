//! The holder: requests permits on behalf of this instance's callers.

use std::time::{Duration, Instant};

use admission::Tokens;
use declare::Target;
use names::{Instance, Upstream};
use placement::{Candidate, LoadSource, Policy};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use upstream::Entry;

use crate::full_upstreams::{FullUpstream, FullUpstreams};
use crate::held_permits::HeldPermits;
use crate::node::{Context, GrantedPermit, Outbox, PlacementOutcome, PlacementRequest, View};
use crate::refusals::RefusalCache;
use crate::search::{NextStep, PendingRequest, UpstreamSearch};
use crate::watch::Watches;
use crate::{Message, Outcome, PermitId, Pool};

/// Time that an owner has to reply to a permit request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Retry delay for a caller whose request got no permit before its deadline, as no owner could be
/// reached.
const NO_OWNER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Requests that search for a permit, and permits in use.
pub(crate) struct Holder {
    searches: Vec<UpstreamSearch>,
    permits: HeldPermits,
    watches: Watches,
    refusals: RefusalCache,
    full_upstreams: FullUpstreams,
    policy: Box<dyn Policy>,
    next_number: u64,
}

impl Holder {
    pub(crate) fn new(now: Instant, policy: Box<dyn Policy>, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(!seed);
        Self {
            searches: Vec::new(),
            permits: HeldPermits::new(now),
            watches: Watches::default(),
            refusals: RefusalCache::default(),
            full_upstreams: FullUpstreams::default(),
            policy,
            next_number: u64::from(random.random::<u32>()),
        }
    }

    /// Returns the permits in use.
    pub(crate) fn permits(&mut self) -> &mut HeldPermits {
        &mut self.permits
    }

    pub(crate) fn held_permits(&self) -> impl Iterator<Item = (PermitId, &Upstream)> {
        self.permits.iter()
    }

    pub(crate) fn place(
        &mut self,
        context: Context<'_>,
        view: &View,
        request: u64,
        placement_request: PlacementRequest,
        outbox: &mut Outbox,
    ) {
        if let Some(retry_after) = self.refusals.retry_after(context.now, &placement_request) {
            outbox.outcomes.push((request, PlacementOutcome::Refused { retry_after }));
            return;
        }
        self.start(context, view, request, placement_request, outbox);
    }

    fn start(
        &mut self,
        context: Context<'_>,
        view: &View,
        request: u64,
        placement_request: PlacementRequest,
        outbox: &mut Outbox,
    ) {
        let order = self.order(context, &placement_request);
        let (false, Some(home)) = (order.is_empty(), home(context, &placement_request)) else {
            outbox.outcomes.push((request, PlacementOutcome::NoUpstream));
            return;
        };
        if self.shares_location(&placement_request) {
            outbox.send(&view.owner(&home), Message::Locate { key: placement_request.key });
        }
        let full = self.full_upstreams.all_full(context.now, placement_request.rank, &order);
        let mut search = UpstreamSearch::new(context.now, request, placement_request, home, order);
        let next = match full {
            Some(full) => search.skip(full),
            None => search.next(context),
        };
        self.searches.push(search);
        self.send_request(context, view, self.searches.len() - 1, next, outbox);
    }

    /// Returns the upstreams to ask, in order.
    fn order(
        &mut self,
        context: Context<'_>,
        placement_request: &PlacementRequest,
    ) -> Vec<Upstream> {
        let mut candidates: Vec<_> = context
            .registry
            .available(&placement_request.target)
            .filter(|entry| !placement_request.excluded.contains(&entry.announcement.upstream))
            .map(|entry| Candidate {
                upstream: entry.announcement.upstream.clone(),
                slots: entry.announcement.slots,
                in_flight: self.load(entry),
            })
            .collect();
        self.policy.order(placement_request.key, &mut candidates);
        candidates.into_iter().map(|candidate| candidate.upstream).collect()
    }

    /// Returns the load of an upstream from the policy's load source. A tracked load counts as
    /// zero, since the owner checks the current load itself.
    fn load(&self, entry: &Entry) -> u32 {
        match (self.policy.load_source(), &entry.load) {
            (LoadSource::Reported, Some(load)) => load.running.saturating_add(load.waiting),
            _ => 0,
        }
    }

    /// Takes the next step of a search that has no outstanding permit request.
    fn advance(&mut self, context: Context<'_>, view: &View, index: usize, outbox: &mut Outbox) {
        let next = self.searches[index].next(context);
        self.send_request(context, view, index, next, outbox);
    }

    fn send_request(
        &mut self,
        context: Context<'_>,
        view: &View,
        index: usize,
        next: NextStep,
        outbox: &mut Outbox,
    ) {
        let search = &mut self.searches[index];
        let now = context.now;
        let NextStep::Request { upstream, observed, may_wait } = next else {
            return;
        };
        self.next_number += 1;
        let number = self.next_number;
        let owner = view.owner(&upstream);
        let permit_request =
            search.permit_request(now, number, upstream.clone(), observed, may_wait);
        let deadline = now + REQUEST_TIMEOUT;
        search.outstanding =
            Some(PendingRequest { number, owner: owner.clone(), upstream, deadline });
        self.permits.record_contact(now, &owner, None);
        outbox.send(&owner, Message::Request(permit_request));
    }

    fn find_request(&self, number: u64) -> Option<usize> {
        let is_of = |pending: &Option<PendingRequest>| {
            pending.as_ref().is_some_and(|pending| pending.number == number)
        };
        self.searches.iter().position(|search| is_of(&search.outstanding) || is_of(&search.queued))
    }

    pub(crate) fn handle_reply(
        &mut self,
        context: Context<'_>,
        view: &View,
        sender: &Instance,
        number: u64,
        outcome: Outcome,
        outbox: &mut Outbox,
    ) {
        if let Outcome::Granted(permit) = outcome {
            self.permits.record_contact(context.now, sender, Some(permit));
        }
        let Some(index) = self.find_request(number) else {
            return;
        };
        let search = &mut self.searches[index];
        let is_outstanding =
            search.outstanding.as_ref().is_some_and(|request| request.number == number);
        let pending = if is_outstanding { search.outstanding.take() } else { search.queued.take() };
        let Some(pending) = pending else {
            return;
        };
        match outcome {
            Outcome::Granted(permit) => self.grant(context, view, index, pending, permit, outbox),
            Outcome::Full { load, waiting } => {
                let received_at = context.now;
                let full = FullUpstream { upstream: pending.upstream, load, waiting, received_at };
                self.full_upstreams.record(context.now, search.placement_request.rank, &full);
                search.record_full(full);
                self.advance(context, view, index, outbox);
            }
            Outcome::Queued => {
                self.refusals.clear(&search.placement_request);
                self.full_upstreams.add_waiting(search.placement_request.rank, &pending.upstream);
                search.record_queued(context.now, pending);
                self.watch(context.now, view, index, outbox);
            }
            Outcome::Refused { retry_after_millis } => {
                let retry_after = Duration::from_millis(retry_after_millis);
                self.refusals.record(
                    context.now,
                    &search.placement_request,
                    search.time_budget,
                    retry_after,
                );
                self.finish(index, PlacementOutcome::Refused { retry_after }, outbox);
            }
            Outcome::Unavailable | Outcome::NotOwner => self.advance(context, view, index, outbox),
        }
    }

    /// Accepts a permit, unless the upstream accepts no new requests or has another owner by now.
    fn grant(
        &mut self,
        context: Context<'_>,
        view: &View,
        index: usize,
        pending: PendingRequest,
        permit: PermitId,
        outbox: &mut Outbox,
    ) {
        let PendingRequest { owner, upstream, .. } = pending;
        let entry = context.registry.get(&upstream).filter(|entry| entry.is_available());
        let Some(entry) = entry.filter(|_| view.owner(&upstream) == owner) else {
            outbox.send(&owner, Message::Release { permit, used: Tokens(0) });
            if self.searches[index].outstanding.is_none() {
                self.advance(context, view, index, outbox);
            }
            return;
        };
        let address = entry.announcement.address;
        let previous_holder = self.record_placement(view, index, &upstream, outbox);
        self.refusals.clear(&self.searches[index].placement_request);
        self.permits.add(permit, upstream.clone(), owner);
        self.finish(
            index,
            PlacementOutcome::Granted(GrantedPermit {
                id: permit,
                upstream,
                address,
                context_holder: previous_holder,
            }),
            outbox,
        );
    }

    /// Returns whether instances tell each other where the conversation was sent.
    fn shares_location(&self, placement_request: &PlacementRequest) -> bool {
        self.policy.is_sticky() && matches!(placement_request.target, Target::Model(_))
    }

    /// Records that a conversation was sent to `upstream` last. Ignored unless a request of the
    /// conversation is searching for a permit.
    pub(crate) fn record_location(&mut self, key: u64, upstream: &Upstream) {
        if self.searches.iter().any(|search| search.placement_request.key == key) {
            self.policy.record_location(key, upstream);
        }
    }

    /// Records where a request was sent. Returns the upstream that has the conversation's context
    /// if it is a different one.
    fn record_placement(
        &mut self,
        view: &View,
        index: usize,
        upstream: &Upstream,
        outbox: &mut Outbox,
    ) -> Option<Upstream> {
        let UpstreamSearch { placement_request, home, .. } = &self.searches[index];
        let key = placement_request.key;
        let holder = self.policy.record_placement(key, upstream, home);
        let other = holder.filter(|holder| holder != upstream)?;
        if self.shares_location(placement_request) {
            let upstream = upstream.clone();
            outbox.send(&view.owner(home), Message::LocationChanged { key, upstream });
        }
        Some(other)
    }

    /// Ends a search with its outcome and withdraws its permit requests.
    fn finish(&mut self, index: usize, outcome: PlacementOutcome, outbox: &mut Outbox) {
        let search = self.searches.remove(index);
        withdraw_requests(&search, outbox);
        outbox.outcomes.push((search.request, outcome));
    }

    pub(crate) fn withdraw(&mut self, request: u64, outbox: &mut Outbox) {
        for search in self.searches.extract_if(.., |search| search.request == request) {
            withdraw_requests(&search, outbox);
        }
    }

    /// Applies a membership change: reports held permits to new owners, and restarts searches
    /// with a permit request at a former owner.
    pub(crate) fn update(&mut self, context: Context<'_>, view: &View, outbox: &mut Outbox) {
        self.permits.update(view, outbox);
        let has_moved = |pending: &Option<PendingRequest>| {
            pending.as_ref().is_some_and(|pending| view.owner(&pending.upstream) != pending.owner)
        };
        let moved: Vec<_> = self
            .searches
            .iter()
            .filter(|search| has_moved(&search.outstanding) || has_moved(&search.queued))
            .map(|search| search.request)
            .collect();
        for request in moved {
            self.restart(context, view, request, outbox);
        }
    }

    fn restart(&mut self, context: Context<'_>, view: &View, request: u64, outbox: &mut Outbox) {
        let Some(index) = self.searches.iter().position(|search| search.request == request) else {
            return;
        };
        let search = self.searches.remove(index);
        withdraw_requests(&search, outbox);
        self.start(context, view, request, search.placement_request, outbox);
    }

    pub(crate) fn tick(&mut self, context: Context<'_>, view: &View, outbox: &mut Outbox) {
        let now = context.now;
        self.end_expired(now, outbox);
        self.skip_unresponsive_owners(context, view, outbox);
        self.resume(context, view, outbox);
        self.permits.tick(now, outbox);
    }

    fn end_expired(&mut self, now: Instant, outbox: &mut Outbox) {
        while let Some(index) =
            self.searches.iter().position(|search| search.placement_request.deadline <= now)
        {
            self.finish(
                index,
                PlacementOutcome::Refused { retry_after: NO_OWNER_RETRY_DELAY },
                outbox,
            );
        }
    }

    /// Withdraws permit requests that timed out and continues their searches.
    fn skip_unresponsive_owners(&mut self, context: Context<'_>, view: &View, outbox: &mut Outbox) {
        for index in 0..self.searches.len() {
            let search = &mut self.searches[index];
            let is_late = |pending: &mut PendingRequest| pending.deadline <= context.now;
            if let Some(PendingRequest { number, owner, .. }) = search.outstanding.take_if(is_late)
            {
                outbox.send(&owner, Message::Withdraw { number });
                outbox.unresponsive.push(owner);
                self.advance(context, view, index, outbox);
            }
        }
    }

    /// Restarts searches whose delay is over. Of the queued requests, only one searches for
    /// capacity elsewhere, which limits the traffic when many requests are queued.
    fn resume(&mut self, context: Context<'_>, view: &View, outbox: &mut Outbox) {
        let now = context.now;
        let is_due = |search: &&UpstreamSearch| search.is_over() && search.resume_at <= now;
        let due: Vec<_> =
            self.searches.iter().filter(is_due).map(|search| search.request).collect();
        for request in due {
            self.restart(context, view, request, outbox);
        }
        let is_queued =
            |search: &UpstreamSearch| search.outstanding.is_none() && search.queued.is_some();
        if let Some(index) = self.searches.iter().position(is_queued) {
            self.watch(now, view, index, outbox);
            self.advance(context, view, index, outbox);
        }
    }

    /// Watches other upstreams for a queued request.
    fn watch(&mut self, now: Instant, view: &View, index: usize, outbox: &mut Outbox) {
        let search = &self.searches[index];
        let Some(queued) = &search.queued else {
            return;
        };
        let pool = search.pool();
        for upstream in self.watches.begin(now, &search.order, &queued.upstream, &pool) {
            let pool = pool.clone();
            outbox.send(&view.owner(&upstream), Message::Watch { upstream, pool });
        }
    }

    /// Requests a permit at `upstream`, which has capacity, for the most urgent request that is
    /// queued elsewhere. Keeps watching if other requests remain queued.
    pub(crate) fn use_capacity(
        &mut self,
        context: Context<'_>,
        view: &View,
        upstream: &Upstream,
        pool: &Pool,
        outbox: &mut Outbox,
    ) {
        self.watches.end(upstream, pool);
        let can_move = |search: &UpstreamSearch| search.can_move_to(upstream, pool);
        let waiting = (0..self.searches.len()).filter(|index| can_move(&self.searches[*index]));
        let urgency = |index: &usize| {
            let placement_request = &self.searches[*index].placement_request;
            (placement_request.rank, placement_request.deadline)
        };
        let Some(first) = waiting.min_by_key(urgency) else {
            return;
        };
        self.send_request(context, view, first, NextStep::request(upstream.clone()), outbox);
        if let Some(other) = self.searches.iter().position(can_move) {
            self.watch(context.now, view, other, outbox);
        }
    }
}

/// Returns the home of a conversation among all upstreams that may have its context.
fn home(context: Context<'_>, placement_request: &PlacementRequest) -> Option<Upstream> {
    let serving = context.registry.iter().filter(|entry| entry.serves(&placement_request.target));
    let known = serving.map(|entry| &entry.announcement.upstream);
    placement::home(placement_request.key, known).cloned()
}

fn withdraw_requests(search: &UpstreamSearch, outbox: &mut Outbox) {
    for pending in search.outstanding.iter().chain(&search.queued) {
        let PendingRequest { number, owner, .. } = pending.clone();
        outbox.send(&owner, Message::Withdraw { number });
    }
}
