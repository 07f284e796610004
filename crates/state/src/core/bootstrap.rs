//! Bootstrap of a new group, once all initial voters have announced uninitialized data folders.

use super::*;

/// Progress of the bootstrap.
pub(super) struct Bootstrap {
    initial_voters: Vec<Instance>,
    may_bootstrap: bool,
    /// Other live instances that may store the log.
    pub(super) contacts: Vec<Instance>,
    /// Uninitialized folders that were announced, at most one per instance.
    uninitialized: Vec<(VoterId, Instance)>,
    /// Time of the next announcement of this folder.
    pub(super) announce_at: Instant,
}

impl Bootstrap {
    pub(super) fn new(
        now: Instant,
        mut initial_voters: Vec<Instance>,
        may_bootstrap: bool,
    ) -> Self {
        initial_voters.sort();
        let contacts = Vec::new();
        Self {
            initial_voters,
            may_bootstrap,
            contacts,
            uninitialized: Vec::new(),
            announce_at: now,
        }
    }

    /// Records an uninitialized folder. A newer folder of an instance replaces the older one.
    fn record(&mut self, voter: VoterId, instance: Instance) {
        self.uninitialized.retain(|(_, other)| *other != instance);
        self.uninitialized.push((voter, instance));
    }

    fn is_complete(&self) -> bool {
        self.initial_voters
            .iter()
            .all(|voter| self.uninitialized.iter().any(|(_, instance)| instance == voter))
    }
}

/// Position of the snapshot with which a group starts.
const INITIAL_POSITION: Position = Position { term: Term(1), index: Index(1) };

impl Core {
    /// Announces the uninitialized folder and bootstraps the group if this instance is responsible.
    pub(super) fn check_bootstrap(&mut self, now: Instant) {
        if now < self.bootstrap.announce_at {
            return;
        }
        self.bootstrap.announce_at = now + self.timing.heartbeat_interval;
        self.announce(Message::Uninitialized);
        self.try_bootstrap(now);
    }

    /// Sends `message` to all other instances that may store the log.
    pub(super) fn announce(&mut self, message: Message) {
        let mut others = self.bootstrap.initial_voters.clone();
        others.extend(self.bootstrap.contacts.iter().cloned());
        others.sort();
        others.dedup();
        others.retain(|other| *other != self.instance);
        for other in others {
            self.send(None, other, message.clone());
        }
    }

    /// Bootstraps the group if all initial voters have announced uninitialized folders. The first
    /// initial voter in sorted order is responsible.
    fn try_bootstrap(&mut self, now: Instant) {
        if !self.bootstrap.may_bootstrap
            || self.bootstrap.initial_voters.first() != Some(&self.instance)
        {
            return;
        }
        self.bootstrap.record(self.me, self.instance.clone());
        if self.bootstrap.is_complete() {
            let uninitialized = std::mem::take(&mut self.bootstrap.uninitialized);
            let members = Members::initial(uninitialized);
            self.initialize(now, members.clone());
            self.send_initial_members(members);
            self.election_at = now;
        }
    }

    /// Tells the other initial voters that the group exists, so that the first election can follow.
    fn send_initial_members(&mut self, members: Members) {
        let me = self.me;
        for member in members.list().iter().filter(|member| member.voter != me) {
            let message = Message::Bootstrapped(members.clone());
            self.send(Some(member.voter), member.instance.clone(), message);
        }
    }

    /// Initializes the local folder with the state in which the group starts.
    fn initialize(&mut self, now: Instant, members: Members) {
        self.snapshot =
            Arc::new(Snapshot { position: INITIAL_POSITION, members, data: Chunks::default() });
        self.log = Log::new(INITIAL_POSITION, self.snapshot.members.clone());
        self.commit = INITIAL_POSITION.index;
        self.applied = INITIAL_POSITION.index;
        self.ballot = Ballot { term: self.ballot.term.max(INITIAL_POSITION.term), ..self.ballot };
        self.reset_election_timer(now);
        self.persistence.mark_ballot_changed();
        self.persistence.set_snapshot(self.snapshot.clone());
    }

    pub(super) fn on_uninitialized(&mut self, now: Instant, from: VoterId, instance: Instance) {
        if self.is_uninitialized() {
            let is_initial_voter = self.bootstrap.initial_voters.contains(&instance);
            if is_initial_voter {
                self.bootstrap.record(from, instance);
                self.try_bootstrap(now);
            }
            return;
        }
        let is_new =
            self.snapshot.position == INITIAL_POSITION && self.members().find(from).is_some();
        if is_new {
            let members = self.snapshot.members.clone();
            self.send(Some(from), instance, Message::Bootstrapped(members));
        } else {
            self.record_non_member(now, from, instance);
        }
    }

    pub(super) fn on_bootstrapped(&mut self, now: Instant, members: Members) {
        if self.is_uninitialized() && members.find(self.me).is_some() {
            self.initialize(now, members);
        }
    }
}
