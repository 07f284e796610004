//! Repair of the group: a voter that lost its folder is replaced, one change at a time.

use super::*;
use crate::{Change, Member, Standing};

/// How far a learner may be behind when its vote begins to count, in entries.
const MAX_LEARNER_LAG: u64 = 64;

impl Core {
    /// Asks for admission while no leader is heard and this folder does not vote: the change that
    /// admitted it may never have been committed.
    pub(super) fn ask_admission(&mut self, now: Instant) {
        if now < self.founding.announce_at || self.members().is_voting(self.me) {
            return;
        }
        self.founding.announce_at = now + self.timing.heartbeat;
        if !self.is_promised(now) {
            self.announce(Message::Admit);
        }
    }

    /// Remembers at the leader that an instance of the group has a folder that is no member.
    pub(super) fn note_outsider(&mut self, now: Instant, voter: Voter, instance: Instance) {
        if let State::Leader(leader) = &mut self.state {
            leader.note_outsider(now, voter, instance);
        }
    }

    /// Proposes the next change of the members, if one is due and the last one is committed.
    pub(super) fn repair(&mut self, now: Instant) {
        let (set_at, members) = self.log.members();
        let State::Leader(leader) = &self.state else {
            return;
        };
        if set_at > self.commit || leader.first() > self.commit {
            return;
        }
        let change = removal(members, self.me)
            .or_else(|| self.promotion(now, leader, members))
            .or_else(|| leader.addition(now, self.timing.election, members));
        if let Some(change) = change {
            let members = members.changed(&change);
            self.append(Payload::Members(members));
            self.sync_progress();
        }
    }

    fn promotion(&self, now: Instant, leader: &Leader, members: &Members) -> Option<Change> {
        let learners = members.list().iter().filter(|one| one.standing == Standing::Learner);
        let is_ready = |member: &&Member| {
            let synced = leader.synced_of(member.voter, now, self.timing.election);
            synced.is_some_and(|synced| {
                let is_near = synced.0 + MAX_LEARNER_LAG >= self.log.last_index().0;
                is_near && synced >= leader.first()
            })
        };
        learners.into_iter().find(is_ready).map(|member| Change::Promote(member.voter))
    }
}

/// Removes a voter in whose place a newer one of the same instance votes.
fn removal(members: &Members, me: Voter) -> Option<Change> {
    let voting: Vec<&Member> = members.voting().collect();
    let replaced = voting.iter().enumerate().find(|(index, member)| {
        let mut newer = voting[index + 1..].iter();
        member.voter != me && newer.any(|other| other.instance == member.instance)
    });
    replaced.map(|(_, member)| Change::Remove(member.voter))
}
