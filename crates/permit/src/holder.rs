//! The holder's side: asks for permits on behalf of this instance's callers.

use std::time::{Duration, Instant};

use admission::Tokens;
use declare::Target;
use names::{Instance, Upstream};
use placement::{Candidate, Knowledge, Policy};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use upstream::Entry;

use crate::gates::Gates;
use crate::held::Permits;
use crate::node::{Context, Granted, Out, Placed, View, Wanted};
use crate::seen::{Memory, Seen};
use crate::walk::{Next, Pending, Walk};
use crate::watch::Watches;
use crate::{Message, Outcome, PermitId, Pool};

/// How long an owner may take to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// When to ask again after no owner could be reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests that wait for a permit, and permits in use.
pub(crate) struct Holder {
    walks: Vec<Walk>,
    permits: Permits,
    watches: Watches,
    gates: Gates,
    memory: Memory,
    policy: Box<dyn Policy>,
    next_number: u64,
}

impl Holder {
    pub(crate) fn new(now: Instant, policy: Box<dyn Policy>, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(!seed);
        Self {
            walks: Vec::new(),
            permits: Permits::new(now),
            watches: Watches::default(),
            gates: Gates::default(),
            memory: Memory::default(),
            policy,
            next_number: u64::from(random.random::<u32>()),
        }
    }

    /// The permits in use.
    pub(crate) fn permits(&mut self) -> &mut Permits {
        &mut self.permits
    }

    pub(crate) fn held(&self) -> impl Iterator<Item = (PermitId, &Upstream)> {
        self.permits.iter()
    }

    pub(crate) fn place(
        &mut self,
        context: Context<'_>,
        view: &View,
        request: u64,
        wanted: Wanted,
        out: &mut Out,
    ) {
        if let Some(retry_after) = self.gates.refuses(context.now, &wanted) {
            out.placed.push((request, Placed::Refused { retry_after }));
            return;
        }
        self.begin(context, view, request, wanted, out);
    }

    fn begin(
        &mut self,
        context: Context<'_>,
        view: &View,
        request: u64,
        wanted: Wanted,
        out: &mut Out,
    ) {
        let order = self.order(context, &wanted);
        let (false, Some(home)) = (order.is_empty(), home(context, &wanted)) else {
            out.placed.push((request, Placed::NoUpstream));
            return;
        };
        if self.shares_location(&wanted) {
            out.send(&view.owner(&home), Message::Locate { key: wanted.key });
        }
        let seen = self.memory.all(context.now, wanted.rank, &order);
        let mut walk = Walk::new(context.now, request, wanted, home, order);
        let next = match seen {
            Some(seen) => walk.skip(seen),
            None => walk.next(context),
        };
        self.walks.push(walk);
        self.ask(context, view, self.walks.len() - 1, next, out);
    }

    /// The upstreams to ask, the first one first.
    fn order(&mut self, context: Context<'_>, wanted: &Wanted) -> Vec<Upstream> {
        let mut candidates: Vec<_> = context
            .registry
            .available(&wanted.target)
            .filter(|entry| !wanted.tried.contains(&entry.announcement.upstream))
            .map(|entry| Candidate {
                upstream: entry.announcement.upstream.clone(),
                slots: entry.announcement.slots,
                in_flight: self.load(entry),
            })
            .collect();
        self.policy.order(wanted.key, &mut candidates);
        candidates.into_iter().map(|candidate| candidate.upstream).collect()
    }

    /// The load of an upstream as the policy wants to know it; the newest is its owner's to
    /// check.
    fn load(&self, entry: &Entry) -> u32 {
        match (self.policy.knowledge(), &entry.load) {
            (Knowledge::Reported, Some(load)) => load.running + load.waiting,
            _ => 0,
        }
    }

    /// Takes the next step of a walk that has no ask on its way.
    fn step(&mut self, context: Context<'_>, view: &View, index: usize, out: &mut Out) {
        let next = self.walks[index].next(context);
        self.ask(context, view, index, next, out);
    }

    fn ask(&mut self, context: Context<'_>, view: &View, index: usize, next: Next, out: &mut Out) {
        let walk = &mut self.walks[index];
        let now = context.now;
        let Next::Ask { upstream, evidence, may_wait } = next else {
            return;
        };
        self.next_number += 1;
        let number = self.next_number;
        let owner = view.owner(&upstream);
        let ask = walk.ask(now, number, upstream.clone(), evidence, may_wait);
        let deadline = now + ASK_TIMEOUT;
        walk.asked = Some(Pending { number, owner: owner.clone(), upstream, deadline });
        self.permits.contact(now, &owner, None);
        out.send(&owner, Message::Ask(ask));
    }

    fn find_ask(&self, number: u64) -> Option<usize> {
        let is_of = |pending: &Option<Pending>| {
            pending.as_ref().is_some_and(|pending| pending.number == number)
        };
        self.walks.iter().position(|walk| is_of(&walk.asked) || is_of(&walk.waiting))
    }

    pub(crate) fn answer(
        &mut self,
        context: Context<'_>,
        view: &View,
        sender: &Instance,
        number: u64,
        outcome: Outcome,
        out: &mut Out,
    ) {
        if let Outcome::Granted(permit) = outcome {
            self.permits.contact(context.now, sender, Some(permit));
        }
        let Some(index) = self.find_ask(number) else {
            return;
        };
        let walk = &mut self.walks[index];
        let is_asked = walk.asked.as_ref().is_some_and(|asked| asked.number == number);
        let pending = if is_asked { walk.asked.take() } else { walk.waiting.take() };
        let Some(pending) = pending else {
            return;
        };
        match outcome {
            Outcome::Granted(permit) => self.grant(context, view, index, pending, permit, out),
            Outcome::Full { load, waiting } => {
                let at = context.now;
                let seen = Seen { upstream: pending.upstream, load, waiting, at };
                self.memory.see(context.now, walk.wanted.rank, &seen);
                walk.see(seen);
                self.step(context, view, index, out);
            }
            Outcome::Waiting => {
                self.gates.open(&walk.wanted);
                self.memory.add_waiting(walk.wanted.rank, &pending.upstream);
                walk.rest_in_queue(context.now, pending);
                self.watch(context.now, view, index, out);
            }
            Outcome::Refused { retry_after_millis } => {
                let retry_after = Duration::from_millis(retry_after_millis);
                self.gates.close(context.now, &walk.wanted, walk.allowance, retry_after);
                self.end(index, Placed::Refused { retry_after }, out);
            }
            Outcome::Unavailable | Outcome::NotOwner => self.step(context, view, index, out),
        }
    }

    /// Takes a permit, unless the upstream takes no new work or has another owner by now.
    fn grant(
        &mut self,
        context: Context<'_>,
        view: &View,
        index: usize,
        pending: Pending,
        permit: PermitId,
        out: &mut Out,
    ) {
        let Pending { owner, upstream, .. } = pending;
        let entry = context.registry.get(&upstream).filter(|entry| entry.is_available());
        let Some(entry) = entry.filter(|_| view.owner(&upstream) == owner) else {
            out.send(&owner, Message::Release { permit, used: Tokens(0) });
            if self.walks[index].asked.is_none() {
                self.step(context, view, index, out);
            }
            return;
        };
        let address = entry.announcement.address;
        let context_at = self.note_placed(view, index, &upstream, out);
        self.gates.open(&self.walks[index].wanted);
        self.permits.add(permit, upstream.clone(), owner);
        self.end(
            index,
            Placed::Granted(Granted { id: permit, upstream, address, context_at }),
            out,
        );
    }

    /// Whether instances tell each other where the conversation was sent.
    fn shares_location(&self, wanted: &Wanted) -> bool {
        self.policy.is_sticky() && matches!(wanted.target, Target::Model(_))
    }

    /// Takes note that a conversation was sent to `upstream` last, before it is sent again.
    pub(crate) fn learn(&mut self, key: u64, upstream: &Upstream) {
        if self.walks.iter().any(|walk| walk.wanted.key == key) {
            self.policy.learn(key, upstream);
        }
    }

    /// Notes where a request went; gives another upstream that has its context.
    fn note_placed(
        &mut self,
        view: &View,
        index: usize,
        upstream: &Upstream,
        out: &mut Out,
    ) -> Option<Upstream> {
        let Walk { wanted, home, .. } = &self.walks[index];
        let key = wanted.key;
        let holder = self.policy.placed(key, upstream, home);
        let other = holder.filter(|holder| holder != upstream)?;
        if self.shares_location(wanted) {
            let upstream = upstream.clone();
            out.send(&view.owner(home), Message::Sent { key, upstream });
        }
        Some(other)
    }

    /// Ends a walk with its outcome and gives up what is still asked.
    fn end(&mut self, index: usize, placed: Placed, out: &mut Out) {
        let walk = self.walks.remove(index);
        give_up(&walk, out);
        out.placed.push((walk.request, placed));
    }

    pub(crate) fn withdraw(&mut self, request: u64, out: &mut Out) {
        for walk in self.walks.extract_if(.., |walk| walk.request == request) {
            give_up(&walk, out);
        }
    }

    /// Takes a change of the members: tells new owners what is held, and asks anew where an
    /// owner is gone.
    pub(crate) fn update(&mut self, context: Context<'_>, view: &View, out: &mut Out) {
        self.permits.update(view, out);
        let is_gone = |pending: &Option<Pending>| {
            pending.as_ref().is_some_and(|pending| view.owner(&pending.upstream) != pending.owner)
        };
        let moved: Vec<_> = self
            .walks
            .iter()
            .filter(|walk| is_gone(&walk.asked) || is_gone(&walk.waiting))
            .map(|walk| walk.request)
            .collect();
        for request in moved {
            self.begin_anew(context, view, request, out);
        }
    }

    fn begin_anew(&mut self, context: Context<'_>, view: &View, request: u64, out: &mut Out) {
        let Some(index) = self.walks.iter().position(|walk| walk.request == request) else {
            return;
        };
        let walk = self.walks.remove(index);
        give_up(&walk, out);
        self.begin(context, view, request, walk.wanted, out);
    }

    pub(crate) fn tick(&mut self, context: Context<'_>, view: &View, out: &mut Out) {
        let now = context.now;
        self.end_late(now, out);
        self.time_out(context, view, out);
        self.resume(context, view, out);
        self.permits.tick(now, out);
    }

    fn end_late(&mut self, now: Instant, out: &mut Out) {
        while let Some(index) = self.walks.iter().position(|walk| walk.wanted.deadline <= now) {
            self.end(index, Placed::Refused { retry_after: RETRY_AFTER }, out);
        }
    }

    /// Goes on from owners that do not answer.
    fn time_out(&mut self, context: Context<'_>, view: &View, out: &mut Out) {
        for index in 0..self.walks.len() {
            let walk = &mut self.walks[index];
            let is_late = |pending: &mut Pending| pending.deadline <= context.now;
            if let Some(Pending { number, owner, .. }) = walk.asked.take_if(is_late) {
                out.send(&owner, Message::Withdraw { number });
                out.silent.push(owner);
                self.step(context, view, index, out);
            }
        }
    }

    /// Goes on with walks that rested for long enough; of those that wait in a queue only with
    /// one, which keeps the traffic of a long queue small.
    fn resume(&mut self, context: Context<'_>, view: &View, out: &mut Out) {
        let now = context.now;
        let over = |walk: &&Walk| walk.is_over() && walk.resume_at <= now;
        let over: Vec<_> = self.walks.iter().filter(over).map(|walk| walk.request).collect();
        for request in over {
            self.begin_anew(context, view, request, out);
        }
        let is_waiting = |walk: &Walk| walk.asked.is_none() && walk.waiting.is_some();
        if let Some(index) = self.walks.iter().position(is_waiting) {
            self.watch(now, view, index, out);
            self.step(context, view, index, out);
        }
    }

    /// Watches upstreams that a waiting request could go to instead.
    fn watch(&mut self, now: Instant, view: &View, index: usize, out: &mut Out) {
        let walk = &self.walks[index];
        let Some(waiting) = &walk.waiting else {
            return;
        };
        let pool = walk.pool();
        for upstream in self.watches.begin(now, &walk.order, &waiting.upstream, &pool) {
            let pool = pool.clone();
            out.send(&view.owner(&upstream), Message::Watch { upstream, pool });
        }
    }

    /// Asks for the room at `upstream` for the most urgent request that waits elsewhere, and goes
    /// on watching while others wait.
    pub(crate) fn use_room(
        &mut self,
        context: Context<'_>,
        view: &View,
        upstream: &Upstream,
        pool: &Pool,
        out: &mut Out,
    ) {
        self.watches.end(upstream, pool);
        let could_go = |walk: &Walk| walk.could_go(upstream, pool);
        let waiting = (0..self.walks.len()).filter(|index| could_go(&self.walks[*index]));
        let urgency = |index: &usize| {
            let wanted = &self.walks[*index].wanted;
            (wanted.rank, wanted.deadline)
        };
        let Some(first) = waiting.min_by_key(urgency) else {
            return;
        };
        self.ask(context, view, first, Next::asking(upstream.clone()), out);
        if let Some(other) = self.walks.iter().position(could_go) {
            self.watch(context.now, view, other, out);
        }
    }
}

/// The first by weight of all upstreams that could have the context of a conversation.
fn home(context: Context<'_>, wanted: &Wanted) -> Option<Upstream> {
    let serving = context.registry.iter().filter(|entry| entry.serves(&wanted.target));
    let known = serving.map(|entry| &entry.announcement.upstream);
    placement::home(wanted.key, known).cloned()
}

fn give_up(walk: &Walk, out: &mut Out) {
    for pending in walk.asked.iter().chain(&walk.waiting) {
        let Pending { number, owner, .. } = pending.clone();
        out.send(&owner, Message::Withdraw { number });
    }
}
