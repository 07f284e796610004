//! One request with an idempotency key, from its claim to its settlement.

use std::time::{Duration, Instant};

use names::Attempt;
use state::Proposed;

use crate::{Answer, Claim, Clock, Command, Ending, Outcome, Reply, Settlement, Ticket};

/// How much longer than its deadline a request's claim is held.
const HOLD_MARGIN: Duration = Duration::from_secs(1);

/// How long a claim whose proposals get lost is proposed anew.
const CLAIM_PATIENCE: Duration = Duration::from_secs(2);

/// How long the caller waits for its answer to be recorded.
const SETTLE_PATIENCE: Duration = Duration::from_millis(500);

/// First wait between two proposals.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// Longest wait between two proposals.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Why a request is not passed on to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The quorum is out of reach; the request did not run.
    NoQuorum,
    /// The ledger is full for this long; the request did not run.
    Full {
        /// Until a record expires.
        left: Duration,
    },
    /// The key was used for another request; this one did not run.
    Conflict,
    /// An earlier request with the key may have run.
    Unknown,
    /// An earlier request with the key is still running.
    StillRunning,
    /// The attempt was given up before; the request did not run.
    Withdrawn,
}

/// How the upstream's part ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The upstream answered.
    Answered(Answer),
    /// It may have run.
    MayHaveRun,
    /// It did not run.
    NotRun,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Propose this command, and give the outcome back.
    Propose(Command),
    /// Call [`Claimant::wake`] then.
    Wait(Instant),
    /// Have an upstream run the request.
    Run,
    /// Give the caller the answer of an earlier request with this key.
    Replay(Answer),
    /// Refuse the request.
    Refuse(Refusal),
    /// Give the caller the upstream's answer; it is recorded unless the quorum is out of reach.
    Deliver,
    /// Nothing is to be done now.
    Nothing,
    /// Nothing is left to do.
    Finished,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// A claim is proposed or about to be.
    Claiming {
        since: Instant,
    },
    /// The upstream has the request.
    Running,
    /// The ending is proposed or about to be. The caller gets its answer by the deadline.
    Settling {
        deliver_by: Option<Instant>,
    },
    Finished,
}

/// Claims the key of one request and settles the claim.
#[derive(Debug, Clone)]
pub struct Claimant {
    ticket: Ticket,
    fence: Attempt,
    deadline: Instant,
    phase: Phase,
    backoff: Duration,
    /// Whether a lost claim may yet be committed.
    is_uncertain: bool,
    /// Whether another attempt was seen running.
    has_rival: bool,
    ending: Option<Ending>,
}

impl Claimant {
    /// The claimant of a request that must be answered by `deadline`.
    pub fn new(ticket: Ticket, fence: Attempt, now: Instant, deadline: Instant) -> Self {
        Self {
            ticket,
            fence,
            deadline,
            phase: Phase::Claiming { since: now },
            backoff: FIRST_BACKOFF,
            is_uncertain: false,
            has_rival: false,
            ending: None,
        }
    }

    /// Starts, or goes on after [`Next::Wait`].
    pub fn wake(&mut self, now: Instant, clock: &Clock) -> Next {
        match self.phase {
            Phase::Claiming { .. } if now >= self.deadline => self.give_up(),
            Phase::Claiming { .. } => Next::Propose(self.claim(now, clock)),
            Phase::Settling { .. } if now >= self.deadline + HOLD_MARGIN => self.finish(),
            Phase::Settling { .. } => Next::Propose(self.settlement(now, clock)),
            Phase::Running => Next::Nothing,
            Phase::Finished => Next::Finished,
        }
    }

    /// Takes the outcome of the latest proposal.
    pub fn proposed(&mut self, now: Instant, clock: &mut Clock, proposed: Proposed) -> Next {
        match self.phase {
            Phase::Claiming { since } => match proposed {
                Proposed::Applied { outcome, .. } => self.claimed(now, clock, &outcome),
                Proposed::NotRun => self.give_up(),
                Proposed::Unknown => {
                    self.is_uncertain = true;
                    if now >= self.deadline.min(since + CLAIM_PATIENCE) {
                        self.give_up()
                    } else {
                        Next::Propose(self.claim(now, clock))
                    }
                }
            },
            Phase::Settling { deliver_by } => match proposed {
                Proposed::Applied { outcome, .. } => self.settled(now, clock, &outcome, deliver_by),
                _ => self.retry_settlement(now, deliver_by),
            },
            Phase::Running => Next::Nothing,
            Phase::Finished => Next::Finished,
        }
    }

    /// Gives up a claim that was not decided by the request's deadline, also while a proposal is
    /// on its way.
    pub fn expire(&mut self) -> Next {
        match self.phase {
            Phase::Claiming { .. } => {
                self.is_uncertain = true;
                self.give_up()
            }
            Phase::Settling { deliver_by: Some(_) } => {
                self.phase = Phase::Settling { deliver_by: None };
                Next::Deliver
            }
            _ => Next::Nothing,
        }
    }

    /// What is claimed.
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    /// Takes the end of the upstream's part. After [`End::MayHaveRun`] and [`End::NotRun`] the
    /// caller is to be told at once; the claim is settled behind its back.
    pub fn ended(&mut self, now: Instant, clock: &Clock, end: End) -> Next {
        if self.phase != Phase::Running {
            return Next::Nothing;
        }
        let (ending, deliver_by) = match end {
            End::Answered(answer) => (Ending::Answered(answer), Some(now + SETTLE_PATIENCE)),
            End::MayHaveRun => (Ending::Unknown, None),
            End::NotRun => (Ending::NotRun, None),
        };
        self.settle(now, clock, ending, deliver_by)
    }

    /// Whether the claim is settled, or needs no settlement.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished && !self.is_uncertain
    }

    /// Gives up a request that was not and will not be passed on to an upstream, after
    /// [`Next::Refuse`] or because the caller went away. A claim that may be committed is
    /// withdrawn.
    pub fn withdraw(&mut self, now: Instant, clock: &Clock) -> Next {
        match self.phase {
            Phase::Claiming { .. } | Phase::Running => {
                self.settle(now, clock, Ending::NotRun, None)
            }
            Phase::Finished if self.is_uncertain => {
                self.is_uncertain = false;
                self.settle(now, clock, Ending::NotRun, None)
            }
            _ => Next::Finished,
        }
    }

    /// Refuses a request whose claim was not decided.
    fn give_up(&mut self) -> Next {
        let refusal = if self.has_rival { Refusal::StillRunning } else { Refusal::NoQuorum };
        self.refuse(refusal)
    }

    fn refuse(&mut self, refusal: Refusal) -> Next {
        self.phase = Phase::Finished;
        Next::Refuse(refusal)
    }

    fn finish(&mut self) -> Next {
        self.phase = Phase::Finished;
        Next::Finished
    }

    fn claimed(&mut self, now: Instant, clock: &mut Clock, outcome: &[u8]) -> Next {
        let Some(outcome) = Outcome::from_bytes(outcome) else {
            return self.refuse(Refusal::NoQuorum);
        };
        clock.observe(now, outcome.time);
        self.has_rival = matches!(outcome.reply, Reply::Running { .. });
        match outcome.reply {
            Reply::Granted if now >= self.deadline => {
                self.is_uncertain = true;
                self.refuse(Refusal::NoQuorum)
            }
            Reply::Granted => {
                self.is_uncertain = false;
                self.phase = Phase::Running;
                Next::Run
            }
            Reply::Answered(answer) => {
                self.phase = Phase::Finished;
                Next::Replay(answer)
            }
            Reply::Running { left } => {
                let wait = self.next_backoff().min(left.max(FIRST_BACKOFF));
                Next::Wait((now + wait).min(self.deadline))
            }
            Reply::Unknown => self.refuse(Refusal::Unknown),
            Reply::Conflict => self.refuse(Refusal::Conflict),
            Reply::Full { left } => self.refuse(Refusal::Full { left }),
            Reply::Withdrawn => self.refuse(Refusal::Withdrawn),
            Reply::Late if now >= self.deadline => self.refuse(Refusal::NoQuorum),
            Reply::Late => Next::Propose(self.claim(now, clock)),
            Reply::Settled | Reply::NotClaimed | Reply::Invalid => self.refuse(Refusal::NoQuorum),
        }
    }

    fn settle(
        &mut self,
        now: Instant,
        clock: &Clock,
        ending: Ending,
        deliver_by: Option<Instant>,
    ) -> Next {
        self.ending = Some(ending);
        self.backoff = FIRST_BACKOFF;
        self.phase = Phase::Settling { deliver_by };
        Next::Propose(self.settlement(now, clock))
    }

    fn settled(
        &mut self,
        now: Instant,
        clock: &mut Clock,
        outcome: &[u8],
        deliver_by: Option<Instant>,
    ) -> Next {
        let outcome = Outcome::from_bytes(outcome);
        if let Some(outcome) = &outcome {
            clock.observe(now, outcome.time);
        }
        match outcome.map(|outcome| outcome.reply) {
            Some(Reply::Settled | Reply::NotClaimed) => {
                self.phase = Phase::Finished;
                if deliver_by.is_some() { Next::Deliver } else { Next::Finished }
            }
            _ => self.retry_settlement(now, deliver_by),
        }
    }

    /// Waits before the next proposal; the caller whose patience has ended is answered first.
    fn retry_settlement(&mut self, now: Instant, deliver_by: Option<Instant>) -> Next {
        if deliver_by.is_some_and(|deliver_by| now >= deliver_by) {
            self.phase = Phase::Settling { deliver_by: None };
            return Next::Deliver;
        }
        let wait = self.next_backoff();
        Next::Wait(deliver_by.map_or(now + wait, |deliver_by| deliver_by.min(now + wait)))
    }

    fn next_backoff(&mut self) -> Duration {
        let backoff = self.backoff;
        self.backoff = (backoff * 2).min(MAX_BACKOFF);
        backoff
    }

    fn claim(&self, now: Instant, clock: &Clock) -> Command {
        Command::Claim(Claim {
            ticket: self.ticket.clone(),
            fence: self.fence,
            now: clock.time(now),
            hold: self.deadline.saturating_duration_since(now) + HOLD_MARGIN,
        })
    }

    fn settlement(&self, now: Instant, clock: &Clock) -> Command {
        Command::Settle(Settlement {
            key: self.ticket.key,
            fence: self.fence,
            now: clock.time(now),
            ending: self.ending.clone().unwrap_or(Ending::Unknown),
        })
    }
}
