//! Elections: a pre-vote followed by the actual vote.

use super::*;

/// Maximum time for which a voter that grants a pre-vote waits for a slow sync of the candidate.
const MAX_AWAITED_SYNC_TIME: Duration = Duration::from_secs(2);

impl Core {
    /// Starts a pre-vote, which asks the other voters whether they would grant their votes. It
    /// prevents a voter that was partitioned from disrupting the group when it returns.
    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.reset_election_timer(now);
        if self.is_retired || !self.is_voter() {
            return;
        }
        self.leader = None;
        let candidacy = match &self.state {
            State::Candidate(candidacy) => Some(candidacy.clone()),
            State::PreCandidate { candidacy, .. } => candidacy.clone(),
            State::Follower | State::Leader(_) => None,
        };
        self.state = State::PreCandidate { granted: vec![self.me], since: now, candidacy };
        let next_term = Term(self.ballot.term.0 + 1);
        let last = self.log.last();
        self.send_to_voters(Message::PreVote { next_term, last });
        self.count_pre_votes(now);
    }

    fn send_to_voters(&mut self, message: Message) {
        let others: Vec<(VoterId, Instance)> = self
            .members()
            .voting()
            .filter(|member| member.voter != self.me)
            .map(|member| (member.voter, member.instance.clone()))
            .collect();
        for (voter, instance) in others {
            self.send(Some(voter), instance, message.clone());
        }
    }

    /// Returns whether this voter leads, or has heard from a leader or granted its vote within the
    /// election timeout.
    pub(super) fn is_withholding_votes(&self, now: Instant) -> bool {
        let is_leader = matches!(self.state, State::Leader(_));
        is_leader || self.votes_withheld_until.is_some_and(|until| now < until)
    }

    pub(super) fn on_pre_vote(
        &mut self,
        now: Instant,
        from: VoterId,
        instance: Instance,
        next_term: Term,
        last: Position,
    ) {
        if self.is_removed_voter(now, from) {
            let committed = self.commit;
            self.reply(from, instance, Message::Removed { committed });
            return;
        }
        // While a vote is being synced, its candidate may be about to win.
        let is_granted = next_term > self.ballot.term
            && self.persistence.is_ballot_synced()
            && !self.is_uninitialized()
            && !self.is_withholding_votes(now)
            && last >= self.log.last()
            && !self.has_priority_over(now, from, last);
        if is_granted {
            // The candidate requests votes only after a sync, which may be as slow as those here.
            let sync_time = self.persistence.sync_time().min(MAX_AWAITED_SYNC_TIME);
            self.election_at = self.election_at.max(now + self.timing.pre_vote_window + sync_time);
        }
        self.reply(from, instance, Message::PreVoted { next_term, is_granted });
    }

    /// Returns whether this voter is in a pre-vote itself and has priority over `from`, so that one
    /// of the two receives all votes instead of splitting them.
    fn has_priority_over(&self, now: Instant, from: VoterId, last: Position) -> bool {
        let State::PreCandidate { since, .. } = &self.state else {
            return false;
        };
        now < *since + self.timing.pre_vote_window && (self.log.last(), self.me) > (last, from)
    }

    pub(super) fn on_pre_voted(
        &mut self,
        now: Instant,
        from: VoterId,
        term: Term,
        next_term: Term,
        is_granted: bool,
    ) {
        if term > self.ballot.term {
            self.adopt_newer_term(now, term);
            return;
        }
        let is_current = next_term.0 == self.ballot.term.0 + 1;
        if let State::PreCandidate { granted, .. } = &mut self.state
            && is_granted
            && is_current
            && !granted.contains(&from)
        {
            granted.push(from);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: Instant) {
        if let State::PreCandidate { granted, .. } = &self.state
            && self.members().is_quorum(granted)
        {
            self.start_election(now, false);
        }
    }

    /// Steps down and transfers the leadership once another voter has synced the whole log.
    pub(super) fn transfer_leadership(&mut self, now: Instant) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let last = self.log.last_index();
        let Some((voter, instance)) = leader.successor(last, self.members()) else {
            return;
        };
        self.leader = None;
        self.become_follower(now);
        self.send(Some(voter), instance, Message::TransferLeadership);
    }

    /// Starts an election immediately, because the leader of `term` has stepped down.
    pub(super) fn on_transfer_leadership(&mut self, now: Instant, term: Term) {
        let can_campaign = !self.is_retired && self.members().is_voting(self.me);
        if can_campaign && term == self.ballot.term && !matches!(self.state, State::Leader(_)) {
            self.start_election(now, true);
        }
    }

    /// Votes for itself in a new term and requests the votes of the other voters.
    fn start_election(&mut self, now: Instant, is_leadership_transfer: bool) {
        self.reset_election_timer(now);
        let term = Term(self.ballot.term.0 + 1);
        self.ballot = Ballot { term, vote: Some(self.me) };
        self.persistence.mark_ballot_changed();
        self.persistence.discard_vote_requests();
        self.verified = Index::default();
        self.state = State::Candidate(Candidacy { granted: Vec::new(), since: now });
        let last = self.log.last();
        self.send_to_voters(Message::Vote { is_leadership_transfer, last });
    }

    pub(super) fn on_vote(
        &mut self,
        now: Instant,
        from: VoterId,
        instance: Instance,
        term: Term,
        last: Position,
    ) {
        if self.is_uninitialized() {
            return;
        }
        self.adopt_newer_term(now, term);
        let is_vote_available = self.ballot.vote.is_none_or(|vote| vote == from);
        let is_granted = term == self.ballot.term && is_vote_available && last >= self.log.last();
        if is_granted {
            self.withhold_votes(now);
            self.reset_election_timer(now);
            if self.ballot.vote.is_none() {
                self.ballot.vote = Some(from);
                self.persistence.mark_ballot_changed();
            }
        }
        self.reply(from, instance, Message::Voted { is_granted });
    }

    /// Restarts the election timer once the ballot is synced and messages can be sent again: a
    /// candidate requests its votes only now, and a candidate that was voted for has the vote only
    /// now.
    pub(super) fn on_ballot_synced(&mut self, now: Instant) {
        self.reset_election_timer(now);
        if let State::Candidate(candidacy) = &mut self.state {
            candidacy.since = now;
        }
    }

    pub(super) fn on_voted(&mut self, now: Instant, from: VoterId, term: Term, is_granted: bool) {
        self.adopt_newer_term(now, term);
        let (State::Candidate(candidacy) | State::PreCandidate { candidacy: Some(candidacy), .. }) =
            &mut self.state
        else {
            return;
        };
        if is_granted && term == self.ballot.term && !candidacy.granted.contains(&from) {
            candidacy.granted.push(from);
            let candidacy = candidacy.clone();
            self.count_votes(now, &candidacy);
        }
    }

    /// Counts the candidate's vote for itself once it is synced.
    pub(super) fn count_own_vote(&mut self, now: Instant) {
        if self.persistence.is_ballot_synced() {
            self.on_voted(now, self.me, self.ballot.term, true);
        }
    }

    fn count_votes(&mut self, now: Instant, candidacy: &Candidacy) {
        if self.members().is_quorum(&candidacy.granted) {
            let Candidacy { granted, since } = candidacy.clone();
            let leader = Leader::new(self.epoch, now, since, granted);
            self.state = State::Leader(leader);
            self.leader = Some(self.me);
            let first = self.append(Payload::Empty);
            self.start_leading(first);
        }
    }
}
