//! Replication of the set of upstreams between the instances of a data centre.

use std::time::{Duration, Instant};

use names::{Instance, Upstream};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::message::{BUCKETS, Digest};
use crate::{Announcement, Change, Message, Record, Registry};

/// Interval between two comparisons with another instance.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(500);

/// Time that the other instances have to report a renewal that the owner missed.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between two queries for a renewal that the owner missed.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Action that the caller of a [`Directory`] must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message over a reliable transport.
    Send(Instance, Message),
    /// Send a message in a datagram, which may be lost.
    SendQuickly(Instance, Message),
    /// Handle a change of an upstream other than a renewal.
    Changed(Upstream, Change),
}

/// Query to the other instances for a renewal that this instance missed as the owner.
#[derive(Debug)]
struct Query {
    upstream: Upstream,
    deadline: Instant,
    next_send: Instant,
}

/// The set of upstreams and the protocol that keeps it equal in all instances of a data centre.
#[derive(Debug)]
pub struct Directory {
    me: Instance,
    registry: Registry,
    members: Vec<Instance>,
    /// Upstreams that this instance owns, sorted by name.
    owned: Vec<Upstream>,
    queries: Vec<Query>,
    next_comparison: Instant,
    has_learned: bool,
    random: Pcg64Mcg,
    actions: Vec<Action>,
}

impl Directory {
    /// Creates an empty directory for the instance `me`.
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

    /// Returns the registry of the known upstreams.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the registry of the known upstreams, for storing load reports.
    pub fn registry_mut(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// Returns whether another instance has sent its records, so that the set is complete.
    pub fn has_learned(&self) -> bool {
        self.has_learned
    }

    /// Returns the owner of `upstream` according to the members that this instance knows.
    pub fn owner(&self, upstream: &Upstream) -> &Instance {
        let members = self.members.iter().chain([&self.me]);
        placement::owner(upstream, members).unwrap_or(&self.me)
    }

    /// Sets the other instances of the data centre.
    pub fn set_members(&mut self, now: Instant, members: Vec<Instance>) {
        self.members = members;
        if !self.has_learned {
            self.next_comparison = now;
        }
        self.update_owned(now);
    }

    /// Handles an announcement that this instance received from an upstream.
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
                self.record_change(now, &upstream, change);
                self.broadcast(&upstream);
            }
        }
        (change, std::mem::take(&mut self.actions))
    }

    /// Handles a message from the instance `sender`.
    pub fn receive(&mut self, now: Instant, sender: &Instance, message: Message) -> Vec<Action> {
        match message {
            Message::Change(record) => self.merge(now, record),
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
                    self.merge(now, record);
                }
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Performs the work that is due. Must be called at least every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.registry.tidy(now);
        self.send_queries(now);
        self.finish_queries(now);
        if now >= self.next_comparison {
            self.next_comparison = now + COMPARISON_INTERVAL;
            self.send_digest();
        }
        std::mem::take(&mut self.actions)
    }

    fn send(&mut self, to: Instance, message: Message) {
        self.actions.push(Action::Send(to, message));
    }

    /// Reports a change to the caller and updates the owned upstreams.
    fn record_change(&mut self, now: Instant, upstream: &Upstream, change: Change) {
        self.actions.push(Action::Changed(upstream.clone(), change));
        self.update_owned(now);
    }

    /// Recomputes which upstreams this instance owns. Restarts the deadlines of newly owned
    /// upstreams, because their earlier renewals went to another owner.
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

    /// Sends the record of `upstream` to all members. A leave is also sent in datagrams, which are
    /// not delayed by a slow stream.
    fn broadcast(&mut self, upstream: &Upstream) {
        let Some(record) = self.registry.get(upstream).map(crate::Entry::record) else {
            return;
        };
        for member in self.members.clone() {
            if record.announcement.is_leaving {
                let datagram = Message::Change(record.clone());
                self.actions.push(Action::SendQuickly(member.clone(), datagram));
            }
            self.send(member, Message::Change(record.clone()));
        }
    }

    /// Merges a record from another instance.
    fn merge(&mut self, now: Instant, record: Record) {
        let upstream = record.upstream().clone();
        let change = self.registry.merge(now, record);
        if change != Change::Outdated {
            self.record_change(now, &upstream, change);
        }
    }

    /// Asks the other instances whether they received a renewal of upstreams that are about to
    /// expire.
    fn send_queries(&mut self, now: Instant) {
        for upstream in &self.owned {
            let Some(entry) = self.registry.get(upstream) else {
                continue;
            };
            let is_queried = self.queries.iter().any(|query| query.upstream == *upstream);
            if entry.deadline > now || is_queried || entry.is_gone() {
                continue;
            }
            let timeout = if self.members.is_empty() { Duration::ZERO } else { QUERY_TIMEOUT };
            self.queries.push(Query {
                upstream: upstream.clone(),
                deadline: now + timeout,
                next_send: now,
            });
        }
        let registry = &self.registry;
        let is_overdue = |query: &Query| {
            registry.get(&query.upstream).is_some_and(|entry| entry.deadline <= now)
        };
        self.queries.retain(is_overdue);
        for query in self.queries.iter_mut().filter(|query| query.next_send <= now) {
            query.next_send = now + QUERY_INTERVAL;
            let Some(entry) = self.registry.get(&query.upstream) else {
                continue;
            };
            let message = Message::Query {
                upstream: query.upstream.clone(),
                incarnation: entry.announcement.incarnation,
            };
            let sends =
                self.members.iter().map(|member| Action::Send(member.clone(), message.clone()));
            self.actions.extend(sends);
        }
    }

    /// Marks upstreams as gone whose queries ended without a renewal.
    fn finish_queries(&mut self, now: Instant) {
        let ended: Vec<_> = self.queries.extract_if(.., |query| query.deadline <= now).collect();
        for Query { upstream, .. } in ended {
            let has_expired =
                self.registry.get(&upstream).is_some_and(|entry| entry.deadline <= now);
            if has_expired && *self.owner(&upstream) == self.me {
                self.registry.remove(now, &upstream);
                self.record_change(now, &upstream, Change::Gone);
                self.broadcast(&upstream);
            }
        }
    }

    /// Sends the digest of the set to one random member, or to all members until one has answered.
    fn send_digest(&mut self) {
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

    /// Sends the records of the buckets that differ from the sender's digest.
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

    /// Answers with the records that are missing in `theirs` or older there.
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
