//! Forwarding of proposals to the leader, and resending to a new leader.

use std::time::Instant;

use names::Instance;
use stakker::{CX, Ret, ret};
use state::{Input, MAX_COMMAND_BYTES, ProposalId, ProposalOutcome};

use super::message::Message;
use super::proposals::{ReadyProposal, ResendPolicy};
use super::{Part, Replica, machines};

impl Replica {
    /// Proposes a command. Any instance of the fleet may propose.
    pub fn propose(
        &mut self,
        cx: CX![],
        part: Part,
        command: Vec<u8>,
        proposed: Ret<ProposalOutcome>,
    ) {
        let now = Instant::now();
        let bytes = machines::encode(part, command);
        if bytes.len() > MAX_COMMAND_BYTES {
            log::warn!(
                "a command of {} bytes for part {part} is too large; command not proposed",
                bytes.len()
            );
            ret!([proposed], ProposalOutcome::NotRun);
            return;
        }
        // Ledger claimants resend proposals themselves and handle outcomes that arrive late.
        let resend_policy =
            if part == Part::Ledger { ResendPolicy::Never } else { ResendPolicy::Allowed };
        let is_alone = self.settings.voters.is_empty();
        match self.leader(now) {
            None if self.may_receive_log() || is_alone => ret!([proposed], ProposalOutcome::NotRun),
            leader => {
                self.proposals.enqueue(now, bytes, resend_policy, proposed);
                leader.into_iter().for_each(|leader| self.send_waiting(cx, now, &leader));
                self.search_leader(cx, now);
            }
        }
        self.schedule_tick(cx);
    }

    /// Returns whether this instance receives the log, or may do so once its data folder is read.
    pub(super) fn may_receive_log(&self) -> bool {
        match &self.node {
            Some(node) => node.core().is_member(),
            None => self.storage.is_some(),
        }
    }

    /// Returns the leader, if one is known.
    pub(super) fn leader(&self, now: Instant) -> Option<Instance> {
        let found = match &self.node {
            Some(node) if self.may_receive_log() => node.core().leader_instance(now),
            _ => self.proposals.known_leader(now),
        };
        found.cloned()
    }

    /// Sends the waiting proposals to `leader`, which may be this instance.
    pub(super) fn send_waiting(&mut self, cx: CX![], now: Instant, leader: &Instance) {
        for ready in self.proposals.send_to(now, leader) {
            self.forward(cx, leader.clone(), ready);
        }
    }

    /// Resends proposals that may have been lost with a previous leader.
    pub(super) fn resend(&mut self, cx: CX![], now: Instant) {
        match self.leader(now) {
            Some(leader) => self.send_waiting(cx, now, &leader),
            None => {
                self.search_leader(cx, now);
                self.proposals.defer_resends(now);
            }
        }
    }

    pub(super) fn origin(&self, sequence: u64) -> ProposalId {
        let instance = self.settings.instance.clone();
        ProposalId { instance, incarnation: self.incarnation, sequence }
    }

    pub(super) fn forward(&mut self, cx: CX![], leader: Instance, ready: ReadyProposal) {
        let ReadyProposal { sequence, bytes } = ready;
        let origin = self.origin(sequence);
        if leader == self.settings.instance {
            self.step(cx, Instant::now(), Input::Propose { origin, bytes: bytes.into() });
        } else {
            self.send(cx, leader, &Message::Forward { origin, bytes });
        }
    }

    /// Asks the voters for the leader if proposals wait for one at an instance without a log.
    pub(super) fn search_leader(&mut self, cx: CX![], now: Instant) {
        if !self.may_receive_log() && self.proposals.try_begin_search(now) {
            for voter in self.search_targets() {
                self.send(cx, voter, &Message::FindLeader);
            }
        }
    }
}
