//! Proposals of this instance that wait for their outcome, and where they are sent.

use std::time::{Duration, Instant};

use names::Instance;
use stakker::{Ret, ret};
use state::Proposed;

/// How long a proposal may wait for its outcome.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a leader may take to say that it leads.
const SEEK_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two questions to the voters.
const SEARCH_PAUSE: Duration = Duration::from_millis(150);

/// For how long a leader that said so is taken to lead.
const FOUND_SPAN: Duration = Duration::from_millis(500);

/// How long a proposal may go without its outcome before it is sent again.
const RESEND_PAUSE: Duration = Duration::from_secs(1);

/// Whether a proposal is sent again to the next leader.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Repeat {
    /// It is, under the same number, so that it is applied once.
    Allowed,
    /// Whoever proposed it does that under another number.
    Never,
}

/// A proposal on its way.
struct Sending {
    bytes: Vec<u8>,
    leader: Instance,
    resend_at: Instant,
    /// Whether more than one copy was sent, so that no refusal of one is the outcome.
    is_repeated: bool,
}

/// How far a proposal has come.
enum Stage {
    /// No byte of it was sent.
    Seeking { bytes: Vec<u8> },
    /// The leader has it, or may have it.
    Sent(Sending),
}

struct Proposal {
    sequence: u64,
    stage: Stage,
    repeat: Repeat,
    deadline: Instant,
    proposed: Ret<Proposed>,
}

impl Proposal {
    /// When it is due to be sent again.
    fn resend_at(&self) -> Option<Instant> {
        match &self.stage {
            Stage::Sent(sending) if self.repeat == Repeat::Allowed => Some(sending.resend_at),
            _ => None,
        }
    }

    /// Whether it waits for a leader to be found.
    fn is_waiting(&self, now: Instant) -> bool {
        let is_overdue = self.resend_at().is_some_and(|resend_at| resend_at <= now);
        is_overdue || matches!(self.stage, Stage::Seeking { .. })
    }

    /// The proposal for `leader` if it has to be sent there, or sent again.
    fn send_to(&mut self, now: Instant, leader: &Instance) -> Option<Ready> {
        let resend_at = now + RESEND_PAUSE;
        let is_due = self.resend_at().is_some_and(|due| due <= now);
        let bytes = match &mut self.stage {
            Stage::Seeking { bytes } => {
                let bytes = std::mem::take(bytes);
                self.deadline = now + OUTCOME_TIMEOUT;
                let (leader, copy) = (leader.clone(), self.repeat.copy(&bytes));
                let sending = Sending { bytes: copy, leader, resend_at, is_repeated: false };
                self.stage = Stage::Sent(sending);
                bytes
            }
            Stage::Sent(sending) => {
                let is_other = self.repeat == Repeat::Allowed && sending.leader != *leader;
                if !is_due && !is_other {
                    return None;
                }
                sending.leader = leader.clone();
                sending.resend_at = resend_at;
                sending.is_repeated = true;
                sending.bytes.clone()
            }
        };
        Some(Ready { sequence: self.sequence, bytes })
    }
}

impl Repeat {
    /// What is kept of a proposal that was sent.
    fn copy(self, bytes: &[u8]) -> Vec<u8> {
        match self {
            Self::Allowed => bytes.to_vec(),
            Self::Never => Vec::new(),
        }
    }
}

/// A proposal to be sent to the leader.
pub(super) struct Ready {
    pub(super) sequence: u64,
    pub(super) bytes: Vec<u8>,
}

/// The proposals of this instance without an outcome.
#[derive(Default)]
pub(super) struct Proposals {
    list: Vec<Proposal>,
    sequence: u64,
    found: Option<(Instance, Instant)>,
    /// Voters that answered the present search without leading.
    others: Vec<Instance>,
    search_again_at: Option<Instant>,
    ended: Vec<&'static str>,
}

impl Proposals {
    /// Queues a proposal until a leader is known; gives its number.
    pub(super) fn seek(
        &mut self,
        now: Instant,
        bytes: Vec<u8>,
        repeat: Repeat,
        proposed: Ret<Proposed>,
    ) {
        self.sequence += 1;
        let (sequence, deadline) = (self.sequence, now + SEEK_TIMEOUT);
        let stage = Stage::Seeking { bytes };
        self.list.push(Proposal { sequence, stage, repeat, deadline, proposed });
    }

    /// The leader that said so a short time ago.
    pub(super) fn found(&self, now: Instant) -> Option<&Instance> {
        let (leader, until) = self.found.as_ref()?;
        (now < *until).then_some(leader)
    }

    /// Whether the voters have to be asked now who leads; they are asked again while proposals
    /// wait, since the question or its answer may be lost.
    pub(super) fn begins_search(&mut self, now: Instant) -> bool {
        let is_waiting = self.list.iter().any(|one| one.is_waiting(now));
        let is_due = is_waiting && self.search_again_at.is_none_or(|again_at| again_at <= now);
        if is_due {
            self.search_again_at = Some(now + SEARCH_PAUSE);
            self.others.clear();
        }
        is_due
    }

    /// Learns from an answer that `leader` leads; gives what waited for that.
    pub(super) fn learn_leader(&mut self, now: Instant, leader: &Instance) -> Vec<Ready> {
        self.found = Some((leader.clone(), now + FOUND_SPAN));
        self.send_to(now, leader)
    }

    /// What has to be sent to `leader`, or sent again.
    pub(super) fn send_to(&mut self, now: Instant, leader: &Instance) -> Vec<Ready> {
        self.list.iter_mut().filter_map(|proposal| proposal.send_to(now, leader)).collect()
    }

    /// Looks for a leader again a little later, for what is due to be sent again.
    pub(super) fn put_off(&mut self, now: Instant) {
        for proposal in &mut self.list {
            if let Stage::Sent(sending) = &mut proposal.stage {
                sending.resend_at = sending.resend_at.max(now + SEARCH_PAUSE);
            }
        }
    }

    /// Learns that a voter does not lead; the search ends when all `voters` said so.
    pub(super) fn learn_other(&mut self, voter: Instance, voters: usize) {
        if !self.others.contains(&voter) {
            self.others.push(voter);
        }
        if self.others.len() >= voters {
            self.give_up(|proposal| matches!(proposal.stage, Stage::Seeking { .. }));
        }
    }

    /// Gives a proposal its outcome.
    pub(super) fn finish(&mut self, sequence: u64, proposed: Proposed) {
        if proposed == Proposed::NotRun {
            self.found = None;
        }
        let Ok(index) = self.list.binary_search_by_key(&sequence, |one| one.sequence) else {
            return;
        };
        let stage = &self.list[index].stage;
        let is_repeated = matches!(stage, Stage::Sent(sending) if sending.is_repeated);
        if proposed == Proposed::NotRun && is_repeated {
            // The other copy may be committed.
            return;
        }
        let proposal = self.list.remove(index);
        self.end(proposal, proposed);
    }

    /// Ends the proposals whose time is over.
    pub(super) fn expire(&mut self, now: Instant) {
        self.give_up(|proposal| proposal.deadline <= now);
    }

    fn give_up<W>(&mut self, which: W)
    where
        W: Fn(&Proposal) -> bool,
    {
        let given_up: Vec<Proposal> =
            self.list.extract_if(.., |proposal| which(proposal)).collect();
        for proposal in given_up {
            let outcome = match proposal.stage {
                Stage::Seeking { .. } => Proposed::NotRun,
                Stage::Sent(_) => Proposed::Unknown,
            };
            self.found = None;
            self.end(proposal, outcome);
        }
    }

    fn end(&mut self, proposal: Proposal, outcome: Proposed) {
        self.ended.push(match outcome {
            Proposed::Applied { .. } => "applied",
            Proposed::NotRun => "not-run",
            Proposed::Unknown => "unknown",
        });
        ret!([proposal.proposed], outcome);
    }

    /// Names of the outcomes given since the last call, for metrics.
    pub(super) fn take_ended(&mut self) -> Vec<&'static str> {
        std::mem::take(&mut self.ended)
    }

    /// When [`Self::expire`] and [`Self::begins_search`] are due.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let is_waiting = self.list.iter().any(|one| matches!(one.stage, Stage::Seeking { .. }));
        let search = self.search_again_at.filter(|_| is_waiting);
        let resends = self.list.iter().filter_map(Proposal::resend_at);
        self.list.iter().map(|proposal| proposal.deadline).chain(search).chain(resends).min()
    }
}
