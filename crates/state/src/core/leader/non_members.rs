//! Tracking of instances whose data folders are not members, and of the responsiveness of members.

use super::*;

/// An instance that asked to be added to the group.
pub(super) struct NonMember {
    pub(super) voter: VoterId,
    pub(super) instance: Instance,
    /// Time of the most recent request.
    pub(super) requested_at: Instant,
}

impl Leader {
    /// Returns an instance that asked to join within `max_age` and is not among `voting`.
    pub(in crate::core) fn find_spare(
        &self,
        now: Instant,
        max_age: Duration,
        voting: &[Instance],
    ) -> Option<Instance> {
        let is_spare = |non_member: &&NonMember| {
            now < non_member.requested_at + max_age && !voting.contains(&non_member.instance)
        };
        let spares = self.non_members.iter().filter(is_spare);
        spares.map(|non_member| non_member.instance.clone()).min()
    }

    /// Returns whether `instance` asked to join within `max_age`.
    pub(in crate::core) fn has_requested_join(
        &self,
        instance: &Instance,
        now: Instant,
        max_age: Duration,
    ) -> bool {
        let is_match = |non_member: &NonMember| {
            non_member.instance == *instance && now < non_member.requested_at + max_age
        };
        self.non_members.iter().any(is_match)
    }

    /// Returns whether a member of `instance` responded to a message sent within `max_age`. Every
    /// member counts as responsive until `max_age` after the start of the leader's election.
    pub(in crate::core) fn is_responsive(
        &self,
        instance: &Instance,
        now: Instant,
        max_age: Duration,
    ) -> bool {
        let mut matching = self.progress.iter().filter(|progress| progress.instance == *instance);
        matching.any(|progress| {
            now < progress.last_contact + max_age || now < self.candidate_since + max_age
        })
    }

    /// Records a request to join and replaces earlier requests of the same instance.
    pub(in crate::core) fn record_non_member(
        &mut self,
        now: Instant,
        voter: VoterId,
        instance: Instance,
    ) {
        self.non_members.retain(|non_member| non_member.instance != instance);
        self.non_members.push(NonMember { voter, instance, requested_at: now });
    }
}
