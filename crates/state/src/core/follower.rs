//! Followers: handling of messages from the leader.

use super::*;

impl Core {
    /// Accepts `from` as the leader of `term`. Returns `false` if this voter leads that term
    /// itself.
    pub(super) fn accept_leader(&mut self, now: Instant, from: VoterId, term: Term) -> bool {
        self.adopt_newer_term(now, term);
        if matches!(self.state, State::Leader(_)) {
            return false;
        }
        self.leader = Some(from);
        self.is_removed = false;
        self.withhold_votes(now);
        self.become_follower(now);
        true
    }

    pub(super) fn on_append(
        &mut self,
        from: VoterId,
        instance: Instance,
        previous: Position,
        entries: Vec<Entry>,
        commit: Index,
        sent: u64,
    ) {
        let (previous, entries) = self.skip_compacted(previous, entries);
        if self.log.term(previous.index) != Some(previous.term) {
            let hint = self.divergence_hint(previous.index);
            let message = Message::Diverged { previous: previous.index, hint, sent };
            self.reply(from, instance, message);
            return;
        }
        let last = Index(previous.index.0 + entries.len() as u64);
        if !self.append_entries(previous.index, entries) {
            return;
        }
        self.verified = self.verified.max(last);
        self.commit_to(commit.min(self.verified));
        self.send_appended(from, instance, sent);
    }

    /// Skips entries that are already compacted in the log. All of them are committed.
    fn skip_compacted(
        &self,
        previous: Position,
        mut entries: Vec<Entry>,
    ) -> (Position, Vec<Entry>) {
        let base = self.log.base();
        if previous.index >= base.index {
            return (previous, entries);
        }
        let covered = (base.index.0 - previous.index.0) as usize;
        if entries.len() < covered {
            return (base, Vec::new());
        }
        entries.drain(..covered);
        (base, entries)
    }

    /// Returns the index of the last entry that may match the leader's log, given that the entry at
    /// `previous` does not match.
    fn divergence_hint(&self, previous: Index) -> Index {
        let Some(term) = self.log.term(previous) else {
            return self.log.last_index();
        };
        let mut index = Index(previous.0.saturating_sub(1));
        while index > self.commit && self.log.term(index) == Some(term) {
            index.0 -= 1;
        }
        index
    }

    /// Appends entries after `previous`. Returns `false` if a committed entry would have to change.
    fn append_entries(&mut self, previous: Index, entries: Vec<Entry>) -> bool {
        let mut index = previous;
        for entry in entries {
            index.0 += 1;
            match self.log.term(index) {
                Some(term) if term == entry.term => continue,
                Some(_) if index <= self.commit => {
                    self.actions.push(Action::Halt { index });
                    return false;
                }
                Some(_) => {
                    let last = Index(index.0 - 1);
                    self.log.truncate(last);
                    self.persistence.truncate(last);
                }
                None => {}
            }
            self.log.push(entry);
            self.persistence.mark_entries_changed(index);
        }
        true
    }

    /// Tells the leader up to which entry the log matches the leader's log and is synced.
    fn send_appended(&mut self, to: VoterId, instance: Instance, sent: u64) {
        let verified = self.verified;
        let synced = verified.min(self.persistence.durable());
        self.reply(to, instance, Message::Appended { verified, synced, sent });
    }

    /// Reports newly synced entries to the leader.
    pub(super) fn report_synced(&mut self) {
        let Some(leader) = self.leader else {
            return;
        };
        if self.verified > Index::default()
            && let Some(member) = self.members().find(leader)
        {
            let instance = member.instance.clone();
            self.send_appended(leader, instance, 0);
        }
    }
}
