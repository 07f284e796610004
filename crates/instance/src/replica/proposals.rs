//! Proposals of this instance that wait for their outcome, and the leader they are sent to.

use std::time::{Duration, Instant};

use names::Instance;
use stakker::{Ret, ret};
use state::ProposalOutcome;

/// Maximum time that a sent proposal waits for its outcome.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time that a proposal waits until a leader is found.
const LEADER_SEARCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between two rounds of leader queries to the voters.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);

/// Time for which a leader is assumed to lead after its confirmation.
const LEADER_CACHE_DURATION: Duration = Duration::from_millis(500);

/// Time without an outcome after which a proposal is resent.
const RESEND_DELAY: Duration = Duration::from_secs(1);

/// Whether a proposal is resent to a new leader.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ResendPolicy {
    /// The proposal is resent under the same sequence number, so that it is applied only once.
    Allowed,
    /// The proposal is not resent. The proposer may propose again under another sequence number.
    Never,
}

/// State of a proposal that was sent to a leader.
struct SentProposal {
    bytes: Vec<u8>,
    leader: Instance,
    resend_at: Instant,
    /// Whether more than one copy was sent. A refusal of one copy is then not the outcome.
    was_resent: bool,
}

/// Stage of a proposal.
enum Stage {
    /// The proposal waits for a leader; nothing was sent.
    Queued { bytes: Vec<u8> },
    /// The proposal was sent, and a leader may have received it.
    Sent(SentProposal),
}

struct Proposal {
    sequence: u64,
    stage: Stage,
    resend_policy: ResendPolicy,
    deadline: Instant,
    proposed: Ret<ProposalOutcome>,
}

impl Proposal {
    /// Returns the time at which the proposal is resent, or `None` if it is not resent.
    fn resend_at(&self) -> Option<Instant> {
        match &self.stage {
            Stage::Sent(sent) if self.resend_policy == ResendPolicy::Allowed => {
                Some(sent.resend_at)
            }
            _ => None,
        }
    }

    /// Returns whether the proposal needs a leader now.
    fn is_waiting(&self, now: Instant) -> bool {
        let is_overdue = self.resend_at().is_some_and(|resend_at| resend_at <= now);
        is_overdue || matches!(self.stage, Stage::Queued { .. })
    }

    /// Returns the proposal if it has to be sent or resent to `leader`.
    fn send_to(&mut self, now: Instant, leader: &Instance) -> Option<ReadyProposal> {
        let resend_at = now + RESEND_DELAY;
        let is_due = self.resend_at().is_some_and(|due| due <= now);
        let bytes = match &mut self.stage {
            Stage::Queued { bytes } => {
                let bytes = std::mem::take(bytes);
                self.deadline = now + OUTCOME_TIMEOUT;
                let (leader, copy) = (leader.clone(), self.resend_policy.retained_bytes(&bytes));
                let sent = SentProposal { bytes: copy, leader, resend_at, was_resent: false };
                self.stage = Stage::Sent(sent);
                bytes
            }
            Stage::Sent(sent) => {
                let has_new_leader =
                    self.resend_policy == ResendPolicy::Allowed && sent.leader != *leader;
                if !is_due && !has_new_leader {
                    return None;
                }
                sent.leader = leader.clone();
                sent.resend_at = resend_at;
                sent.was_resent = true;
                sent.bytes.clone()
            }
        };
        Some(ReadyProposal { sequence: self.sequence, bytes })
    }
}

impl ResendPolicy {
    /// Returns the bytes that are retained of a sent proposal.
    fn retained_bytes(self, bytes: &[u8]) -> Vec<u8> {
        match self {
            Self::Allowed => bytes.to_vec(),
            Self::Never => Vec::new(),
        }
    }
}

/// A proposal to be sent to the leader.
pub(super) struct ReadyProposal {
    pub(super) sequence: u64,
    pub(super) bytes: Vec<u8>,
}

/// Proposals of this instance that have no outcome yet.
#[derive(Default)]
pub(super) struct Proposals {
    list: Vec<Proposal>,
    sequence: u64,
    known_leader: Option<(Instance, Instant)>,
    /// Voters that have responded to the current search that they do not lead.
    non_leaders: Vec<Instance>,
    next_search_at: Option<Instant>,
    ended: Vec<&'static str>,
}

impl Proposals {
    /// Queues a proposal until a leader is known.
    pub(super) fn enqueue(
        &mut self,
        now: Instant,
        bytes: Vec<u8>,
        resend_policy: ResendPolicy,
        proposed: Ret<ProposalOutcome>,
    ) {
        self.sequence += 1;
        let (sequence, deadline) = (self.sequence, now + LEADER_SEARCH_TIMEOUT);
        let stage = Stage::Queued { bytes };
        self.list.push(Proposal { sequence, stage, resend_policy, deadline, proposed });
    }

    /// Returns the leader, if its confirmation has not expired.
    pub(super) fn known_leader(&self, now: Instant) -> Option<&Instance> {
        let (leader, until) = self.known_leader.as_ref()?;
        (now < *until).then_some(leader)
    }

    /// Returns whether the voters have to be asked for the leader now, and starts a new search if
    /// so.
    ///
    /// The search repeats while proposals wait, because a query or its response may be lost.
    pub(super) fn try_begin_search(&mut self, now: Instant) -> bool {
        let is_waiting = self.list.iter().any(|proposal| proposal.is_waiting(now));
        let is_due = is_waiting && self.next_search_at.is_none_or(|retry_at| retry_at <= now);
        if is_due {
            self.next_search_at = Some(now + SEARCH_INTERVAL);
            self.non_leaders.clear();
        }
        is_due
    }

    /// Records that `leader` leads, and returns the proposals to send.
    pub(super) fn on_leader_found(
        &mut self,
        now: Instant,
        leader: &Instance,
    ) -> Vec<ReadyProposal> {
        self.known_leader = Some((leader.clone(), now + LEADER_CACHE_DURATION));
        self.send_to(now, leader)
    }

    /// Returns the proposals that have to be sent or resent to `leader`.
    pub(super) fn send_to(&mut self, now: Instant, leader: &Instance) -> Vec<ReadyProposal> {
        self.list.iter_mut().filter_map(|proposal| proposal.send_to(now, leader)).collect()
    }

    /// Defers due resends until the next search for a leader.
    pub(super) fn defer_resends(&mut self, now: Instant) {
        for proposal in &mut self.list {
            if let Stage::Sent(sent) = &mut proposal.stage {
                sent.resend_at = sent.resend_at.max(now + SEARCH_INTERVAL);
            }
        }
    }

    /// Records that a voter does not lead. The search fails once `voters` different voters have
    /// responded that they do not lead.
    pub(super) fn on_voter_not_leading(&mut self, voter: Instance, voters: usize) {
        if !self.non_leaders.contains(&voter) {
            self.non_leaders.push(voter);
        }
        if self.non_leaders.len() >= voters {
            self.abandon(|proposal| matches!(proposal.stage, Stage::Queued { .. }));
        }
    }

    /// Completes a proposal with its outcome.
    pub(super) fn finish(&mut self, sequence: u64, proposed: ProposalOutcome) {
        if proposed == ProposalOutcome::NotRun {
            self.known_leader = None;
        }
        let Ok(index) = self.list.binary_search_by_key(&sequence, |proposal| proposal.sequence)
        else {
            return;
        };
        let stage = &self.list[index].stage;
        let was_resent = matches!(stage, Stage::Sent(sent) if sent.was_resent);
        if proposed == ProposalOutcome::NotRun && was_resent {
            // The other copy may be committed.
            return;
        }
        let proposal = self.list.remove(index);
        self.end(proposal, proposed);
    }

    /// Ends the proposals whose deadline has passed.
    pub(super) fn expire(&mut self, now: Instant) {
        self.abandon(|proposal| proposal.deadline <= now);
    }

    fn abandon<F>(&mut self, is_abandoned: F)
    where
        F: Fn(&Proposal) -> bool,
    {
        let abandoned: Vec<Proposal> =
            self.list.extract_if(.., |proposal| is_abandoned(proposal)).collect();
        for proposal in abandoned {
            let outcome = match proposal.stage {
                Stage::Queued { .. } => ProposalOutcome::NotRun,
                Stage::Sent(_) => ProposalOutcome::Unknown,
            };
            self.known_leader = None;
            self.end(proposal, outcome);
        }
    }

    fn end(&mut self, proposal: Proposal, outcome: ProposalOutcome) {
        self.ended.push(match outcome {
            ProposalOutcome::Applied { .. } => "applied",
            ProposalOutcome::NotRun => "not-run",
            ProposalOutcome::Unknown => "unknown",
        });
        ret!([proposal.proposed], outcome);
    }

    /// Returns the metric labels of the outcomes since the last call.
    pub(super) fn take_ended(&mut self) -> Vec<&'static str> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the time at which the next expiry, search or resend is due.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let is_waiting =
            self.list.iter().any(|proposal| matches!(proposal.stage, Stage::Queued { .. }));
        let search = self.next_search_at.filter(|_| is_waiting);
        let resends = self.list.iter().filter_map(Proposal::resend_at);
        self.list.iter().map(|proposal| proposal.deadline).chain(search).chain(resends).min()
    }
}
