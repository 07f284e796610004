//! Persistence of state changes, and ordering of messages after the required syncs.

use super::*;

/// A write that is not synced yet.
struct PendingWrite {
    write_number: u64,
    /// Last entry of the log that the write makes durable.
    last: Index,
    /// Index of the snapshot that the write installs.
    installed: Option<Index>,
    since: Instant,
}

/// Collects the changes of a step and holds back messages until the ballot is synced.
pub(super) struct Persistence {
    last_write_number: u64,
    synced_write_number: u64,
    /// Time that the most recently synced write took.
    sync_time: Duration,
    /// Last synced entry.
    durable: Index,
    pending: VecDeque<PendingWrite>,
    /// Number of the last write that contains the ballot.
    ballot_write_number: u64,
    is_ballot_changed: bool,
    /// First entry that was changed in this step.
    changed_from: Option<Index>,
    snapshot: Option<Arc<Snapshot>>,
    replaces_log: bool,
    installed: Option<Index>,
    held_messages: Vec<Action>,
}

impl Persistence {
    pub(super) fn new(durable: Index) -> Self {
        Self {
            last_write_number: 0,
            synced_write_number: 0,
            sync_time: Duration::ZERO,
            durable,
            pending: VecDeque::new(),
            ballot_write_number: 0,
            is_ballot_changed: false,
            changed_from: None,
            snapshot: None,
            replaces_log: false,
            installed: None,
            held_messages: Vec::new(),
        }
    }

    pub(super) fn durable(&self) -> Index {
        self.durable
    }

    pub(super) fn mark_ballot_changed(&mut self) {
        self.is_ballot_changed = true;
    }

    /// Marks the entries from `first` on as changed.
    pub(super) fn mark_entries_changed(&mut self, first: Index) {
        let first = self.changed_from.map_or(first, |from| from.min(first));
        self.changed_from = Some(first);
    }

    pub(super) fn set_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = Some(snapshot);
    }

    /// Marks that the snapshot replaces a log that does not lead up to it.
    pub(super) fn mark_log_replaced(&mut self) {
        self.replaces_log = true;
    }

    /// Marks that the snapshot was installed by the leader.
    pub(super) fn mark_installed(&mut self, index: Index) {
        self.installed = Some(index);
    }

    /// Marks the entries after `last` as not synced, because they are removed from the log.
    pub(super) fn truncate(&mut self, last: Index) {
        self.durable = self.durable.min(last);
        for pending in &mut self.pending {
            pending.last = pending.last.min(last);
        }
    }

    pub(super) fn send(&mut self, action: Action) {
        self.held_messages.push(action);
    }

    /// Drops the requests for votes that are held back, because this voter no longer campaigns in
    /// their term. Voters that grant them would reject other candidates for one election timeout.
    pub(super) fn discard_vote_requests(&mut self) {
        let is_request = |action: &Action| match action {
            Action::Send { envelope, .. } => {
                matches!(envelope.message, Message::Vote { .. } | Message::PreVote { .. })
            }
            _ => false,
        };
        self.held_messages.retain(|action| !is_request(action));
    }

    /// Returns the messages that may be sent; none until the ballot is synced.
    fn take_sendable(&mut self) -> Vec<Action> {
        if self.is_ballot_synced() { std::mem::take(&mut self.held_messages) } else { Vec::new() }
    }

    /// Returns whether the current term and vote are synced.
    pub(super) fn is_ballot_synced(&self) -> bool {
        !self.is_ballot_changed && self.synced_write_number >= self.ballot_write_number
    }

    /// Returns the time that the most recently synced write took.
    pub(super) fn sync_time(&self) -> Duration {
        self.sync_time
    }

    /// Records that writes are synced. Returns the index of the snapshot installed by them, if any.
    fn complete(&mut self, now: Instant, write_number: u64) -> Option<Index> {
        let mut installed = None;
        self.synced_write_number = self.synced_write_number.max(write_number);
        while let Some(pending) =
            self.pending.pop_front_if(|pending| pending.write_number <= write_number)
        {
            self.durable = self.durable.max(pending.last);
            installed = pending.installed.or(installed);
            self.sync_time = now.saturating_duration_since(pending.since);
        }
        installed
    }
}

impl Core {
    /// Collects the actions of a step. Writes precede messages.
    pub(super) fn collect_actions(&mut self, now: Instant) -> Vec<Action> {
        if matches!(self.state, State::Leader(_)) {
            self.replicate(now);
        }
        if let Some(write) = self.take_write(now) {
            self.actions.push(Action::Persist(write));
        }
        self.actions.extend(self.persistence.take_sendable());
        std::mem::take(&mut self.actions)
    }

    /// Returns the write with the changes of this step, if there are any.
    fn take_write(&mut self, now: Instant) -> Option<Write> {
        let log = &self.log;
        let persistence = &mut self.persistence;
        let has_ballot = std::mem::take(&mut persistence.is_ballot_changed);
        let snapshot = persistence.snapshot.take();
        let changed_from = persistence.changed_from.take();
        let replaces_log = std::mem::take(&mut persistence.replaces_log);
        let installed = persistence.installed.take();
        if !has_ballot && snapshot.is_none() && changed_from.is_none() {
            return None;
        }
        let after_snapshot = snapshot.as_ref().map(|snapshot| Index(snapshot.position.index.0 + 1));
        let first = after_snapshot.or(changed_from);
        let entries = first.map(|first| indexed_entries(log, first)).unwrap_or_default();
        persistence.last_write_number += 1;
        let write_number = persistence.last_write_number;
        if has_ballot {
            persistence.ballot_write_number = write_number;
        }
        persistence.pending.push_back(PendingWrite {
            write_number,
            last: log.last_index(),
            installed,
            since: now,
        });
        let ballot = has_ballot.then_some(self.ballot);
        Some(Write { write_number, ballot, snapshot, replaces_log, entries })
    }

    /// Processes the sync of all writes up to `write_number`.
    pub(super) fn on_synced(&mut self, now: Instant, write_number: u64) {
        let was_ballot_synced = self.persistence.is_ballot_synced();
        if let Some(installed) = self.persistence.complete(now, write_number) {
            self.verified = self.verified.max(installed);
        }
        if !was_ballot_synced && self.persistence.is_ballot_synced() {
            self.on_ballot_synced(now);
        }
        match &self.state {
            State::Leader(_) => self.advance_commit(),
            State::Candidate(_) => self.count_own_vote(now),
            _ => self.report_synced(),
        }
    }

    /// Stores a snapshot of the state machines and drops the entries that it covers.
    pub(super) fn compact(&mut self, index: Index, data: Chunks) {
        if index <= self.snapshot.position.index || index > self.applied {
            return;
        }
        let Some(term) = self.log.term(index) else {
            return;
        };
        let members = self.log.members_at(index).clone();
        let position = Position { term, index };
        self.snapshot = Arc::new(Snapshot { position, members, data });
        self.persistence.set_snapshot(self.snapshot.clone());
        let base = Index(index.0.saturating_sub(self.flow.trailing_entries));
        if let Some(term) = self.log.term(base) {
            self.log.compact(Position { term, index: base });
        }
    }
}

fn indexed_entries(log: &Log, first: Index) -> Vec<crate::Indexed> {
    let entries = log.slice(first, usize::MAX);
    let indices = (first.0..).map(Index);
    indices.zip(entries).map(|(index, entry)| crate::Indexed { index, entry }).collect()
}
