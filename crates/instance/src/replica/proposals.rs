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

/// How far a proposal has come.
enum Stage {
    /// No byte of it was sent.
    Seeking { bytes: Vec<u8> },
    /// The leader has it, or may have it.
    Sent,
}

struct Proposal {
    sequence: u64,
    stage: Stage,
    deadline: Instant,
    proposed: Ret<Proposed>,
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
    pub(super) fn seek(&mut self, now: Instant, bytes: Vec<u8>, proposed: Ret<Proposed>) -> u64 {
        let stage = Stage::Seeking { bytes };
        self.push(stage, now + SEEK_TIMEOUT, proposed)
    }

    /// Records a proposal that is being sent; gives its number.
    pub(super) fn sent(&mut self, now: Instant, proposed: Ret<Proposed>) -> u64 {
        self.push(Stage::Sent, now + OUTCOME_TIMEOUT, proposed)
    }

    fn push(&mut self, stage: Stage, deadline: Instant, proposed: Ret<Proposed>) -> u64 {
        self.sequence += 1;
        self.list.push(Proposal { sequence: self.sequence, stage, deadline, proposed });
        self.sequence
    }

    /// The leader that said so a short time ago.
    pub(super) fn found(&self, now: Instant) -> Option<&Instance> {
        let (leader, until) = self.found.as_ref()?;
        (now < *until).then_some(leader)
    }

    /// Whether the voters have to be asked now who leads; they are asked again while proposals
    /// wait, since the question or its answer may be lost.
    pub(super) fn begins_search(&mut self, now: Instant) -> bool {
        let is_waiting = self.list.iter().any(|one| matches!(one.stage, Stage::Seeking { .. }));
        let is_due = is_waiting && self.search_again_at.is_none_or(|again_at| again_at <= now);
        if is_due {
            self.search_again_at = Some(now + SEARCH_PAUSE);
            self.others.clear();
        }
        is_due
    }

    /// Learns that `leader` leads; gives what waited for that.
    pub(super) fn learn_leader(&mut self, now: Instant, leader: Instance) -> Vec<Ready> {
        self.found = Some((leader, now + FOUND_SPAN));
        let mut ready = Vec::new();
        for proposal in &mut self.list {
            if let Stage::Seeking { bytes } = &mut proposal.stage {
                let bytes = std::mem::take(bytes);
                ready.push(Ready { sequence: proposal.sequence, bytes });
                proposal.stage = Stage::Sent;
                proposal.deadline = now + OUTCOME_TIMEOUT;
            }
        }
        ready
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
        if let Ok(index) = self.list.binary_search_by_key(&sequence, |one| one.sequence) {
            let proposal = self.list.remove(index);
            self.end(proposal, proposed);
        }
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
                Stage::Sent => Proposed::Unknown,
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
        self.list.iter().map(|proposal| proposal.deadline).chain(search).min()
    }
}
