//! Durability of the leaves of upstreams.
//!
//! A control instance acknowledges a leave, or a report of draining, only once enough control
//! instances have it on disk. [`Writer`] decides when an instance writes, [`Rounds`] which
//! acknowledgements may be sent, and [`Pledges`] which other instances have to be told that a write
//! has ended. All of them perform no I/O. [`Writer`] and [`Requirement`] also apply to documents
//! ([`Copies`](crate::Copies)).

use std::time::{Duration, Instant};

use names::{DataCentre, Instance, Upstream};
use serde::{Deserialize, Serialize};

use crate::Record;
use crate::departure::Departure;

/// Time after which a failed write is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Number of changes that an instance has to write, such as leaves, since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(u64);

/// What an instance does next with its disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Write the current state, which includes the changes up to the revision.
    Write(Revision),
    /// Wait until the time at which a failed write is repeated.
    Retry(Instant),
    /// Wait for the end of a write, or for the next change.
    Wait,
}

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The new content is on disk.
    Stored,
    /// The disk may have the old or the new content.
    Failed,
}

/// Order of the writes of one file of an instance. While a write runs, the changes that arrive are
/// collected for the next one.
#[derive(Debug, Clone, Default)]
pub struct Writer {
    newest: Revision,
    stored: Revision,
    running: Option<Revision>,
    retry_at: Option<Instant>,
    writes: u64,
}

impl Writer {
    /// Records that a change has arrived.
    pub fn add(&mut self) {
        self.newest.0 += 1;
    }

    /// Returns the revision that includes all changes so far.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// Returns the revision that is on disk.
    pub fn stored(&self) -> Revision {
        self.stored
    }

    /// Returns the number of writes that have begun.
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Returns what to do at `now`. A write that is returned counts as running until
    /// [`finish`](Self::finish) is called.
    pub fn next_step(&mut self, now: Instant) -> Step {
        if self.running.is_some() || self.stored == self.newest {
            return Step::Wait;
        }
        if let Some(at) = self.retry_at.filter(|at| now < *at) {
            return Step::Retry(at);
        }
        self.running = Some(self.newest);
        self.writes += 1;
        Step::Write(self.newest)
    }

    /// Records the end of the running write.
    pub fn finish(&mut self, now: Instant, result: WriteResult) {
        let Some(revision) = self.running.take() else {
            return;
        };
        match result {
            WriteResult::Stored => {
                self.stored = revision;
                self.retry_at = None;
            }
            WriteResult::Failed => self.retry_at = Some(now + WRITE_RETRY_DELAY),
        }
    }
}

/// A control instance that can hold a copy of a leave or a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Name of the instance.
    pub instance: Instance,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentre,
}

/// Copies that are needed before a leave or a document is acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requirement {
    /// Number of control instances with a copy on disk.
    pub copies: usize,
    /// Number of data centres in which these instances run.
    pub data_centres: usize,
}

impl Requirement {
    /// Returns the requirement of a fleet that survives the loss of `losses_borne` disks. `live`
    /// are the live control instances including this one, and `known` is the number of control
    /// instances that the settings name. Instances that are named but not live count, so that an
    /// instance without contact to the others does not acknowledge alone.
    pub fn new(losses_borne: usize, live: &[Holder], known: usize) -> Self {
        let copies = (losses_borne + 1).min(live.len().max(known)).max(1);
        Self { copies, data_centres: count_data_centres(live).min(copies).min(2) }
    }

    pub(crate) fn is_met(&self, holders: &[Holder]) -> bool {
        self.copies <= holders.len() && self.data_centres <= count_data_centres(holders)
    }
}

fn count_data_centres(holders: &[Holder]) -> usize {
    let mut data_centres: Vec<&DataCentre> =
        holders.iter().map(|holder| &holder.data_centre).collect();
    data_centres.sort();
    data_centres.dedup();
    data_centres.len()
}

/// A leave in a message between control instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Leave {
    /// The record of the upstream that leaves or drains.
    Record(Record),
    /// A leave that does not tell which announced run ends.
    Departure(Departure),
}

impl Leave {
    /// Returns the name of the upstream that leaves.
    pub fn upstream(&self) -> &Upstream {
        match self {
            Self::Record(record) => &record.announcement.upstream,
            Self::Departure(departure) => &departure.upstream,
        }
    }
}

/// Identifies a round among those of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// Collects the copies of one leave for one acknowledgement.
#[derive(Debug, Clone)]
struct Round<T> {
    ticket: Ticket,
    leave: Leave,
    /// Revision of this instance that includes the leave.
    revision: Revision,
    holders: Vec<Holder>,
    expires_at: Instant,
    acknowledgement: T,
}

/// Acknowledgements that wait until their leaves are durable.
#[derive(Debug)]
pub struct Rounds<T> {
    me: Holder,
    next_ticket: Ticket,
    /// Sorted by ticket.
    rounds: Vec<Round<T>>,
}

impl<T> Rounds<T> {
    /// Creates the rounds of the instance `me`. `first_ticket` should be random, so that a late
    /// message about a round of an earlier process is not taken for one about a round of this
    /// process.
    pub fn new(me: Holder, first_ticket: u32) -> Self {
        Self { me, next_ticket: Ticket(first_ticket.into()), rounds: Vec::new() }
    }

    /// Begins a round for a leave that `revision` of this instance includes.
    pub fn begin(
        &mut self,
        leave: Leave,
        revision: Revision,
        expires_at: Instant,
        acknowledgement: T,
    ) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket = Ticket(ticket.0 + 1);
        let holders = Vec::new();
        self.rounds.push(Round { ticket, leave, revision, holders, expires_at, acknowledgement });
        ticket
    }

    /// Records that this instance has `stored` on disk.
    pub fn record_own(&mut self, stored: Revision) {
        for round in self.rounds.iter_mut().filter(|round| round.revision <= stored) {
            round.add(&self.me);
        }
    }

    /// Records that another control instance has the leave of a round on disk.
    pub fn record_copy(&mut self, ticket: Ticket, holder: &Holder) {
        if let Ok(index) = self.rounds.binary_search_by_key(&ticket, |round| round.ticket) {
            self.rounds[index].add(holder);
        }
    }

    /// Removes the rounds whose leaves have the required copies, and returns them.
    pub fn take_durable(&mut self, requirement: Requirement) -> Vec<(Leave, T)> {
        let is_met = |round: &mut Round<T>| requirement.is_met(&round.holders);
        let durable = self.rounds.extract_if(.., is_met);
        durable.map(|round| (round.leave, round.acknowledgement)).collect()
    }

    /// Removes the rounds that did not get the copies in time, and returns their acknowledgements.
    pub fn take_expired(&mut self, now: Instant) -> Vec<T> {
        let expired = self.rounds.extract_if(.., |round| round.expires_at <= now);
        expired.map(|round| round.acknowledgement).collect()
    }

    /// Returns the leaves of which `instance` has not confirmed a copy.
    pub fn missing(&self, instance: &Instance) -> impl Iterator<Item = (Ticket, &Leave)> {
        let is_missing = move |round: &&Round<T>| {
            !round.holders.iter().any(|holder| holder.instance == *instance)
        };
        self.rounds.iter().filter(is_missing).map(|round| (round.ticket, &round.leave))
    }

    /// Returns whether no acknowledgement is waiting.
    pub fn is_empty(&self) -> bool {
        self.rounds.is_empty()
    }
}

impl<T> Round<T> {
    fn add(&mut self, holder: &Holder) {
        if !self.holders.iter().any(|known| known.instance == holder.instance) {
            self.holders.push(holder.clone());
        }
    }
}

/// A leave of another control instance that this instance confirms once it is on disk.
#[derive(Debug, Clone)]
struct Pledge {
    instance: Instance,
    ticket: Ticket,
    revision: Revision,
    expires_at: Instant,
}

/// Confirmations that other control instances wait for.
#[derive(Debug, Clone, Default)]
pub struct Pledges {
    list: Vec<Pledge>,
}

impl Pledges {
    /// Adds a leave of `instance` that `revision` of this instance includes. After `expires_at`,
    /// `instance` no longer waits for the confirmation.
    pub fn add(
        &mut self,
        instance: Instance,
        ticket: Ticket,
        revision: Revision,
        expires_at: Instant,
    ) {
        let is_known = |pledge: &Pledge| pledge.ticket == ticket && pledge.instance == instance;
        if !self.list.iter().any(is_known) {
            self.list.push(Pledge { instance, ticket, revision, expires_at });
        }
    }

    /// Removes the leaves that `stored` includes, and returns them. Expired ones are dropped.
    pub fn take_stored(&mut self, now: Instant, stored: Revision) -> Vec<(Instance, Ticket)> {
        self.list.retain(|pledge| now < pledge.expires_at);
        let stored = self.list.extract_if(.., |pledge| pledge.revision <= stored);
        stored.map(|pledge| (pledge.instance, pledge.ticket)).collect()
    }
}
