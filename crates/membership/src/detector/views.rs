//! What a detector learns from others, and how views that differ are made equal.

use std::time::Instant;

use names::{Incarnation, Instance};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Action, DIFFERENCES, Detector, MEMORY, SUSPICION, VIEW_PAUSE, YOUNG_DIFFERENCES,
    YOUNG_VIEW_PAUSE,
};
use crate::record::Record;
use crate::{Message, Rumour, Status};

impl Detector {
    /// Begins an exchange of whole views after views have differed for a while.
    pub(super) fn compare(&mut self, now: Instant, peer: &Instance, digest: u64) {
        if digest == self.digest() {
            self.differences = 0;
            return;
        }
        if !self.may_compare(peer) {
            return;
        }
        self.differences += 1;
        let (differences, pause) = match self.is_young() {
            true => (YOUNG_DIFFERENCES, YOUNG_VIEW_PAUSE),
            false => (DIFFERENCES, VIEW_PAUSE),
        };
        if self.differences >= differences && now >= self.next_view {
            self.differences = 0;
            self.next_view = now + pause;
            self.send_view(peer, true);
        }
    }

    pub(super) fn send_view(&mut self, peer: &Instance, wants_answer: bool) {
        let heard = |record: &&Record| record.belief.incarnation > Incarnation(0);
        let others = self.records.iter().filter(heard).map(|record| record.belief.clone());
        let rumours = others.chain([self.me.clone()]).collect();
        let view = Message::View { rumours, wants_answer };
        self.actions.push(Action::SendReliably(peer.clone(), view));
    }

    /// The same for equal sets of members, whatever is suspected.
    pub(super) fn digest(&self) -> u64 {
        let hash = |belief: &Rumour| {
            xxh3_64_with_seed(belief.instance.as_str().as_bytes(), belief.incarnation.0)
        };
        let others = self.up().map(|record| hash(&record.belief));
        let mine = self.me.status.is_up().then(|| hash(&self.me));
        others.chain(mine).fold(0, |sum, hash| sum ^ hash)
    }

    /// Learns a whole view, of which only the sender itself is news to others.
    pub(super) fn learn_view(&mut self, now: Instant, sender: &Instance, rumours: Vec<Rumour>) {
        let (own, others): (Vec<_>, Vec<_>) =
            rumours.into_iter().partition(|rumour| rumour.instance == *sender);
        self.learn_all(now, own);
        let spreading = std::mem::take(&mut self.rumours);
        self.learn_all(now, others);
        let refutes = self.me.refutations > 0;
        self.rumours = spreading;
        if refutes {
            self.rumours.add(self.me.clone());
        }
    }

    pub(super) fn learn_all(&mut self, now: Instant, rumours: Vec<Rumour>) {
        for rumour in rumours {
            if rumour.instance == self.me.instance {
                self.refute(rumour);
            } else {
                self.learn(now, rumour);
            }
        }
    }

    /// Contradicts a belief that this run is not alive.
    pub(super) fn refute(&mut self, rumour: Rumour) {
        if rumour.incarnation > self.me.incarnation {
            self.me.incarnation = Incarnation(rumour.incarnation.0.saturating_add(1));
            self.me.refutations = 0;
            self.actions.push(Action::Renumbered(self.me.incarnation));
            self.rumours.add(self.me.clone());
            return;
        }
        let is_mine = rumour.incarnation == self.me.incarnation;
        let is_wrong = rumour.status != Status::Alive && self.me.status == Status::Alive;
        if !is_mine || !is_wrong {
            return;
        }
        if rumour.refutations >= self.me.refutations {
            self.me.refutations = rumour.refutations + 1;
        }
        self.rumours.add(self.me.clone());
    }

    pub(super) fn learn(&mut self, now: Instant, mut rumour: Rumour) {
        let index = match self.find(&rumour.instance) {
            Ok(index) => index,
            Err(index) if rumour.status.is_up() => {
                let mut unknown = rumour.clone();
                unknown.incarnation = Incarnation(0);
                unknown.status = Status::Dead;
                self.records.insert(index, Record::new(unknown, false, now));
                index
            }
            Err(_) => return,
        };
        let record = &mut self.records[index];
        if !rumour.supersedes(&record.belief) {
            return;
        }
        if record.is_configured {
            rumour.address = record.belief.address;
        }
        let old = std::mem::replace(&mut record.belief, rumour.clone());
        self.rumours.add(rumour);
        self.adopt(now, index, old);
    }

    /// Tells what changed from the belief `old` and sets the deadline that the new one needs.
    pub(super) fn adopt(&mut self, now: Instant, index: usize, old: Rumour) {
        self.changes += 1;
        let members = self.up().count() + 1;
        let record = &mut self.records[index];
        let is_same_run = record.belief.incarnation == old.incarnation;
        if old.status.is_up() && (!is_same_run || !record.is_up()) {
            let mut member = record.member();
            member.incarnation = old.incarnation;
            let status = if is_same_run { record.belief.status } else { Status::Dead };
            record.has_answered = false;
            self.actions.push(Action::Down(member, status));
        }
        let record = &mut self.records[index];
        let mut is_told = false;
        if record.is_up() && (!is_same_run || !old.status.is_up()) {
            if old.incarnation > Incarnation(0) {
                record.damping.count_return(now);
            }
            is_told = record.damping.is_aside();
            self.actions.push(Action::Up(record.member()));
        }
        let tenfolds = (members as f64).log10().max(1.0);
        record.deadline = match record.belief.status {
            Status::Alive => None,
            Status::Suspect => Some(now + SUSPICION.mul_f64(tenfolds)),
            Status::Dead | Status::Left => Some(now + MEMORY),
        };
        let told = is_told.then(|| record.told());
        self.tell(told);
    }
}
