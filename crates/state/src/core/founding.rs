//! Founds the first group, once all its instances have shown that their folders are blank.

use super::*;

/// Who has reported a blank folder.
pub(super) struct Founding {
    founders: Vec<Instance>,
    may_found: bool,
    /// Other instances that may keep the log.
    pub(super) contacts: Vec<Instance>,
    blanks: Vec<(Voter, Instance)>,
    pub(super) announce_at: Instant,
}

impl Founding {
    pub(super) fn new(now: Instant, mut founders: Vec<Instance>, may_found: bool) -> Self {
        founders.sort();
        let contacts = Vec::new();
        Self { founders, may_found, contacts, blanks: Vec::new(), announce_at: now }
    }

    /// Records a blank folder; a newer one of the same instance replaces the older.
    fn note(&mut self, voter: Voter, instance: Instance) {
        self.blanks.retain(|(_, blank)| *blank != instance);
        self.blanks.push((voter, instance));
    }

    fn is_complete(&self) -> bool {
        self.founders.iter().all(|founder| self.blanks.iter().any(|(_, blank)| blank == founder))
    }
}

/// Index and term of the state in which a group starts.
const FOUNDED: Position = Position { term: Term(1), index: Index(1) };

impl Core {
    /// Announces the blank folder and founds the group if that is this instance's duty.
    pub(super) fn check_founding(&mut self, now: Instant) {
        if now < self.founding.announce_at {
            return;
        }
        self.founding.announce_at = now + self.timing.heartbeat;
        self.announce(Message::Blank);
        self.try_found(now);
    }

    /// Tells all other instances that keep the log something about this folder.
    pub(super) fn announce(&mut self, message: Message) {
        let mut others = self.founding.founders.clone();
        others.extend(self.founding.contacts.iter().cloned());
        others.sort();
        others.dedup();
        others.retain(|other| *other != self.instance);
        for other in others {
            self.send(None, other, message.clone());
        }
    }

    fn try_found(&mut self, now: Instant) {
        if !self.founding.may_found || self.founding.founders.first() != Some(&self.instance) {
            return;
        }
        self.founding.note(self.me, self.instance.clone());
        if self.founding.is_complete() {
            let blanks = std::mem::take(&mut self.founding.blanks);
            let members = Members::founding(blanks);
            self.found(now, members.clone());
            self.announce_members(members);
            self.election_at = now;
        }
    }

    /// Tells the other founders that the group exists, so that the first election follows.
    fn announce_members(&mut self, members: Members) {
        let me = self.me;
        for member in members.list().iter().filter(|member| member.voter != me) {
            let message = Message::Found(members.clone());
            self.send(Some(member.voter), member.instance.clone(), message);
        }
    }

    fn found(&mut self, now: Instant, members: Members) {
        self.snapshot = Arc::new(Snapshot { position: FOUNDED, members, data: Chunks::default() });
        self.log = Log::new(FOUNDED, self.snapshot.members.clone());
        self.commit = FOUNDED.index;
        self.applied = FOUNDED.index;
        self.ballot = Ballot { term: self.ballot.term.max(FOUNDED.term), ..self.ballot };
        self.delay_election(now);
        self.persistence.set_ballot();
        self.persistence.set_snapshot(self.snapshot.clone());
    }

    pub(super) fn on_blank(&mut self, now: Instant, from: Voter, instance: Instance) {
        if self.is_blank() {
            let is_founder = self.founding.founders.contains(&instance);
            if is_founder {
                self.founding.note(from, instance);
                self.try_found(now);
            }
            return;
        }
        let is_new = self.snapshot.position == FOUNDED && self.members().find(from).is_some();
        if is_new {
            let members = self.snapshot.members.clone();
            self.send(Some(from), instance, Message::Found(members));
        } else {
            self.note_outsider(now, from, instance);
        }
    }

    pub(super) fn on_found(&mut self, now: Instant, members: Members) {
        if self.is_blank() && members.find(self.me).is_some() {
            self.found(now, members);
        }
    }
}
