//! The owner: grants permits for the upstreams that this instance owns.

use std::time::Instant;

use admission::AdmissionQueue;
use declare::Target;
use names::{Instance, Upstream};
use placement::LoadBound;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::limits::{DecisionInputs, Limits, PermitIds, PoolShare, Reply, Usage};
use crate::node::{Context, Outbox, View};
use crate::owned_upstream::OwnedUpstream;
use crate::pool::{aggregator, extrapolate, pool_slots};
use crate::pool_load::{Aggregator, PoolLoads, SEND_PERIOD};
use crate::{InFlight, Message, Outcome, PermitId, PermitRequest, Pool};

/// Size of the id range of one run. The ids of a run start at a random multiple of this number,
/// which tells the permits of different runs apart.
const IDS_PER_RUN: u64 = 1 << 40;

/// State of an instance as an owner of upstreams.
pub(crate) struct Owner {
    bound: LoadBound,
    create_queue: Box<dyn Fn() -> Box<dyn AdmissionQueue>>,
    /// Sorted by name.
    upstreams: Vec<OwnedUpstream>,
    pools: PoolLoads,
    aggregator: Aggregator,
    ids: PermitIds,
    next_send: Instant,
    /// Members that may have ended.
    suspected: Vec<Instance>,
    /// Digest of the view that the aggregated loads belong to.
    view_digest: u32,
    /// Members at the last update.
    members: Vec<Instance>,
}

impl Owner {
    pub(crate) fn new(
        now: Instant,
        bound: LoadBound,
        create_queue: Box<dyn Fn() -> Box<dyn AdmissionQueue>>,
        seed: u64,
    ) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let first_id = random.random_range(1..u64::MAX / IDS_PER_RUN - 1) * IDS_PER_RUN;
        Self {
            bound,
            create_queue,
            upstreams: Vec::new(),
            pools: PoolLoads::default(),
            aggregator: Aggregator::default(),
            ids: PermitIds::new(first_id),
            next_send: now,
            suspected: Vec::new(),
            view_digest: 0,
            members: Vec::new(),
        }
    }

    /// Returns the number of owned upstreams and of permits in use at them.
    pub(crate) fn counts(&self) -> (usize, u32) {
        (self.upstreams.len(), self.upstreams.iter().map(OwnedUpstream::in_flight).sum())
    }

    /// Returns the usage of the owned upstreams, sorted by name.
    pub(crate) fn usage(&self) -> impl Iterator<Item = Usage<'_>> {
        self.upstreams.iter().map(OwnedUpstream::usage)
    }

    fn find(&self, upstream: &Upstream) -> Result<usize, usize> {
        self.upstreams.binary_search_by(|owned| owned.upstream.cmp(upstream))
    }

    /// Applies a change of the members or the registry: takes over and gives up upstreams.
    pub(crate) fn update(&mut self, context: Context<'_>, view: &View, outbox: &mut Outbox) {
        let Context { now, registry } = context;
        let is_owned = |upstream: &Upstream| {
            registry.get(upstream).is_some_and(|entry| !entry.is_gone()) && view.owns(upstream)
        };
        for mut owned in self.upstreams.extract_if(.., |owned| !is_owned(&owned.upstream)) {
            send_replies(outbox, owned.reject_queued(&Outcome::NotOwner));
        }
        let is_member_lost = self.members.iter().any(|member| !view.members.contains(member));
        self.members.clone_from(&view.members);
        for entry in registry.iter() {
            let upstream = &entry.announcement.upstream;
            if let Err(index) = self.find(upstream)
                && view.owns(upstream)
            {
                let owned =
                    OwnedUpstream::new(now, upstream.clone(), (self.create_queue)(), &view.members);
                let owned = if is_member_lost { owned.inherited(now) } else { owned };
                self.upstreams.insert(index, owned);
            }
        }
        for owned in &mut self.upstreams {
            owned.retain_members(now, &view.members);
            if !registry.get(&owned.upstream).is_some_and(upstream::Entry::is_available) {
                send_replies(outbox, owned.reject_queued(&Outcome::Unavailable));
            }
        }
        self.send_claims(now, outbox);
        self.pools.loads.iter_mut().for_each(|load| load.restart(now));
        if self.view_digest != view.digest {
            self.view_digest = view.digest;
            self.aggregator.clear();
        }
        self.send_loads(context, view, outbox);
        self.update_queues(context, outbox);
    }

    /// Starts a takeover of all owned upstreams, so that all members report again.
    pub(crate) fn take_over_all(&mut self, context: Context<'_>, view: &View) {
        for owned in &mut self.upstreams {
            owned.take_over(context.now, &view.members);
        }
    }

    /// Reclaims the permits of a holder that is known to have ended.
    pub(crate) fn end_holder(&mut self, now: Instant, holder: &Instance) {
        self.upstreams.iter_mut().for_each(|owned| owned.reclaim_from(now, holder));
    }

    /// Leaves the load of `member` out of the mean until a message from it arrives.
    pub(crate) fn suspect(&mut self, now: Instant, member: &Instance) {
        self.clear_suspicion(member);
        self.suspected.push(member.clone());
        self.aggregator.remove_owner(member);
        self.pools.loads.iter_mut().for_each(|load| load.restart(now));
    }

    /// Records that a message from `member` arrived, so it is alive.
    pub(crate) fn clear_suspicion(&mut self, member: &Instance) {
        self.suspected.retain(|suspected| suspected != member);
    }

    /// Records that another instance claims upstreams that this one owns.
    pub(crate) fn contest(&mut self, context: Context<'_>, upstreams: &[Upstream]) {
        for upstream in upstreams {
            self.with_upstream(upstream, |owned| owned.contest(context.now));
        }
        self.pools.loads.iter_mut().for_each(|load| load.restart(context.now));
    }

    pub(crate) fn handle_message(
        &mut self,
        context: Context<'_>,
        view: &View,
        sender: &Instance,
        message: Message,
        outbox: &mut Outbox,
    ) {
        let now = context.now;
        match message {
            Message::Request(request) if !view.members.contains(sender) => {
                let outcome = Outcome::NotOwner;
                outbox.send(sender, Message::Reply { number: request.number, outcome });
            }
            Message::Request(request) => self.handle_request(context, sender, request, outbox),
            Message::Contest { upstreams } => self.contest(context, &upstreams),
            Message::Withdraw { number } => {
                self.upstreams.iter_mut().for_each(|owned| owned.withdraw(now, sender, number));
                self.update_queues(context, outbox);
            }
            Message::Release { permit, used } => {
                self.upstreams.iter_mut().for_each(|owned| owned.release(now, permit, used));
                self.update_queues(context, outbox);
            }
            Message::Watch { upstream, pool } => {
                self.with_upstream(&upstream, |owned| owned.watchers.add(now, sender, pool));
                self.update_queues(context, outbox);
            }
            Message::Reports(reports) if view.members.contains(sender) => {
                for report in reports {
                    self.with_upstream(&report.upstream, |owned| {
                        owned.apply_report(now, sender, &report.permits, report.agrees);
                    });
                }
                self.update_queues(context, outbox);
            }
            Message::Reconcile { newest, reports } if view.members.contains(sender) => {
                self.reconcile(context, sender, newest, &reports);
                self.update_queues(context, outbox);
            }
            Message::PoolLoadPart { pool, load, view: digest } if digest == view.digest => {
                self.aggregator.record(now, sender, pool, load);
            }
            Message::PoolLoadPart { .. } => self.aggregator.remove_owner(sender),
            Message::PoolLoadTotal { pool, load, view: digest } if digest == view.digest => {
                if let Some(pool_load) = self.pools.find(&pool) {
                    pool_load.set_total(now, load);
                    self.update_queues(context, outbox);
                }
            }
            _ => {}
        }
    }

    fn with_upstream<F>(&mut self, upstream: &Upstream, change: F)
    where
        F: FnOnce(&mut OwnedUpstream),
    {
        if let Ok(index) = self.find(upstream) {
            change(&mut self.upstreams[index]);
        }
    }

    fn reconcile(
        &mut self,
        context: Context<'_>,
        holder: &Instance,
        newest: Option<PermitId>,
        reports: &[crate::PermitReport],
    ) {
        let first = PermitId(self.ids.first);
        let is_received = |permit: PermitId| {
            let is_own = |id: PermitId| id >= first && id.0 - first.0 < IDS_PER_RUN;
            newest.is_some_and(|newest| is_own(newest) && is_own(permit) && permit <= newest)
        };
        for owned in &mut self.upstreams {
            let report = reports.iter().find(|report| report.upstream == owned.upstream);
            let permits = report.map_or(&[][..], |report| &report.permits);
            owned.reconcile(context.now, holder, permits, is_received);
        }
    }

    fn handle_request(
        &mut self,
        context: Context<'_>,
        requester: &Instance,
        request: PermitRequest,
        outbox: &mut Outbox,
    ) {
        let number = request.number;
        let has_observed_load = request.observed.is_some();
        let outcome = self.decide(context, requester, request);
        outbox.send(requester, Message::Reply { number, outcome });
        if has_observed_load {
            self.update_queues(context, outbox);
        }
    }

    fn decide(
        &mut self,
        context: Context<'_>,
        requester: &Instance,
        request: PermitRequest,
    ) -> Outcome {
        let Context { now, registry } = context;
        let Ok(index) = self.find(&request.upstream) else {
            return Outcome::NotOwner;
        };
        let entry = registry.get(&request.upstream).filter(|entry| entry.is_available());
        let Some(entry) = entry else {
            return Outcome::Unavailable;
        };
        let slots = entry.announcement.slots;
        if let Some(observed) = request.observed {
            let estimate = extrapolate(observed, pool_slots(context, &request.pool));
            self.pools.get(now, &request.pool).set_observed(now, estimate);
        }
        let limits = self.limits(context, &request.pool, index, slots);
        let Self { upstreams, ids, suspected, .. } = self;
        upstreams[index].request(
            now,
            requester,
            request,
            DecisionInputs { ids, limits, slots, suspected },
        )
    }

    /// Returns the load of the owned upstreams in `pool` that no other instance may count.
    fn settled_part(&self, context: Context<'_>, pool: &Pool) -> InFlight {
        let target = Target::from(pool.clone());
        let entries = context.registry.available(&target);
        let upstreams = entries.filter_map(|entry| self.find(&entry.announcement.upstream).ok());
        let upstreams = upstreams.map(|index| &self.upstreams[index]);
        let settled = upstreams.filter(|owned| owned.is_settled(context.now));
        settled.fold(InFlight::default(), |total, owned| {
            total.combine(owned.load(&self.suspected), |left, right| left + right)
        })
    }

    /// Returns the limits of the owned upstream `index`, which has `slots` slots, at the mean load
    /// of `pool`.
    fn limits(&mut self, context: Context<'_>, pool: &Pool, index: usize, slots: u32) -> Limits {
        let own = self.settled_part(context, pool);
        let total = self.pools.get(context.now, pool).total(context.now, own);
        let share = PoolShare {
            bound: self.bound,
            slots,
            pool_slots: pool_slots(context, pool),
            is_inherited: self.upstreams[index].is_inherited(context.now),
        };
        share.limits(total)
    }

    /// Grants permits to queued requests within the limits, and notifies watching instances of the
    /// remaining capacity.
    fn update_queues(&mut self, context: Context<'_>, outbox: &mut Outbox) {
        self.run_queues(context, outbox);
        for index in 0..self.upstreams.len() {
            self.notify_watcher(context, index, outbox);
        }
    }

    /// Notifies one watching instance if the upstream has capacity and an empty queue.
    fn notify_watcher(&mut self, context: Context<'_>, index: usize, outbox: &mut Outbox) {
        let owned = &mut self.upstreams[index];
        if owned.waiting() > 0 {
            return;
        }
        let Some(pool) = owned.watchers.first_pool(context.now) else {
            return;
        };
        let entry = context.registry.get(&owned.upstream).filter(|entry| entry.is_available());
        let Some(slots) = entry.map(|entry| entry.announcement.slots) else {
            return;
        };
        let limits = self.limits(context, &pool, index, slots);
        let Self { upstreams, suspected, .. } = self;
        let owned = &mut upstreams[index];
        if owned.set_limits(context.now, limits, suspected) > 0
            && let Some((instance, pool)) = owned.watchers.take_first()
        {
            outbox.send(&instance, Message::Capacity { upstream: owned.upstream.clone(), pool });
        }
    }

    fn run_queues(&mut self, context: Context<'_>, outbox: &mut Outbox) {
        for index in 0..self.upstreams.len() {
            let owned = &self.upstreams[index];
            let Some(pool) = owned.queue_pool().cloned() else {
                continue;
            };
            let slots =
                context.registry.get(&owned.upstream).map_or(0, |entry| entry.announcement.slots);
            // Each permit raises the mean, so the next one may be within the bound as well.
            loop {
                let limits = self.limits(context, &pool, index, slots);
                let Self { upstreams, ids, suspected, .. } = self;
                let headroom = upstreams[index].set_limits(context.now, limits, suspected);
                let replies = upstreams[index].next(context.now, ids);
                let is_done = replies.is_empty() || headroom == 0;
                send_replies(outbox, replies);
                if is_done {
                    break;
                }
            }
        }
    }

    fn send_claims(&mut self, now: Instant, outbox: &mut Outbox) {
        let mut claims: Vec<(Instance, Vec<Upstream>)> = Vec::new();
        for owned in &mut self.upstreams {
            for member in owned.due_claims(now) {
                match claims.iter_mut().find(|(to, _)| *to == member) {
                    Some((_, upstreams)) => upstreams.push(owned.upstream.clone()),
                    None => claims.push((member, vec![owned.upstream.clone()])),
                }
            }
        }
        for (member, upstreams) in claims {
            outbox.send(&member, Message::Claim { upstreams });
        }
    }

    pub(crate) fn tick(&mut self, context: Context<'_>, outbox: &mut Outbox) {
        let now = context.now;
        self.send_claims(now, outbox);
        self.upstreams.iter_mut().for_each(|owned| owned.reclaim_expired(now));
        self.update_queues(context, outbox);
        self.pools.remove_expired(now);
    }

    /// Sends the loads that changed, unless loads were sent within the last [`SEND_PERIOD`].
    pub(crate) fn send_due_loads(
        &mut self,
        context: Context<'_>,
        view: &View,
        outbox: &mut Outbox,
    ) {
        if context.now >= self.next_send {
            self.send_loads(context, view, outbox);
        }
    }

    fn send_loads(&mut self, context: Context<'_>, view: &View, outbox: &mut Outbox) {
        self.next_send = context.now + SEND_PERIOD;
        self.send_parts(context, view, outbox);
        for (owner, pool, load) in self.aggregator.due(context.now) {
            outbox.send(&owner, Message::PoolLoadTotal { pool, load, view: view.digest });
        }
    }

    fn send_parts(&mut self, context: Context<'_>, view: &View, outbox: &mut Outbox) {
        for index in 0..self.pools.loads.len() {
            let pool = self.pools.loads[index].pool.clone();
            let part = self.settled_part(context, &pool);
            if self.pools.loads[index].mark_if_due(context.now, part)
                && let Some(aggregator) = aggregator(&pool, view)
            {
                let part = Message::PoolLoadPart { pool, load: part, view: view.digest };
                // The previous aggregator sees the digest of the new view and discards the old
                // part.
                if let Some(previous) = self.pools.loads[index].set_aggregator(&aggregator) {
                    outbox.send(&previous, part.clone());
                }
                outbox.send(&aggregator, part);
            }
        }
    }
}

fn send_replies(outbox: &mut Outbox, replies: Vec<Reply>) {
    for Reply { requester, number, outcome } in replies {
        outbox.send(&requester, Message::Reply { number, outcome });
    }
}
