//! Replication progress of a member.

use super::*;

/// Replication mode of a member.
pub(super) enum Mode {
    /// Searches for the last matching entry with one empty message at a time.
    Probe { is_waiting: bool },
    /// Sends entries ahead of the responses.
    Pipeline,
    /// Sends a snapshot, one part at a time. `part_sent` is the send time of the outstanding part,
    /// in microseconds of the leader's clock.
    Install { snapshot: Arc<Snapshot>, offset: u64, part_sent: Option<u64> },
}

/// Replication state of one member.
pub(super) struct Progress {
    pub(super) voter: VoterId,
    pub(super) instance: Instance,
    pub(super) mode: Mode,
    /// Index of the next entry to send.
    pub(super) next: Index,
    /// Last entry that the member has synced.
    pub(super) synced: Index,
    /// Last index of each unacknowledged message with entries.
    pub(super) in_flight: VecDeque<Index>,
    /// Send time of the newest message that the member responded to.
    pub(super) last_contact: Instant,
    /// Commit index in the most recent message with entries or heartbeat.
    pub(super) sent_commit: Index,
}

impl Progress {
    /// Restarts the search for the last matching entry before `next`.
    pub(super) fn probe(&mut self, next: Index) {
        self.next = next;
        self.in_flight.clear();
        self.mode = Mode::Probe { is_waiting: false };
    }

    pub(super) fn on_appended(&mut self, verified: Index, synced: Index) {
        self.synced = self.synced.max(synced);
        while self.in_flight.pop_front_if(|last| *last <= verified).is_some() {}
        if !matches!(self.mode, Mode::Pipeline) {
            self.next = Index(verified.0 + 1);
            self.mode = Mode::Pipeline;
        }
        self.next = self.next.max(Index(verified.0 + 1));
    }

    pub(super) fn on_diverged(&mut self, previous: Index, hint: Index) {
        let is_stale = previous <= self.synced || previous >= self.next;
        if !is_stale && !matches!(self.mode, Mode::Install { .. }) {
            let next = Index(hint.0 + 1).min(previous).max(Index(self.synced.0 + 1));
            self.probe(next);
        }
    }

    pub(super) fn on_installing(&mut self, position: Position, received: u64) {
        if let Mode::Install { snapshot, offset, part_sent } = &mut self.mode
            && snapshot.position == position
            && (received != *offset || received == 0)
        {
            *offset = received;
            *part_sent = None;
        }
    }

    /// Schedules a part for resending if the member responded to a later message, sent at
    /// `answered`. Messages arrive in order, so the part was lost together with its connection.
    pub(super) fn reschedule_lost_part(&mut self, answered: u64) {
        if let Mode::Install { part_sent, .. } = &mut self.mode
            && part_sent.is_some_and(|sent| sent < answered)
        {
            *part_sent = None;
        }
    }
}
