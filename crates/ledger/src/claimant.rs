//! State machine of one request with an idempotency key, from its claim to its settlement.

use std::time::{Duration, Instant};

use names::Attempt;
use state::ProposalOutcome;

use crate::{
    AttemptOutcome, Claim, Clock, Command, CommandOutcome, Reply, RequestIdentity, Settlement,
    StoredResponse,
};

/// Time beyond the request's deadline for which its claim stays valid.
const CLAIM_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Time during which a claim is proposed again while its proposals have no known outcome.
const CLAIM_RETRY_WINDOW: Duration = Duration::from_secs(2);

/// Maximum time that a response is withheld from the caller until it is recorded.
const SETTLEMENT_WAIT: Duration = Duration::from_millis(500);

/// Initial delay between two proposals.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum delay between two proposals.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Reason why a request is not forwarded to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The quorum is unreachable; the request did not run.
    NoQuorum,
    /// The ledger, or the share of the account, is full; the request did not run.
    Full {
        /// Time until the next record expires.
        retry_after: Duration,
    },
    /// The key was used for another request; this one did not run.
    Conflict,
    /// An earlier request with the key may have run.
    Unknown,
    /// An earlier request with the key is still running.
    StillRunning,
    /// The attempt was already withdrawn; the request did not run.
    Withdrawn,
}

/// Result of forwarding a request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// The upstream responded.
    Answered(StoredResponse),
    /// The request may have run.
    MayHaveRun,
    /// The request did not run.
    NotRun,
}

/// Next action that the owner of a [`Claimant`] must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimantAction {
    /// Propose this command and pass the outcome to [`Claimant::handle_proposal_outcome`].
    Propose(Command),
    /// Call [`Claimant::poll`] at this time.
    Wait(Instant),
    /// Forward the request to an upstream.
    Run,
    /// Send the caller the response to an earlier request with this key.
    Replay(StoredResponse),
    /// Refuse the request.
    Refuse(Refusal),
    /// Send the caller the upstream's response. The response is recorded unless the quorum is
    /// unreachable.
    Deliver,
    /// Do nothing for now.
    Nothing,
    /// Drop the claimant; its work is complete.
    Finished,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// A claim has been proposed or is about to be proposed.
    Claiming {
        since: Instant,
    },
    /// The upstream has the request.
    Running,
    /// The settlement has been proposed or is about to be proposed. If `deliver_by` is set, the
    /// caller is sent the response at that time at the latest.
    Settling {
        deliver_by: Option<Instant>,
    },
    Finished,
}

/// Claims the key of one request and settles the claim.
#[derive(Debug, Clone)]
pub struct Claimant {
    identity: RequestIdentity,
    fence: Attempt,
    deadline: Instant,
    phase: Phase,
    backoff: Duration,
    /// Whether a claim without a known outcome may still be committed.
    may_be_committed: bool,
    /// Whether the last reply reported another running attempt.
    other_attempt_running: bool,
    attempt_outcome: Option<AttemptOutcome>,
}

impl Claimant {
    /// Creates the claimant of a request whose response is due by `deadline`.
    pub fn new(identity: RequestIdentity, fence: Attempt, now: Instant, deadline: Instant) -> Self {
        Self {
            identity,
            fence,
            deadline,
            phase: Phase::Claiming { since: now },
            backoff: INITIAL_BACKOFF,
            may_be_committed: false,
            other_attempt_running: false,
            attempt_outcome: None,
        }
    }

    /// Starts the claim, or continues after [`ClaimantAction::Wait`].
    pub fn poll(&mut self, now: Instant, clock: &Clock) -> ClaimantAction {
        match self.phase {
            Phase::Claiming { .. } if now >= self.deadline => self.abandon(),
            Phase::Claiming { .. } => ClaimantAction::Propose(self.claim_command(now, clock)),
            Phase::Settling { .. } if now >= self.deadline + CLAIM_TIMEOUT_MARGIN => self.finish(),
            Phase::Settling { .. } => ClaimantAction::Propose(self.settlement_command(now, clock)),
            Phase::Running => ClaimantAction::Nothing,
            Phase::Finished => ClaimantAction::Finished,
        }
    }

    /// Handles the outcome of the latest proposal.
    pub fn handle_proposal_outcome(
        &mut self,
        now: Instant,
        clock: &mut Clock,
        proposed: ProposalOutcome,
    ) -> ClaimantAction {
        match self.phase {
            Phase::Claiming { since } => match proposed {
                ProposalOutcome::Applied { outcome, .. } => {
                    self.handle_claim_outcome(now, clock, &outcome)
                }
                ProposalOutcome::NotRun => self.abandon(),
                ProposalOutcome::Unknown => {
                    self.may_be_committed = true;
                    if now >= self.deadline.min(since + CLAIM_RETRY_WINDOW) {
                        self.abandon()
                    } else {
                        ClaimantAction::Propose(self.claim_command(now, clock))
                    }
                }
            },
            Phase::Settling { deliver_by } => match proposed {
                ProposalOutcome::Applied { outcome, .. } => {
                    self.handle_settlement_outcome(now, clock, &outcome, deliver_by)
                }
                _ => self.retry_settlement(now, deliver_by),
            },
            Phase::Running => ClaimantAction::Nothing,
            Phase::Finished => ClaimantAction::Finished,
        }
    }

    /// Abandons a claim that was not decided by the request's deadline, even if a proposal is in
    /// flight.
    pub fn expire(&mut self) -> ClaimantAction {
        match self.phase {
            Phase::Claiming { .. } => {
                self.may_be_committed = true;
                self.abandon()
            }
            Phase::Settling { deliver_by: Some(_) } => {
                self.phase = Phase::Settling { deliver_by: None };
                ClaimantAction::Deliver
            }
            _ => ClaimantAction::Nothing,
        }
    }

    /// Returns the identity of the request, with the key that is claimed.
    pub fn identity(&self) -> &RequestIdentity {
        &self.identity
    }

    /// Handles the result from the upstream. After [`UpstreamOutcome::MayHaveRun`] and
    /// [`UpstreamOutcome::NotRun`] the caller must be sent an error immediately; the claim is
    /// settled in the background.
    pub fn handle_upstream_outcome(
        &mut self,
        now: Instant,
        clock: &Clock,
        outcome: UpstreamOutcome,
    ) -> ClaimantAction {
        if self.phase != Phase::Running {
            return ClaimantAction::Nothing;
        }
        let (attempt_outcome, deliver_by) = match outcome {
            UpstreamOutcome::Answered(answer) => {
                (AttemptOutcome::Answered(answer), Some(now + SETTLEMENT_WAIT))
            }
            UpstreamOutcome::MayHaveRun => (AttemptOutcome::Unknown, None),
            UpstreamOutcome::NotRun => (AttemptOutcome::NotRun, None),
        };
        self.settle(now, clock, attempt_outcome, deliver_by)
    }

    /// Returns whether the claim is settled or needs no settlement.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished && !self.may_be_committed
    }

    /// Abandons a request that was not and will not be forwarded to an upstream, after
    /// [`ClaimantAction::Refuse`] or because the caller disconnected. A claim that may be committed
    /// is withdrawn.
    pub fn withdraw(&mut self, now: Instant, clock: &Clock) -> ClaimantAction {
        match self.phase {
            Phase::Claiming { .. } | Phase::Running => {
                self.settle(now, clock, AttemptOutcome::NotRun, None)
            }
            Phase::Finished if self.may_be_committed => {
                self.may_be_committed = false;
                self.settle(now, clock, AttemptOutcome::NotRun, None)
            }
            _ => ClaimantAction::Finished,
        }
    }

    /// Refuses a request whose claim has no decision.
    fn abandon(&mut self) -> ClaimantAction {
        let refusal =
            if self.other_attempt_running { Refusal::StillRunning } else { Refusal::NoQuorum };
        self.refuse(refusal)
    }

    fn refuse(&mut self, refusal: Refusal) -> ClaimantAction {
        self.phase = Phase::Finished;
        ClaimantAction::Refuse(refusal)
    }

    fn finish(&mut self) -> ClaimantAction {
        self.phase = Phase::Finished;
        ClaimantAction::Finished
    }

    fn handle_claim_outcome(
        &mut self,
        now: Instant,
        clock: &mut Clock,
        outcome: &[u8],
    ) -> ClaimantAction {
        let Some(outcome) = CommandOutcome::from_bytes(outcome) else {
            return self.refuse(Refusal::NoQuorum);
        };
        clock.observe(now, outcome.time);
        self.other_attempt_running = matches!(outcome.reply, Reply::Running { .. });
        match outcome.reply {
            Reply::Granted if now >= self.deadline => {
                self.may_be_committed = true;
                self.refuse(Refusal::NoQuorum)
            }
            Reply::Granted => {
                self.may_be_committed = false;
                self.phase = Phase::Running;
                ClaimantAction::Run
            }
            Reply::Answered(answer) => {
                self.phase = Phase::Finished;
                ClaimantAction::Replay(answer)
            }
            Reply::Running { remaining } => {
                let wait = self.next_backoff().min(remaining.max(INITIAL_BACKOFF));
                ClaimantAction::Wait((now + wait).min(self.deadline))
            }
            Reply::Unknown => self.refuse(Refusal::Unknown),
            Reply::Conflict => self.refuse(Refusal::Conflict),
            Reply::Full { retry_after } => self.refuse(Refusal::Full { retry_after }),
            Reply::Withdrawn => self.refuse(Refusal::Withdrawn),
            Reply::Late if now >= self.deadline => self.refuse(Refusal::NoQuorum),
            Reply::Late => ClaimantAction::Propose(self.claim_command(now, clock)),
            Reply::Settled | Reply::NotClaimed | Reply::Invalid => self.refuse(Refusal::NoQuorum),
        }
    }

    fn settle(
        &mut self,
        now: Instant,
        clock: &Clock,
        attempt_outcome: AttemptOutcome,
        deliver_by: Option<Instant>,
    ) -> ClaimantAction {
        self.attempt_outcome = Some(attempt_outcome);
        self.backoff = INITIAL_BACKOFF;
        self.phase = Phase::Settling { deliver_by };
        ClaimantAction::Propose(self.settlement_command(now, clock))
    }

    fn handle_settlement_outcome(
        &mut self,
        now: Instant,
        clock: &mut Clock,
        outcome: &[u8],
        deliver_by: Option<Instant>,
    ) -> ClaimantAction {
        let outcome = CommandOutcome::from_bytes(outcome);
        if let Some(outcome) = &outcome {
            clock.observe(now, outcome.time);
        }
        match outcome.map(|outcome| outcome.reply) {
            Some(Reply::Settled | Reply::NotClaimed) => {
                self.phase = Phase::Finished;
                if deliver_by.is_some() {
                    ClaimantAction::Deliver
                } else {
                    ClaimantAction::Finished
                }
            }
            _ => self.retry_settlement(now, deliver_by),
        }
    }

    /// Waits before the next proposal. If `deliver_by` has passed, the caller is sent the response
    /// first.
    fn retry_settlement(&mut self, now: Instant, deliver_by: Option<Instant>) -> ClaimantAction {
        if deliver_by.is_some_and(|deliver_by| now >= deliver_by) {
            self.phase = Phase::Settling { deliver_by: None };
            return ClaimantAction::Deliver;
        }
        let wait = self.next_backoff();
        ClaimantAction::Wait(deliver_by.map_or(now + wait, |deliver_by| deliver_by.min(now + wait)))
    }

    fn next_backoff(&mut self) -> Duration {
        let backoff = self.backoff;
        self.backoff = (backoff * 2).min(MAX_BACKOFF);
        backoff
    }

    fn claim_command(&self, now: Instant, clock: &Clock) -> Command {
        Command::Claim(Claim {
            identity: self.identity.clone(),
            fence: self.fence,
            now: clock.time(now),
            timeout: self.deadline.saturating_duration_since(now) + CLAIM_TIMEOUT_MARGIN,
        })
    }

    fn settlement_command(&self, now: Instant, clock: &Clock) -> Command {
        Command::Settle(Settlement {
            key: self.identity.key,
            fence: self.fence,
            now: clock.time(now),
            attempt_outcome: self.attempt_outcome.clone().unwrap_or(AttemptOutcome::Unknown),
        })
    }
}
