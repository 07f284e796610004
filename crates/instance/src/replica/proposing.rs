//! Sends proposals of this instance to the leader, and again to the next one.

use std::time::Instant;

use names::Instance;
use stakker::{CX, Ret, ret};
use state::{Input, MAX_COMMAND_BYTES, Origin, Proposed};

use super::message::Message;
use super::proposals::{Ready, Repeat};
use super::{Part, Replica, machines};

impl Replica {
    /// Proposes a command, from any instance of the fleet.
    pub fn propose(&mut self, cx: CX![], part: Part, command: Vec<u8>, proposed: Ret<Proposed>) {
        let now = Instant::now();
        let bytes = machines::encode(part, command);
        if bytes.len() > MAX_COMMAND_BYTES {
            log::warn!("a command of {} bytes for part {part} is too large", bytes.len());
            ret!([proposed], Proposed::NotRun);
            return;
        }
        // The ledger's claimants propose anew by themselves, and take care of what may be late.
        let repeat = if part == Part::Ledger { Repeat::Never } else { Repeat::Allowed };
        let is_alone = self.settings.voters.is_empty();
        match self.leader(now) {
            None if self.is_voter() || is_alone => ret!([proposed], Proposed::NotRun),
            leader => {
                self.proposals.seek(now, bytes, repeat, proposed);
                leader.into_iter().for_each(|leader| self.send_waiting(cx, now, &leader));
                self.search(cx, now);
            }
        }
        self.update(cx);
    }

    /// Whether this instance receives the log, or may once it has read its folder.
    pub(super) fn is_voter(&self) -> bool {
        match &self.keeper {
            Some(keeper) => keeper.core().is_member(),
            None => self.storage.is_some(),
        }
    }

    /// The leader as far as known.
    pub(super) fn leader(&self, now: Instant) -> Option<Instance> {
        let found = match &self.keeper {
            Some(keeper) if self.is_voter() => keeper.core().leader_instance(now),
            _ => self.proposals.found(now),
        };
        found.cloned()
    }

    /// Sends what waits for a leader, which may be this instance.
    pub(super) fn send_waiting(&mut self, cx: CX![], now: Instant, leader: &Instance) {
        for ready in self.proposals.send_to(now, leader) {
            self.forward(cx, leader.clone(), ready);
        }
    }

    /// Sends proposals again that may have been lost with a leader.
    pub(super) fn resend(&mut self, cx: CX![], now: Instant) {
        match self.leader(now) {
            Some(leader) => self.send_waiting(cx, now, &leader),
            None => {
                self.search(cx, now);
                self.proposals.put_off(now);
            }
        }
    }

    pub(super) fn origin(&self, sequence: u64) -> Origin {
        let instance = self.settings.instance.clone();
        Origin { instance, incarnation: self.incarnation, sequence }
    }

    pub(super) fn forward(&mut self, cx: CX![], leader: Instance, ready: Ready) {
        let Ready { sequence, bytes } = ready;
        let origin = self.origin(sequence);
        if leader == self.settings.instance {
            self.step(cx, Instant::now(), Input::Propose { origin, bytes: bytes.into() });
        } else {
            self.send(cx, leader, &Message::Forward { origin, bytes });
        }
    }

    /// Asks the voters who leads, if proposals wait for that at an instance without a log.
    pub(super) fn search(&mut self, cx: CX![], now: Instant) {
        if !self.is_voter() && self.proposals.begins_search(now) {
            for voter in self.asked_voters() {
                self.send(cx, voter, &Message::Seek);
            }
        }
    }
}
