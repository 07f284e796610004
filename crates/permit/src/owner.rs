//! The owner's side: gives permits of the upstreams that this instance owns.

use std::time::Instant;

use admission::Desk;
use declare::Target;
use names::{Instance, Upstream};
use placement::Bound;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::book::Book;
use crate::node::{Context, Out, View};
use crate::pool::{aggregator, pool_slots, scale};
use crate::sums::{Aggregator, Pools, SUM_PERIOD};
use crate::terms::{Answer, Ids, Limits, Share, Terms, Usage};
use crate::{Ask, Load, Message, Outcome, PermitId, Pool};

/// Permit ids of a run start at a random multiple of this number.
const IDS_PER_RUN: u64 = 1 << 40;

/// Books of the owned upstreams, sorted by name, and sums of the pools.
pub(crate) struct Owner {
    bound: Bound,
    desk: Box<dyn Fn() -> Box<dyn Desk>>,
    books: Vec<Book>,
    pools: Pools,
    aggregator: Aggregator,
    ids: Ids,
    next_sum: Instant,
    doubted: Vec<Instance>,
    /// Digest of the view that the sums are of.
    view: u32,
    /// The members at the last update.
    members: Vec<Instance>,
}

impl Owner {
    pub(crate) fn new(
        now: Instant,
        bound: Bound,
        desk: Box<dyn Fn() -> Box<dyn Desk>>,
        seed: u64,
    ) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let first_id = random.random_range(1..u64::MAX / IDS_PER_RUN - 1) * IDS_PER_RUN;
        Self {
            bound,
            desk,
            books: Vec::new(),
            pools: Pools::default(),
            aggregator: Aggregator::default(),
            ids: Ids::new(first_id),
            next_sum: now,
            doubted: Vec::new(),
            view: 0,
            members: Vec::new(),
        }
    }

    pub(crate) fn counts(&self) -> (usize, u32) {
        (self.books.len(), self.books.iter().map(Book::in_flight).sum())
    }

    /// How the owned upstreams are used, in the order of their names.
    pub(crate) fn usage(&self) -> impl Iterator<Item = Usage<'_>> {
        self.books.iter().map(Book::usage)
    }

    fn find(&self, upstream: &Upstream) -> Result<usize, usize> {
        self.books.binary_search_by(|book| book.upstream.cmp(upstream))
    }

    /// Opens and closes books after a change of members or upstreams.
    pub(crate) fn update(&mut self, context: Context<'_>, view: &View, out: &mut Out) {
        let Context { now, registry } = context;
        let is_owned = |upstream: &Upstream| {
            registry.get(upstream).is_some_and(|entry| !entry.is_gone()) && view.is_mine(upstream)
        };
        for mut book in self.books.extract_if(.., |book| !is_owned(&book.upstream)) {
            send(out, book.send_away(&Outcome::NotOwner));
        }
        let is_member_lost = self.members.iter().any(|member| !view.members.contains(member));
        self.members.clone_from(&view.members);
        for entry in registry.iter() {
            let upstream = &entry.announcement.upstream;
            if let Err(index) = self.find(upstream)
                && view.is_mine(upstream)
            {
                let book = Book::new(now, upstream.clone(), (self.desk)(), &view.members);
                let book = if is_member_lost { book.inherited(now) } else { book };
                self.books.insert(index, book);
            }
        }
        for book in &mut self.books {
            book.retain_members(now, &view.members);
            if !registry.get(&book.upstream).is_some_and(upstream::Entry::is_available) {
                send(out, book.send_away(&Outcome::Unavailable));
            }
        }
        self.claim(now, out);
        self.pools.known.iter_mut().for_each(|known| known.restart(now));
        if self.view != view.digest {
            self.view = view.digest;
            self.aggregator.clear();
        }
        self.send_sums(context, view, out);
        self.run_waiting(context, out);
    }

    /// Gives nothing until all members have reported anew.
    pub(crate) fn take_over_all(&mut self, context: Context<'_>, view: &View) {
        for book in &mut self.books {
            book.take_over(context.now, &view.members);
        }
    }

    /// Takes back the permits of a holder that is known to have ended.
    pub(crate) fn end_holder(&mut self, now: Instant, holder: &Instance) {
        self.books.iter_mut().for_each(|book| book.end_holder(now, holder));
    }

    /// Counts nothing of `member` for the mean until it is heard again.
    pub(crate) fn doubt(&mut self, now: Instant, member: &Instance) {
        self.hear(member);
        self.doubted.push(member.clone());
        self.aggregator.forget(member);
        self.pools.known.iter_mut().for_each(|known| known.restart(now));
    }

    /// Ends the doubt about `member`.
    pub(crate) fn hear(&mut self, member: &Instance) {
        self.doubted.retain(|doubted| doubted != member);
    }

    /// Takes note that another instance claims upstreams that this one owns.
    pub(crate) fn contest(&mut self, context: Context<'_>, upstreams: &[Upstream]) {
        for upstream in upstreams {
            self.with_book(upstream, |book| book.contest(context.now));
        }
        self.pools.known.iter_mut().for_each(|known| known.restart(context.now));
    }

    pub(crate) fn take(
        &mut self,
        context: Context<'_>,
        view: &View,
        sender: &Instance,
        message: Message,
        out: &mut Out,
    ) {
        let now = context.now;
        match message {
            Message::Ask(ask) if !view.members.contains(sender) => {
                let outcome = Outcome::NotOwner;
                out.send(sender, Message::Answer { number: ask.number, outcome });
            }
            Message::Ask(ask) => self.ask(context, sender, ask, out),
            Message::Contest { upstreams } => self.contest(context, &upstreams),
            Message::Withdraw { number } => {
                self.books.iter_mut().for_each(|book| book.withdraw(now, sender, number));
                self.run_waiting(context, out);
            }
            Message::Release { permit, used } => {
                self.books.iter_mut().for_each(|book| book.release(now, permit, used));
                self.run_waiting(context, out);
            }
            Message::Watch { upstream, pool } => {
                self.with_book(&upstream, |book| book.watchers.add(now, sender, pool));
                self.run_waiting(context, out);
            }
            Message::Held(reports) if view.members.contains(sender) => {
                for report in reports {
                    self.with_book(&report.upstream, |book| {
                        book.report(now, sender, &report.permits, report.agrees);
                    });
                }
                self.run_waiting(context, out);
            }
            Message::Holding { as_of, reports } if view.members.contains(sender) => {
                self.reconcile(context, sender, as_of, &reports);
                self.run_waiting(context, out);
            }
            Message::Part { pool, load, view: digest } if digest == view.digest => {
                self.aggregator.take(now, sender, pool, load);
            }
            Message::Part { .. } => self.aggregator.forget(sender),
            Message::Total { pool, load, view: digest } if digest == view.digest => {
                if let Some(known) = self.pools.find(&pool) {
                    known.set_total(now, load);
                    self.run_waiting(context, out);
                }
            }
            _ => {}
        }
    }

    fn with_book<F>(&mut self, upstream: &Upstream, change: F)
    where
        F: FnOnce(&mut Book),
    {
        if let Ok(index) = self.find(upstream) {
            change(&mut self.books[index]);
        }
    }

    fn reconcile(
        &mut self,
        context: Context<'_>,
        holder: &Instance,
        as_of: Option<PermitId>,
        reports: &[crate::Report],
    ) {
        let first = PermitId(self.ids.first);
        let is_known = |permit: PermitId| {
            let is_of_run = |id: PermitId| id >= first && id.0 - first.0 < IDS_PER_RUN;
            as_of.is_some_and(|as_of| is_of_run(as_of) && is_of_run(permit) && permit <= as_of)
        };
        for book in &mut self.books {
            let report = reports.iter().find(|report| report.upstream == book.upstream);
            let permits = report.map_or(&[][..], |report| &report.permits);
            book.reconcile(context.now, holder, permits, is_known);
        }
    }

    fn ask(&mut self, context: Context<'_>, asker: &Instance, ask: Ask, out: &mut Out) {
        let number = ask.number;
        let brings_evidence = ask.evidence.is_some();
        let outcome = self.decide(context, asker, ask);
        out.send(asker, Message::Answer { number, outcome });
        if brings_evidence {
            self.run_waiting(context, out);
        }
    }

    fn decide(&mut self, context: Context<'_>, asker: &Instance, ask: Ask) -> Outcome {
        let Context { now, registry } = context;
        let Ok(index) = self.find(&ask.upstream) else {
            return Outcome::NotOwner;
        };
        let entry = registry.get(&ask.upstream).filter(|entry| entry.is_available());
        let Some(entry) = entry else {
            return Outcome::Unavailable;
        };
        let slots = entry.announcement.slots;
        if let Some(evidence) = ask.evidence {
            let seen = scale(evidence, pool_slots(context, &ask.pool));
            self.pools.get(now, &ask.pool).set_evidence(now, seen);
        }
        let limits = self.limits(context, &ask.pool, index, slots);
        let Self { books, ids, doubted, .. } = self;
        books[index].ask(now, asker, ask, Terms { ids, limits, slots, doubted })
    }

    /// Load of the upstreams in `pool` that no other instance may count.
    fn settled_part(&self, context: Context<'_>, pool: &Pool) -> Load {
        let target = Target::from(pool.clone());
        let pool = context.registry.available(&target);
        let books = pool.filter_map(|entry| self.find(&entry.announcement.upstream).ok());
        let books = books.map(|index| &self.books[index]);
        let settled = books.filter(|book| book.is_settled(context.now));
        settled.fold(Load::default(), |sum, book| {
            sum.combine(book.load(&self.doubted), |one, other| one + other)
        })
    }

    /// The limits of the book `index`, of an upstream with `slots`, at the mean load of `pool`.
    fn limits(&mut self, context: Context<'_>, pool: &Pool, index: usize, slots: u32) -> Limits {
        let own = self.settled_part(context, pool);
        let total = self.pools.get(context.now, pool).total(context.now, own);
        let share = Share {
            bound: self.bound,
            slots,
            pool_slots: pool_slots(context, pool),
            is_inherited: self.books[index].is_inherited(context.now),
        };
        share.limits(total)
    }

    /// Lets waiting asks run where there is room now, and tells watching instances of what is
    /// left.
    fn run_waiting(&mut self, context: Context<'_>, out: &mut Out) {
        self.run_queues(context, out);
        for index in 0..self.books.len() {
            self.tell_of_room(context, index, out);
        }
    }

    /// Tells one watching instance when the upstream has room and nothing waits for it.
    fn tell_of_room(&mut self, context: Context<'_>, index: usize, out: &mut Out) {
        let book = &mut self.books[index];
        if book.waiting() > 0 {
            return;
        }
        let Some(pool) = book.watchers.first_pool(context.now) else {
            return;
        };
        let entry = context.registry.get(&book.upstream).filter(|entry| entry.is_available());
        let Some(slots) = entry.map(|entry| entry.announcement.slots) else {
            return;
        };
        let limits = self.limits(context, &pool, index, slots);
        let Self { books, doubted, .. } = self;
        let book = &mut books[index];
        if book.set_limits(context.now, limits, doubted) > 0
            && let Some((instance, pool)) = book.watchers.take_first()
        {
            out.send(&instance, Message::Room { upstream: book.upstream.clone(), pool });
        }
    }

    fn run_queues(&mut self, context: Context<'_>, out: &mut Out) {
        for index in 0..self.books.len() {
            let book = &self.books[index];
            let Some(pool) = book.waiting_pool().cloned() else {
                continue;
            };
            let slots =
                context.registry.get(&book.upstream).map_or(0, |entry| entry.announcement.slots);
            // Each permit raises the mean, so that the next one may be within the bound too.
            loop {
                let limits = self.limits(context, &pool, index, slots);
                let Self { books, ids, doubted, .. } = self;
                let headroom = books[index].set_limits(context.now, limits, doubted);
                let answers = books[index].next(context.now, ids);
                let is_over = answers.is_empty() || headroom == 0;
                send(out, answers);
                if is_over {
                    break;
                }
            }
        }
    }

    fn claim(&mut self, now: Instant, out: &mut Out) {
        let mut claims: Vec<(Instance, Vec<Upstream>)> = Vec::new();
        for book in &mut self.books {
            for member in book.due_claims(now) {
                match claims.iter_mut().find(|(to, _)| *to == member) {
                    Some((_, upstreams)) => upstreams.push(book.upstream.clone()),
                    None => claims.push((member, vec![book.upstream.clone()])),
                }
            }
        }
        for (member, upstreams) in claims {
            out.send(&member, Message::Claim { upstreams });
        }
    }

    pub(crate) fn tick(&mut self, context: Context<'_>, out: &mut Out) {
        let now = context.now;
        self.claim(now, out);
        self.books.iter_mut().for_each(|book| book.end_lost(now));
        self.run_waiting(context, out);
        self.pools.tidy(now);
    }

    /// Sends the sums that changed, unless some were sent a moment ago.
    pub(crate) fn send_due_sums(&mut self, context: Context<'_>, view: &View, out: &mut Out) {
        if context.now >= self.next_sum {
            self.send_sums(context, view, out);
        }
    }

    fn send_sums(&mut self, context: Context<'_>, view: &View, out: &mut Out) {
        self.next_sum = context.now + SUM_PERIOD;
        self.send_parts(context, view, out);
        for (owner, pool, load) in self.aggregator.due(context.now) {
            out.send(&owner, Message::Total { pool, load, view: view.digest });
        }
    }

    fn send_parts(&mut self, context: Context<'_>, view: &View, out: &mut Out) {
        for index in 0..self.pools.known.len() {
            let pool = self.pools.known[index].pool.clone();
            let part = self.settled_part(context, &pool);
            if self.pools.known[index].is_due(context.now, part)
                && let Some(aggregator) = aggregator(&pool, view)
            {
                let part = Message::Part { pool, load: part, view: view.digest };
                // The former one learns of the other view, so that it counts the old part no more.
                if let Some(former) = self.pools.known[index].set_aggregator(&aggregator) {
                    out.send(&former, part.clone());
                }
                out.send(&aggregator, part);
            }
        }
    }
}

fn send(out: &mut Out, answers: Vec<Answer>) {
    for Answer { asker, number, outcome } in answers {
        out.send(&asker, Message::Answer { number, outcome });
    }
}
