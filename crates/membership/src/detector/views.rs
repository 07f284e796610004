//! Merging of states received from other instances, and exchange of full views that differ.

use std::time::Instant;

use names::{Incarnation, Instance};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Action, DOWN_RETENTION, Detector, MISMATCH_THRESHOLD, STARTUP_MISMATCH_THRESHOLD,
    STARTUP_VIEW_EXCHANGE_INTERVAL, SUSPICION_TIMEOUT, VIEW_EXCHANGE_INTERVAL,
};
use crate::record::Record;
use crate::{MemberState, Message, Status};

impl Detector {
    /// Compares the digest of `peer` with that of the local view, and starts an exchange of full
    /// views after enough consecutive mismatches.
    pub(super) fn compare_digest(&mut self, now: Instant, peer: &Instance, digest: u64) {
        if digest == self.digest() {
            self.digest_mismatches = 0;
            return;
        }
        if !self.may_exchange_views(peer) {
            return;
        }
        self.digest_mismatches += 1;
        let (threshold, pause) = match self.is_starting() {
            true => (STARTUP_MISMATCH_THRESHOLD, STARTUP_VIEW_EXCHANGE_INTERVAL),
            false => (MISMATCH_THRESHOLD, VIEW_EXCHANGE_INTERVAL),
        };
        if self.digest_mismatches >= threshold && now >= self.next_view_exchange {
            self.digest_mismatches = 0;
            self.next_view_exchange = now + pause;
            self.send_view(peer, true);
        }
    }

    pub(super) fn send_view(&mut self, peer: &Instance, wants_reply: bool) {
        let is_known = |record: &&Record| record.state.incarnation > Incarnation(0);
        let others = self.records.iter().filter(is_known).map(|record| record.state.clone());
        let updates = others.chain([self.me.clone()]).collect();
        let view = Message::View { updates, wants_reply };
        self.actions.push(Action::SendReliably(peer.clone(), view));
    }

    /// Returns a hash of the names and incarnations of all members. Suspicions do not affect it.
    pub(super) fn digest(&self) -> u64 {
        let hash = |state: &MemberState| {
            xxh3_64_with_seed(state.instance.as_str().as_bytes(), state.incarnation.0)
        };
        let others = self.up().map(|record| hash(&record.state));
        let mine = self.me.status.is_up().then(|| hash(&self.me));
        others.chain(mine).fold(0, |sum, hash| sum ^ hash)
    }

    /// Merges a full view. Only the state of the sender is queued for gossip, since the rest of
    /// the view is not new to other instances.
    pub(super) fn merge_view(
        &mut self,
        now: Instant,
        sender: &Instance,
        updates: Vec<MemberState>,
    ) {
        let (own, others): (Vec<_>, Vec<_>) =
            updates.into_iter().partition(|update| update.instance == *sender);
        self.merge_all(now, own);
        let queued = std::mem::take(&mut self.gossip);
        self.merge_all(now, others);
        let has_refuted = self.me.refutations > 0;
        self.gossip = queued;
        if has_refuted {
            self.gossip.add(self.me.clone());
        }
    }

    pub(super) fn merge_all(&mut self, now: Instant, updates: Vec<MemberState>) {
        for update in updates {
            if update.instance == self.me.instance {
                self.refute(update);
            } else {
                self.merge(now, update);
            }
        }
    }

    /// Refutes an update that says that the current incarnation of the local instance is not alive.
    /// If the update has a later incarnation, the local instance switches to an even later one.
    pub(super) fn refute(&mut self, update: MemberState) {
        if update.incarnation > self.me.incarnation {
            self.me.incarnation = Incarnation(update.incarnation.0.saturating_add(1));
            self.me.refutations = 0;
            self.actions.push(Action::IncarnationRaised(self.me.incarnation));
            self.gossip.add(self.me.clone());
            return;
        }
        let is_mine = update.incarnation == self.me.incarnation;
        let is_wrong = update.status != Status::Alive && self.me.status == Status::Alive;
        if !is_mine || !is_wrong {
            return;
        }
        if update.refutations >= self.me.refutations {
            self.me.refutations = update.refutations + 1;
        }
        self.gossip.add(self.me.clone());
    }

    pub(super) fn merge(&mut self, now: Instant, mut update: MemberState) {
        let index = match self.find(&update.instance) {
            Ok(index) => index,
            Err(index) if update.status.is_up() => {
                let mut unknown = update.clone();
                unknown.incarnation = Incarnation(0);
                unknown.status = Status::Dead;
                self.records.insert(index, Record::new(unknown, false, now));
                index
            }
            Err(_) => return,
        };
        let record = &mut self.records[index];
        if !update.supersedes(&record.state) {
            return;
        }
        if record.is_configured {
            update.address = record.state.address;
        }
        let old = std::mem::replace(&mut record.state, update.clone());
        self.gossip.add(update);
        self.apply_change(now, index, old);
    }

    /// Emits the actions for the change of a record from the state `old`, and sets the deadline of
    /// the new state.
    pub(super) fn apply_change(&mut self, now: Instant, index: usize, old: MemberState) {
        self.changes += 1;
        let members = self.up().count() + 1;
        let record = &mut self.records[index];
        let is_same_run = record.state.incarnation == old.incarnation;
        if old.status.is_up() && (!is_same_run || !record.is_up()) {
            let mut member = record.member();
            member.incarnation = old.incarnation;
            let status = if is_same_run { record.state.status } else { Status::Dead };
            record.has_acked = false;
            self.actions.push(Action::Down(member, status));
        }
        let record = &mut self.records[index];
        let mut must_notify = false;
        if record.is_up() && (!is_same_run || !old.status.is_up()) {
            if old.incarnation > Incarnation(0) {
                record.damping.count_return(now);
            }
            must_notify = record.damping.is_set_aside();
            self.actions.push(Action::Up(record.member()));
        }
        let size_factor = (members as f64).log10().max(1.0);
        record.deadline = match record.state.status {
            Status::Alive => None,
            Status::Suspect => Some(now + SUSPICION_TIMEOUT.mul_f64(size_factor)),
            Status::Dead | Status::Left => Some(now + DOWN_RETENTION),
        };
        let run_to_notify = must_notify.then(|| record.run_id());
        self.notify_set_aside(run_to_notify);
    }
}
