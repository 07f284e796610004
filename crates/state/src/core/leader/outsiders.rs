//! Instances with a folder that is no member, and which of the members are heard.

use super::*;

/// An instance that asked for admission.
pub(super) struct Outsider {
    pub(super) voter: Voter,
    pub(super) instance: Instance,
    pub(super) seen: Instant,
}

impl Leader {
    /// An instance that asked for admission within `span` and is none of `voting`.
    pub(in crate::core) fn spare(
        &self,
        now: Instant,
        span: Duration,
        voting: &[Instance],
    ) -> Option<Instance> {
        let is_spare = |outsider: &&Outsider| {
            now < outsider.seen + span && !voting.contains(&outsider.instance)
        };
        let spares = self.outsiders.iter().filter(is_spare);
        spares.map(|outsider| outsider.instance.clone()).min()
    }

    /// Whether `instance` asked for admission within `span`.
    pub(in crate::core) fn is_outside(
        &self,
        instance: &Instance,
        now: Instant,
        span: Duration,
    ) -> bool {
        let is_it = |one: &Outsider| one.instance == *instance && now < one.seen + span;
        self.outsiders.iter().any(is_it)
    }

    /// Whether a member of `instance` answered something that was sent within `span`.
    pub(in crate::core) fn is_heard(
        &self,
        instance: &Instance,
        now: Instant,
        span: Duration,
    ) -> bool {
        let mut members = self.progress.iter().filter(|one| one.instance == *instance);
        members.any(|one| now < one.contact + span || now < self.since + span)
    }

    pub(in crate::core) fn note_outsider(
        &mut self,
        now: Instant,
        voter: Voter,
        instance: Instance,
    ) {
        self.outsiders.retain(|outsider| outsider.instance != instance);
        self.outsiders.push(Outsider { voter, instance, seen: now });
    }
}
