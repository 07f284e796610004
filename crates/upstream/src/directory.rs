//! How the instances of a data centre keep one set of upstreams.

use std::time::{Duration, Instant};

use names::{Instance, Upstream};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::message::{BUCKETS, Digest};
use crate::{Announcement, Change, Message, Record, Registry};

/// Time between two comparisons with another instance.
const COMPARE_PERIOD: Duration = Duration::from_millis(500);

/// How long others may take to tell of a renewal that the owner missed.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two requests for a renewal that the owner missed.
const QUERY_PERIOD: Duration = Duration::from_millis(100);

/// What the owner of a directory has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message on a reliable transport.
    Send(Instance, Message),
    /// Send a message in a datagram, which may be lost.
    SendQuickly(Instance, Message),
    /// Something other than a deadline changed.
    Changed(Upstream, Change),
}

#[derive(Debug)]
struct Query {
    upstream: Upstream,
    deadline: Instant,
    next: Instant,
}

/// The set of upstreams, with the messages that keep it equal in all instances.
#[derive(Debug)]
pub struct Directory {
    me: Instance,
    registry: Registry,
    members: Vec<Instance>,
    owned: Vec<Upstream>,
    queries: Vec<Query>,
    next_comparison: Instant,
    has_learned: bool,
    random: Pcg64Mcg,
    actions: Vec<Action>,
}

impl Directory {
    /// The empty set of the instance `me`.
    pub fn new(now: Instant, me: Instance, seed: u64) -> Self {
        Self {
            me,
            registry: Registry::default(),
            members: Vec::new(),
            owned: Vec::new(),
            queries: Vec::new(),
            next_comparison: now,
            has_learned: false,
            random: Pcg64Mcg::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// The known upstreams.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// The known upstreams, to take load reports.
    pub fn registry_mut(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// Whether another instance has told the whole set.
    pub fn has_learned(&self) -> bool {
        self.has_learned
    }

    /// The owner of `upstream` by this instance's view.
    pub fn owner(&self, upstream: &Upstream) -> &Instance {
        let members = self.members.iter().chain([&self.me]);
        placement::owner(upstream, members).unwrap_or(&self.me)
    }

    /// Takes the other members of the data centre.
    pub fn set_members(&mut self, now: Instant, members: Vec<Instance>) {
        self.members = members;
        if !self.has_learned {
            self.next_comparison = now;
        }
        self.update_owned(now);
    }

    /// Takes an announcement that an upstream made to this instance.
    pub fn announce(&mut self, now: Instant, announcement: Announcement) -> (Change, Vec<Action>) {
        let upstream = announcement.upstream.clone();
        let incarnation = announcement.incarnation;
        let change = self.registry.announce(now, announcement);
        match change {
            Change::Outdated => {}
            Change::Renewed => {
                let owner = self.owner(&upstream).clone();
                if owner != self.me {
                    self.send(owner, Message::Renewal { upstream, incarnation });
                }
            }
            _ => {
                self.note(now, &upstream, change);
                self.spread(&upstream);
            }
        }
        (change, std::mem::take(&mut self.actions))
    }

    /// Takes a message of the member `sender`.
    pub fn receive(&mut self, now: Instant, sender: &Instance, message: Message) -> Vec<Action> {
        match message {
            Message::Change(record) => self.learn(now, record),
            Message::Renewal { upstream, incarnation } => {
                self.registry.renew(now, &upstream, incarnation);
            }
            Message::Query { upstream, incarnation } => {
                let entry = self.registry.get(&upstream);
                let is_renewed = entry.is_some_and(|entry| {
                    entry.announcement.incarnation == incarnation && entry.deadline > now
                });
                if is_renewed {
                    self.send(sender.clone(), Message::Renewal { upstream, incarnation });
                }
            }
            Message::Digest { digest, wants_answer } => {
                self.compare(sender, digest, wants_answer);
            }
            Message::Records { buckets, records, wants_answer } => {
                self.has_learned = true;
                if wants_answer {
                    self.answer_records(sender, &buckets, &records);
                }
                for record in records {
                    self.learn(now, record);
                }
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Does what is due; to be called at least every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.registry.tidy(now);
        self.begin_queries(now);
        self.end_queries(now);
        if now >= self.next_comparison {
            self.next_comparison = now + COMPARE_PERIOD;
            self.begin_comparison();
        }
        std::mem::take(&mut self.actions)
    }

    fn send(&mut self, to: Instance, message: Message) {
        self.actions.push(Action::Send(to, message));
    }

    fn note(&mut self, now: Instant, upstream: &Upstream, change: Change) {
        self.actions.push(Action::Changed(upstream.clone(), change));
        self.update_owned(now);
    }

    /// Restarts the deadlines of upstreams that this instance owns newly: it did not see their
    /// renewals before.
    fn update_owned(&mut self, now: Instant) {
        let all = self.registry.iter().map(|entry| entry.announcement.upstream.clone());
        let owned: Vec<_> = all.filter(|upstream| *self.owner(upstream) == self.me).collect();
        for upstream in &owned {
            if self.owned.binary_search(upstream).is_ok() {
                continue;
            }
            let incarnation =
                self.registry.get(upstream).map(|entry| entry.announcement.incarnation);
            if let Some(incarnation) = incarnation {
                self.registry.renew(now, upstream, incarnation);
            }
        }
        self.owned = owned;
    }

    /// Tells all members of a change; a leave also in datagrams, which overtake a slow stream.
    fn spread(&mut self, upstream: &Upstream) {
        let Some(record) = self.registry.get(upstream).map(crate::Entry::record) else {
            return;
        };
        for member in self.members.clone() {
            if record.announcement.is_leaving {
                let quick = Message::Change(record.clone());
                self.actions.push(Action::SendQuickly(member.clone(), quick));
            }
            self.send(member, Message::Change(record.clone()));
        }
    }

    fn learn(&mut self, now: Instant, record: Record) {
        let upstream = record.upstream().clone();
        let change = self.registry.merge(now, record);
        if change != Change::Outdated {
            self.note(now, &upstream, change);
        }
    }

    /// Asks the others whether they heard a renewal of upstreams that are about to lapse.
    fn begin_queries(&mut self, now: Instant) {
        for upstream in &self.owned {
            let Some(entry) = self.registry.get(upstream) else {
                continue;
            };
            let is_asked = self.queries.iter().any(|query| query.upstream == *upstream);
            if entry.deadline > now || is_asked || entry.is_gone() {
                continue;
            }
            let wait = if self.members.is_empty() { Duration::ZERO } else { QUERY_TIMEOUT };
            self.queries.push(Query {
                upstream: upstream.clone(),
                deadline: now + wait,
                next: now,
            });
        }
        let registry = &self.registry;
        let is_late =
            |query: &Query| registry.get(&query.upstream).is_some_and(|one| one.deadline <= now);
        self.queries.retain(is_late);
        for query in self.queries.iter_mut().filter(|query| query.next <= now) {
            query.next = now + QUERY_PERIOD;
            let Some(entry) = self.registry.get(&query.upstream) else {
                continue;
            };
            let message = Message::Query {
                upstream: query.upstream.clone(),
                incarnation: entry.announcement.incarnation,
            };
            let sends = self.members.iter().map(|one| Action::Send(one.clone(), message.clone()));
            self.actions.extend(sends);
        }
    }

    fn end_queries(&mut self, now: Instant) {
        let ended: Vec<_> = self.queries.extract_if(.., |query| query.deadline <= now).collect();
        for Query { upstream, .. } in ended {
            let has_lapsed = self.registry.get(&upstream).is_some_and(|one| one.deadline <= now);
            if has_lapsed && *self.owner(&upstream) == self.me {
                self.registry.remove(now, &upstream);
                self.note(now, &upstream, Change::Gone);
                self.spread(&upstream);
            }
        }
    }

    /// Compares the set with one other member; with all of them until one has answered.
    fn begin_comparison(&mut self) {
        let digest = self.registry.digest();
        if self.members.is_empty() {
            return;
        }
        if !self.has_learned {
            for member in self.members.clone() {
                self.send(member, Message::Digest { digest, wants_answer: true });
            }
            return;
        }
        let index = self.random.random_range(0..self.members.len());
        let message = Message::Digest { digest, wants_answer: false };
        self.actions.push(Action::SendQuickly(self.members[index].clone(), message));
    }

    fn compare(&mut self, sender: &Instance, theirs: Digest, wants_answer: bool) {
        let mine = self.registry.digest();
        let differs = |index: &usize| mine.0[*index] != theirs.0[*index];
        let buckets: Vec<u8> = (0..BUCKETS).filter(differs).map(|index| index as u8).collect();
        if buckets.is_empty() && !wants_answer {
            return;
        }
        let records = self.registry.records_in(&buckets);
        let wants_answer = !buckets.is_empty();
        self.send(sender.clone(), Message::Records { buckets, records, wants_answer });
    }

    /// Sends back the records that `theirs` lacks or has in an older version.
    fn answer_records(&mut self, sender: &Instance, buckets: &[u8], theirs: &[Record]) {
        let mut records = self.registry.records_in(buckets);
        records.retain(|mine| {
            let other = theirs.iter().find(|record| record.upstream() == mine.upstream());
            other.is_none_or(|other| mine.supersedes(other))
        });
        if !records.is_empty() {
            let buckets = buckets.to_vec();
            self.send(sender.clone(), Message::Records { buckets, records, wants_answer: false });
        }
    }
}
