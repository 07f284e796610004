//! Leaders: replication with flow control, commitment, and contact with a quorum.

mod non_members;
mod progress;

use super::*;
use crate::{MemberChange, Standing};
use non_members::NonMember;
use progress::{Mode, Progress};

/// State of a leader.
pub(super) struct Leader {
    /// Time from which send times are measured.
    epoch: Instant,
    /// Time at which this leader received the votes of a quorum.
    elected_at: Instant,
    /// Time at which the next heartbeats are due.
    pub(super) heartbeat_at: Instant,
    first_index: Index,
    elected_by: Vec<VoterId>,
    /// Time at which the votes for this leader were requested.
    candidate_since: Instant,
    progress: Vec<Progress>,
    non_members: Vec<NonMember>,
}

impl Leader {
    pub(super) fn new(
        epoch: Instant,
        now: Instant,
        candidate_since: Instant,
        elected_by: Vec<VoterId>,
    ) -> Self {
        Self {
            epoch,
            elected_at: now,
            heartbeat_at: now,
            first_index: Index::default(),
            elected_by,
            candidate_since,
            progress: Vec::new(),
            non_members: Vec::new(),
        }
    }

    /// Returns the time at which this leader received the votes of a quorum.
    pub(super) fn elected_at(&self) -> Instant {
        self.elected_at
    }

    /// Returns the index of the leader's first entry in its term.
    pub(super) fn first_index(&self) -> Index {
        self.first_index
    }

    fn find_progress(&mut self, voter: VoterId) -> Option<&mut Progress> {
        self.progress.iter_mut().find(|progress| progress.voter == voter)
    }

    /// Returns the time since which a quorum, including this voter, has been in contact.
    pub(super) fn quorum_contact(&self, members: &Members, me: VoterId) -> Option<Instant> {
        let mut contacts: Vec<Instant> = members
            .voting()
            .filter(|member| member.voter != me)
            .filter_map(|member| {
                self.progress.iter().find(|progress| progress.voter == member.voter)
            })
            .map(|progress| progress.last_contact)
            .collect();
        contacts.sort_by(|left, right| right.cmp(left));
        let needed = members.quorum() - usize::from(members.is_voting(me));
        let oldest_needed = needed.checked_sub(1)?;
        Some(contacts.get(oldest_needed).copied().unwrap_or(self.epoch))
    }

    /// Returns the index of the last synced entry of a member that was in contact within `max_age`.
    pub(super) fn synced_of(
        &self,
        voter: VoterId,
        now: Instant,
        max_age: Duration,
    ) -> Option<Index> {
        let found = self.progress.iter().find(|progress| progress.voter == voter)?;
        (now < found.last_contact + max_age).then_some(found.synced)
    }

    /// Returns the most recently heard voter that has synced the log up to `last`.
    pub(super) fn successor(&self, last: Index, members: &Members) -> Option<(VoterId, Instance)> {
        let is_eligible =
            |progress: &&Progress| members.is_voting(progress.voter) && progress.synced >= last;
        let eligible = self.progress.iter().filter(is_eligible);
        let successor = eligible.max_by_key(|progress| progress.last_contact)?;
        Some((successor.voter, successor.instance.clone()))
    }

    /// Returns the addition of a learner for a target instance whose data folder is not a member.
    pub(super) fn learner_addition(
        &self,
        now: Instant,
        max_age: Duration,
        members: &Members,
        target: &[Instance],
    ) -> Option<MemberChange> {
        let can_be_added = |non_member: &&NonMember| {
            let votes = |member: &crate::Member| member.instance == non_member.instance;
            let is_target = match target {
                [] => members.voting().any(votes),
                target => target.contains(&non_member.instance),
            };
            is_target
                && now < non_member.requested_at + max_age
                && members.find(non_member.voter).is_none()
        };
        let non_member = self.non_members.iter().find(can_be_added)?;
        let has_other_learner = members.list().iter().any(|member| {
            member.standing == Standing::Learner
                && member.instance != non_member.instance
                && self.synced_of(member.voter, now, max_age).is_some()
        });
        if has_other_learner {
            return None;
        }
        Some(MemberChange::Add(non_member.voter, non_member.instance.clone()))
    }
}

impl Core {
    pub(super) fn start_leading(&mut self, first: Index) {
        if let State::Leader(leader) = &mut self.state {
            leader.first_index = first;
        }
        self.update_progress_list();
    }

    /// Maintains one [`Progress`] for each other member.
    pub(super) fn update_progress_list(&mut self) {
        let members = self.log.members().1.clone();
        let next = self.log.last_index();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.progress.retain(|progress| members.find(progress.voter).is_some());
        for member in members.list().iter().filter(|member| member.voter != self.me) {
            if leader.find_progress(member.voter).is_some() {
                continue;
            }
            let has_voted = leader.elected_by.contains(&member.voter);
            leader.progress.push(Progress {
                voter: member.voter,
                instance: member.instance.clone(),
                mode: Mode::Probe { is_waiting: false },
                next,
                synced: Index::default(),
                in_flight: VecDeque::new(),
                last_contact: if has_voted { leader.candidate_since } else { leader.epoch },
                sent_commit: Index::default(),
            });
        }
    }

    /// Runs repairs and sends the heartbeats that are due at `now`.
    pub(super) fn run_leader(&mut self, now: Instant) {
        self.repair(now);
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if now < leader.heartbeat_at {
            return;
        }
        leader.heartbeat_at = now + self.timing.heartbeat_interval;
        for member_index in 0..leader.progress.len() {
            self.send_heartbeat(now, member_index);
        }
    }

    fn progress(&mut self, member_index: usize) -> Option<&mut Progress> {
        match &mut self.state {
            State::Leader(leader) => leader.progress.get_mut(member_index),
            _ => None,
        }
    }

    fn send_heartbeat(&mut self, now: Instant, member_index: usize) {
        let end = Index(self.log.last_index().0 + 1);
        let Some(progress) = self.progress(member_index) else {
            return;
        };
        let next = match &mut progress.mode {
            Mode::Probe { is_waiting } => {
                *is_waiting = false;
                return;
            }
            Mode::Install { .. } => end,
            Mode::Pipeline => progress.next,
        };
        self.send_entries(now, member_index, next, Vec::new());
    }

    /// Sends all members the entries that the flow control currently allows.
    pub(super) fn replicate(&mut self, now: Instant) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        for member_index in 0..leader.progress.len() {
            while self.replicate_to(now, member_index) {}
        }
    }

    /// Sends one message to a member. Returns `false` if nothing more can be sent for now.
    fn replicate_to(&mut self, now: Instant, member_index: usize) -> bool {
        let (base, last, commit) = (self.log.base().index, self.log.last_index(), self.commit);
        let (snapshot, flow, clock) = (self.snapshot.clone(), self.flow, self.clock(now));
        let Some(progress) = self.progress(member_index) else {
            return false;
        };
        let next = progress.next;
        if next <= base && !matches!(progress.mode, Mode::Install { .. }) {
            progress.in_flight.clear();
            progress.mode = Mode::Install { snapshot, offset: 0, part_sent: None };
        }
        match &mut progress.mode {
            Mode::Install { snapshot, offset, part_sent } => {
                if part_sent.is_some() {
                    return false;
                }
                *part_sent = Some(clock);
                let (snapshot, offset) = (snapshot.clone(), *offset);
                self.send_part(now, member_index, &snapshot, offset);
                false
            }
            Mode::Probe { is_waiting } => {
                if std::mem::replace(is_waiting, true) {
                    return false;
                }
                self.send_entries(now, member_index, next, Vec::new());
                false
            }
            Mode::Pipeline => {
                let is_full = progress.in_flight.len() >= flow.in_flight;
                if next > last && progress.sent_commit < commit {
                    self.send_entries(now, member_index, next, Vec::new());
                    return false;
                }
                if is_full || next > last {
                    return false;
                }
                let entries = self.log.slice(next, flow.append_bytes);
                let end = Index(next.0 + entries.len() as u64 - 1);
                record_sent_entries(&mut self.state, member_index, end);
                self.send_entries(now, member_index, next, entries);
                true
            }
        }
    }

    fn send_entries(
        &mut self,
        now: Instant,
        member_index: usize,
        next: Index,
        entries: Vec<Entry>,
    ) {
        let index = Index(next.0.saturating_sub(1));
        let Some(term) = self.log.term(index) else {
            return;
        };
        let previous = Position { term, index };
        let (commit, sent) = (self.commit, self.clock(now));
        let Some(progress) = self.progress(member_index) else {
            return;
        };
        progress.sent_commit = commit;
        let (voter, instance) = (progress.voter, progress.instance.clone());
        let message = Message::Append { previous, entries, commit, sent };
        self.send(Some(voter), instance, message);
    }

    fn send_part(&mut self, now: Instant, member_index: usize, snapshot: &Snapshot, offset: u64) {
        let sent = self.clock(now);
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(snapshot.data.len());
        let end = (start + self.flow.part_bytes).min(snapshot.data.len());
        let Some(progress) = self.progress(member_index) else {
            return;
        };
        let (voter, instance) = (progress.voter, progress.instance.clone());
        let message = Message::Install {
            position: snapshot.position,
            members: snapshot.members.clone(),
            offset,
            total: snapshot.data.len() as u64,
            bytes: snapshot.data.slice(start, end),
            sent,
        };
        self.send(Some(voter), instance, message);
    }

    /// Converts `now` to the leader's clock, in microseconds.
    fn clock(&self, now: Instant) -> u64 {
        let micros = now.saturating_duration_since(self.epoch).as_micros();
        u64::try_from(micros).unwrap_or(u64::MAX)
    }

    /// Processes a response from a member.
    pub(super) fn on_response(&mut self, now: Instant, from: VoterId, message: Message) {
        let epoch = self.epoch;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.find_progress(from) else {
            return;
        };
        let sent = match message {
            Message::Appended { verified, synced, sent } => {
                progress.on_appended(verified, synced);
                sent
            }
            Message::Diverged { previous, hint, sent } => {
                progress.on_diverged(previous, hint);
                sent
            }
            Message::Installing { position, received, sent } => {
                progress.on_installing(position, received);
                sent
            }
            _ => return,
        };
        progress.reschedule_lost_part(sent);
        let last_contact = (epoch + Duration::from_micros(sent)).min(now);
        progress.last_contact = progress.last_contact.max(last_contact);
        self.advance_commit();
    }

    /// Commits the entries that a quorum has synced, provided that the last one is of the current
    /// term.
    pub(super) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let durable = self.persistence.durable();
        let synced_of = |voter: VoterId| {
            if voter == self.me {
                return durable;
            }
            let found = leader.progress.iter().find(|progress| progress.voter == voter);
            found.map_or(Index::default(), |progress| progress.synced)
        };
        let members = self.log.members().1;
        let mut synced: Vec<Index> =
            members.voting().map(|member| synced_of(member.voter)).collect();
        synced.sort_by(|left, right| right.cmp(left));
        let reached = synced.get(members.quorum() - 1).copied().unwrap_or_default();
        if reached > self.commit && self.log.term(reached) == Some(self.ballot.term) {
            self.commit_to(reached);
        }
    }
}

fn record_sent_entries(state: &mut State, member_index: usize, end: Index) {
    if let State::Leader(leader) = state
        && let Some(progress) = leader.progress.get_mut(member_index)
    {
        progress.in_flight.push_back(end);
        progress.next = Index(end.0 + 1);
    }
}
