//! The consensus core, a deterministic state machine without I/O that elects a leader and commits
//! entries.

mod action;
mod bootstrap;
mod election;
mod follower;
mod install;
mod leader;
mod persist;
mod repair;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use names::Instance;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub use action::{Action, CoreConfig, FlowLimits, Input, Recovered, Role, Timing, Write};

use crate::log::Log;
use crate::{
    Ballot, Chunks, Entry, Envelope, Index, MAX_COMMAND_BYTES, Members, Message, Payload, Position,
    ProposalId, Snapshot, Term, VoterId,
};
use bootstrap::Bootstrap;
use install::IncomingSnapshot;
use leader::Leader;
use persist::Persistence;

/// Size of the uncommitted entries above which a leader refuses proposals, in bytes.
const MAX_UNCOMMITTED_BYTES: usize = 32 << 20;

/// Role of the core, with the state of its election or leadership.
enum State {
    Follower,
    /// Asks for pre-votes. Votes of a preceding candidacy in the current term still count, because
    /// slow syncs may delay them by more than the election timeout.
    PreCandidate {
        granted: Vec<VoterId>,
        since: Instant,
        candidacy: Option<Candidacy>,
    },
    Candidate(Candidacy),
    Leader(Leader),
}

/// Votes for this voter in the current term.
#[derive(Clone)]
struct Candidacy {
    granted: Vec<VoterId>,
    /// Time at which the votes were requested.
    since: Instant,
}

/// The consensus state of one voter or learner.
pub struct Core {
    me: VoterId,
    instance: Instance,
    timing: Timing,
    flow: FlowLimits,
    random: Pcg64Mcg,
    /// Time of creation, from which the send times of a leader are measured.
    epoch: Instant,
    ballot: Ballot,
    log: Log,
    snapshot: Arc<Snapshot>,
    /// Last entry that is known to be committed.
    commit: Index,
    /// Last entry that was emitted for application.
    applied: Index,
    /// Last entry that is known to match the log of the current leader.
    verified: Index,
    state: State,
    leader: Option<VoterId>,
    /// Time until which no vote is granted, because a leader was heard or a vote was granted.
    votes_withheld_until: Option<Instant>,
    /// Time at which the election timer expires.
    election_at: Instant,
    incoming: Option<IncomingSnapshot>,
    bootstrap: Bootstrap,
    /// Target voters, sorted; empty to keep the current voters.
    target: Vec<Instance>,
    /// Whether a committed change of the members, newer than those in the local log, has removed
    /// this folder.
    is_removed: bool,
    /// Whether the process is about to stop.
    is_retired: bool,
    persistence: Persistence,
    actions: Vec<Action>,
}

impl Core {
    /// Creates a core from the state recovered from disk. The core grants no vote for the first
    /// election timeout, because the voter may have acknowledged a leader or granted a vote shortly
    /// before the restart.
    pub fn new(now: Instant, start: CoreConfig, recovered: Recovered) -> Self {
        let Recovered { ballot, snapshot, entries } = recovered;
        let snapshot = Arc::new(snapshot);
        let mut log = Log::new(snapshot.position, snapshot.members.clone());
        for entry in entries {
            log.push(entry);
        }
        let durable = log.last_index();
        // The last entry may have been synced before the ballot of its term.
        let ballot = match log.last().term {
            term if term > ballot.term => Ballot { term, vote: None },
            _ => ballot,
        };
        let mut core = Self {
            me: start.me,
            instance: start.instance,
            timing: start.timing,
            flow: start.flow,
            random: Pcg64Mcg::seed_from_u64(start.seed),
            epoch: now,
            ballot,
            commit: snapshot.position.index,
            applied: snapshot.position.index,
            verified: Index::default(),
            log,
            snapshot,
            state: State::Follower,
            leader: None,
            votes_withheld_until: None,
            election_at: now,
            incoming: None,
            bootstrap: Bootstrap::new(now, start.initial_voters, start.may_bootstrap),
            target: Vec::new(),
            is_removed: false,
            is_retired: false,
            persistence: Persistence::new(durable),
            actions: Vec::new(),
        };
        core.reset_election_timer(now);
        if !core.is_uninitialized() {
            core.withhold_votes(now);
        }
        core
    }

    /// Processes one input at `now` and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Action> {
        self.check_lease(now);
        match input {
            Input::Tick => {}
            Input::Receive(envelope) => self.receive(now, envelope),
            Input::Synced { write_number } => self.on_synced(now, write_number),
            Input::Propose { origin, bytes } => self.propose(origin, bytes),
            Input::Retire => self.is_retired = true,
            Input::Target(target) => self.target = target,
            Input::Contacts(contacts) => self.bootstrap.contacts = contacts,
            Input::Compact { index, data } => self.compact(index, data),
        }
        self.check_timers(now);
        self.collect_actions(now)
    }

    /// Returns the time at which [`Input::Tick`] is due.
    pub fn next_tick(&self) -> Instant {
        let timer = match &self.state {
            State::Leader(leader) => leader.heartbeat_at,
            _ => self.election_at,
        };
        if self.is_voter() { timer } else { self.bootstrap.announce_at }
    }

    /// Returns the role of the core in its current term.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Leader(_) => Role::Leader,
            State::PreCandidate { .. } | State::Candidate(_) => Role::Candidate,
            State::Follower if self.is_voter() => Role::Follower,
            State::Follower => Role::Learner,
        }
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<VoterId> {
        self.leader
    }

    /// Returns the instance of the leader if it was heard within the election timeout.
    pub fn leader_instance(&self, now: Instant) -> Option<&Instance> {
        if self.is_leading(now) {
            return Some(&self.instance);
        }
        let leader = self.leader.filter(|_| self.is_withholding_votes(now))?;
        self.members().find(leader).map(|member| &member.instance)
    }

    /// Returns whether this voter leads and its lease has not expired.
    pub fn is_leading(&self, now: Instant) -> bool {
        let is_leader = matches!(self.state, State::Leader(_));
        is_leader && self.lease_until().is_none_or(|until| now < until)
    }

    /// Returns the expiry of the leader's lease; `None` on a non-leader and on a leader that forms
    /// a quorum by itself.
    pub fn lease_until(&self) -> Option<Instant> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        Some(leader.quorum_contact(self.members(), self.me)? + self.timing.lease_duration)
    }

    /// Returns the identifier of the data folder.
    pub fn voter(&self) -> VoterId {
        self.me
    }

    /// Returns the highest term seen.
    pub fn term(&self) -> Term {
        self.ballot.term
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the position of the last entry in the log.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Returns the index of the last synced entry.
    pub fn durable(&self) -> Index {
        self.persistence.durable()
    }

    /// Returns the term of the entry at `index` if it is still in memory.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term(index)
    }

    /// Returns the entry at `index` if it is still in memory.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Returns the approximate size of the entries in memory, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the members in force.
    pub fn members(&self) -> &Members {
        self.log.members().1
    }

    /// Returns whether the members in force are committed.
    pub fn has_committed_members(&self) -> bool {
        self.log.members().0 <= self.commit
    }

    /// Returns whether the data folder has no log yet.
    pub fn is_uninitialized(&self) -> bool {
        self.snapshot.position.index == Index::default()
    }

    fn receive(&mut self, now: Instant, envelope: Envelope) {
        if envelope.to.is_some_and(|to| to != self.me) || envelope.from == self.me {
            return;
        }
        let Envelope { from, instance, term, message, .. } = envelope;
        match message {
            Message::Uninitialized => self.on_uninitialized(now, from, instance),
            Message::JoinRequest => self.record_non_member(now, from, instance),
            Message::Bootstrapped(members) => self.on_bootstrapped(now, members),
            Message::PreVote { next_term, last } => {
                self.on_pre_vote(now, from, instance, next_term, last);
            }
            Message::PreVoted { next_term, is_granted } => {
                self.on_pre_voted(now, from, term, next_term, is_granted);
            }
            Message::TransferLeadership => self.on_transfer_leadership(now, term),
            Message::Vote { is_leadership_transfer, last } => {
                if is_leadership_transfer || !self.is_withholding_votes(now) {
                    self.on_vote(now, from, instance, term, last);
                }
            }
            Message::Removed { committed } => self.on_removed(now, committed),
            Message::Append { .. } | Message::Install { .. } if term < self.ballot.term => {
                self.reply(from, instance, Message::Voted { is_granted: false });
            }
            Message::Voted { is_granted } => self.on_voted(now, from, term, is_granted),
            Message::Append { previous, entries, commit, sent } => {
                if self.accept_leader(now, from, term) {
                    self.on_append(from, instance, previous, entries, commit, sent);
                }
            }
            Message::Install { position, members, offset, total, bytes, sent } => {
                if self.accept_leader(now, from, term) {
                    let part = install::SnapshotPart { position, members, offset, total, bytes };
                    self.on_install(from, instance, part, sent);
                }
            }
            Message::Appended { .. } | Message::Diverged { .. } | Message::Installing { .. } => {
                self.adopt_newer_term(now, term);
                if term == self.ballot.term {
                    self.on_response(now, from, message);
                }
            }
        }
    }

    /// Adopts a newer term and becomes a follower.
    fn adopt_newer_term(&mut self, now: Instant, term: Term) {
        if term > self.ballot.term {
            self.persistence.mark_ballot_changed();
            self.persistence.discard_vote_requests();
            self.ballot = Ballot { term, vote: None };
            self.verified = Index::default();
            self.incoming = None;
            self.leader = None;
            self.become_follower(now);
        }
    }

    /// Withholds votes for one election timeout.
    fn withhold_votes(&mut self, now: Instant) {
        self.votes_withheld_until = Some(now + self.timing.election_timeout);
    }

    fn become_follower(&mut self, now: Instant) {
        self.state = State::Follower;
        self.reset_election_timer(now);
    }

    /// Resets the election timer to a random time between one and two election timeouts.
    fn reset_election_timer(&mut self, now: Instant) {
        let fraction = self.random.random_range(0.0..1.0);
        self.election_at =
            now + self.timing.election_timeout + self.timing.election_timeout.mul_f64(fraction);
    }

    /// Steps down if the lease has expired. Runs before each input is processed.
    ///
    /// The lease of a new leader counts from its request for votes. It may have expired before the
    /// votes arrive if the voters sync slowly, so a new leader has one lease duration to contact a
    /// quorum.
    fn check_lease(&mut self, now: Instant) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let contact_deadline = leader.elected_at() + self.timing.lease_duration;
        if self.lease_until().is_some_and(|until| now >= until.max(contact_deadline)) {
            self.leader = None;
            self.become_follower(now);
        }
    }

    fn check_timers(&mut self, now: Instant) {
        if self.is_uninitialized() {
            self.check_bootstrap(now);
            return;
        }
        self.request_join(now);
        if self.is_retired || self.is_surplus() {
            self.transfer_leadership(now);
        }
        if matches!(self.state, State::Leader(_)) {
            self.run_leader(now);
        } else if now >= self.election_at && !self.persistence.is_ballot_synced() {
            // No message can be sent before the sync, which restarts the timer.
            self.reset_election_timer(now);
        } else if now >= self.election_at {
            self.start_pre_vote(now);
        }
    }

    fn reply(&mut self, to: VoterId, instance: Instance, message: Message) {
        self.send(Some(to), instance, message);
    }

    fn send(&mut self, to: Option<VoterId>, addressee: Instance, message: Message) {
        let envelope = Envelope {
            from: self.me,
            instance: self.instance.clone(),
            to,
            term: self.ballot.term,
            message,
        };
        self.persistence.send(Action::Send { addressee, envelope });
    }

    /// Advances the commit index and emits the newly committed entries for application.
    fn commit_to(&mut self, commit: Index) {
        self.commit = self.commit.max(commit.min(self.log.last_index()));
        while self.applied < self.commit {
            let next = Index(self.applied.0 + 1);
            let Some(entry) = self.log.get(next) else {
                break;
            };
            self.actions.push(Action::Apply { index: next, entry: entry.clone() });
            self.applied = next;
        }
    }

    fn append(&mut self, payload: Payload) -> Index {
        let index = self.log.push(Entry { term: self.ballot.term, payload });
        self.persistence.mark_entries_changed(index);
        index
    }

    fn propose(&mut self, origin: ProposalId, bytes: Arc<[u8]>) {
        let is_full = self.log.bytes() > MAX_UNCOMMITTED_BYTES
            && self.log.last_index().0 > self.commit.0 + self.flow.trailing_entries;
        let is_stepping_down = self.is_retired || self.is_surplus();
        let is_ready = matches!(self.state, State::Leader(_)) && !is_stepping_down && !is_full;
        if !is_ready || bytes.len() > MAX_COMMAND_BYTES {
            self.actions.push(Action::Refuse { origin });
            return;
        }
        if !self.is_uncommitted(&origin) {
            self.append(Payload::Command { origin, bytes });
        }
    }

    /// Returns whether a proposal is in the log but not committed yet.
    fn is_uncommitted(&self, origin: &ProposalId) -> bool {
        let uncommitted = (self.commit.0 + 1..=self.log.last_index().0).map(Index);
        let is_match = |entry: &Entry| match &entry.payload {
            Payload::Command { origin: other, .. } => other == origin,
            Payload::Empty | Payload::Members(_) => false,
        };
        uncommitted.filter_map(|index| self.log.get(index)).any(is_match)
    }
}
