//! Repair of the group: replaces voters that lost their data folders, one change at a time.

use super::*;
use crate::{Member, MemberChange, Standing};

/// Maximum lag of a learner at its promotion to voter, in entries.
const MAX_LEARNER_LAG: u64 = 64;

impl Core {
    /// Asks to be added while this folder does not vote and no leader is heard. The change that
    /// added the folder may never have been committed.
    pub(super) fn request_join(&mut self, now: Instant) {
        if now < self.bootstrap.announce_at || self.is_voter() {
            return;
        }
        self.bootstrap.announce_at = now + self.timing.heartbeat_interval;
        if !self.is_withholding_votes(now) {
            self.announce(Message::JoinRequest);
        }
    }

    /// Returns whether this folder votes, as far as it is known locally.
    pub fn is_voter(&self) -> bool {
        self.is_member() && self.members().is_voting(self.me)
    }

    /// Returns whether this folder is a member, as far as it is known locally.
    pub fn is_member(&self) -> bool {
        !self.is_removed && self.members().find(self.me).is_some()
    }

    /// Returns whether `voter` was removed and still campaigns: a leader is in contact, and the
    /// committed members do not contain `voter`.
    pub(super) fn is_removed_voter(&self, now: Instant, voter: VoterId) -> bool {
        self.is_withholding_votes(now)
            && self.has_committed_members()
            && self.members().find(voter).is_none()
            && !self.is_uninitialized()
    }

    /// Records that this folder is not a member in the log up to `committed`. Uncommitted local
    /// entries may say otherwise.
    pub(super) fn on_removed(&mut self, now: Instant, committed: Index) {
        let is_leader = matches!(self.state, State::Leader(_));
        if !is_leader && committed >= self.log.members().0 {
            self.is_removed = true;
            self.become_follower(now);
        }
    }

    /// Records at the leader that the data folder of an instance is not a member.
    pub(super) fn record_non_member(&mut self, now: Instant, voter: VoterId, instance: Instance) {
        if let State::Leader(leader) = &mut self.state {
            leader.record_non_member(now, voter, instance);
        }
    }

    /// Proposes the next change of the members if one is due and the previous one is committed.
    pub(super) fn repair(&mut self, now: Instant) {
        let (set_at, members) = self.log.members();
        let State::Leader(leader) = &self.state else {
            return;
        };
        if set_at > self.commit || leader.first_index() > self.commit {
            return;
        }
        let change = replaced_voter_removal(members, self.me)
            .or_else(|| self.lost_voter_removal(now, leader, members))
            .or_else(|| self.learner_promotion(now, leader, members))
            .or_else(|| {
                leader.learner_addition(now, self.timing.election_timeout, members, &self.target)
            })
            .or_else(|| self.surplus_removal(members));
        if let Some(change) = change {
            let members = members.changed(&change);
            self.append(Payload::Members(members));
            self.update_progress_list();
        }
    }

    /// Returns the removal of a lost voter that a learner is ready to replace: a silent voter that
    /// is not a target voter, or a voter whose instance now runs on the learner's folder. The lost
    /// voter is removed before the learner is promoted, because otherwise the learner would know
    /// that it votes while the group could not yet tolerate another loss.
    fn lost_voter_removal(
        &self,
        now: Instant,
        leader: &Leader,
        members: &Members,
    ) -> Option<MemberChange> {
        let ready = self.ready_learner(now, leader, members)?;
        let is_lost = |member: &&Member| {
            let is_silent = leader.synced_of(member.voter, now, REPLACEMENT_SILENCE).is_none();
            let is_replaced = is_silent && !self.is_target_voter(&member.instance);
            member.voter != self.me && (member.instance == ready.instance || is_replaced)
        };
        members.voting().find(is_lost).map(|member| MemberChange::Remove(member.voter))
    }

    /// Returns the promotion of a learner that is ready to vote.
    fn learner_promotion(
        &self,
        now: Instant,
        leader: &Leader,
        members: &Members,
    ) -> Option<MemberChange> {
        let ready = self.ready_learner(now, leader, members)?;
        Some(MemberChange::Promote(ready.voter))
    }

    /// Returns a learner that is a target voter and has nearly the whole log.
    fn ready_learner<'a>(
        &self,
        now: Instant,
        leader: &Leader,
        members: &'a Members,
    ) -> Option<&'a Member> {
        let is_ready = |member: &&Member| {
            if member.standing != Standing::Learner || !self.is_target_voter(&member.instance) {
                return false;
            }
            let synced = leader.synced_of(member.voter, now, self.timing.election_timeout);
            synced.is_some_and(|synced| {
                let is_caught_up = synced.0 + MAX_LEARNER_LAG >= self.log.last_index().0;
                is_caught_up && synced >= leader.first_index()
            })
        };
        members.list().iter().find(is_ready)
    }
}

impl Core {
    /// Returns whether `instance` may vote.
    fn is_target_voter(&self, instance: &Instance) -> bool {
        self.target.is_empty() || self.target.contains(instance)
    }

    /// Returns whether every target voter votes.
    fn has_target_voters(&self, members: &Members) -> bool {
        let votes =
            |instance: &Instance| members.voting().any(|member| member.instance == *instance);
        self.target.iter().all(votes)
    }

    /// Returns the removal of a member that is not a target voter, once all target voters vote.
    fn surplus_removal(&self, members: &Members) -> Option<MemberChange> {
        if !self.has_target_voters(members) {
            return None;
        }
        let is_due =
            |member: &&Member| member.voter != self.me && !self.is_target_voter(&member.instance);
        members.list().iter().find(is_due).map(|member| MemberChange::Remove(member.voter))
    }

    /// Returns whether this voter is the only remaining member that is not a target voter. It has
    /// to step down, because another leader must remove it.
    pub(super) fn is_surplus(&self) -> bool {
        if self.target.is_empty() || self.is_target_voter(&self.instance) {
            return false;
        }
        let members = self.members();
        let is_last =
            |member: &Member| member.voter == self.me || self.is_target_voter(&member.instance);
        self.has_committed_members()
            && self.has_target_voters(members)
            && members.list().iter().all(is_last)
    }

    /// Returns whether exactly the target voters vote, according to a committed entry.
    pub fn has_target_members(&self) -> bool {
        let members = self.members();
        let is_target_member = |member: &Member| {
            member.standing == Standing::Voting && self.is_target_voter(&member.instance)
        };
        self.has_committed_members()
            && self.has_target_voters(members)
            && members.list().iter().all(is_target_member)
    }
}

/// Time without contact after which a spare instance replaces a voter. Longer than an election and
/// a short process pause, but short enough that a new voter is in place within seconds.
const REPLACEMENT_SILENCE: Duration = Duration::from_millis(1500);

impl Core {
    /// Returns the target voters that this leader proposes if they differ from the current target:
    /// a spare instance in place of a silent voter, or one more voter while there are fewer than
    /// `wanted_voters`.
    pub fn replacement_voters(&self, now: Instant, wanted_voters: usize) -> Option<Vec<Instance>> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        if !self.is_leading(now) || !self.has_committed_members() {
            return None;
        }
        let members = self.members();
        let mut voting: Vec<Instance> =
            members.voting().map(|member| member.instance.clone()).collect();
        voting.sort();
        voting.dedup();
        let spare = leader.find_spare(now, self.timing.election_timeout, &voting)?;
        if voting.len() >= wanted_voters {
            let is_silent = |instance: &Instance| {
                *instance != self.instance
                    && !leader.is_responsive(instance, now, REPLACEMENT_SILENCE)
                    && !leader.has_requested_join(instance, now, self.timing.election_timeout)
            };
            let silent = voting.iter().position(is_silent)?;
            voting.remove(silent);
        }
        voting.push(spare);
        voting.sort();
        (voting != self.target).then_some(voting)
    }
}

/// Returns the removal of a voter that was replaced by a newer voter of the same instance.
fn replaced_voter_removal(members: &Members, me: VoterId) -> Option<MemberChange> {
    let voting: Vec<&Member> = members.voting().collect();
    let replaced = voting.iter().enumerate().find(|(index, member)| {
        let mut newer = voting[index + 1..].iter();
        member.voter != me && newer.any(|other| other.instance == member.instance)
    });
    replaced.map(|(_, member)| MemberChange::Remove(member.voter))
}
