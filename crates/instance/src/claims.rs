//! The actor that claims idempotency keys in the replicated ledger.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ledger::{Answer, Claimant, Clock, Command, Digest, End, Ledger, Next, Refusal, Reply, Ticket};
use names::Attempt;
use stakker::{Actor, CX, Fwd, at, call, fwd_to, ret_some_to};
use state::{Index, Proposed};
use telemetry::{LedgerOutcome, Metrics};
use wire::Delivery;

use crate::replica::{Part, Replica};

/// Most keyed requests at once, those whose claims are being settled included.
const MAX_CLAIMANTS: usize = 8192;

/// Most keys that an instance remembers to have granted.
const MAX_RECENT: usize = 4096;

/// How long a proposal may take before it counts as lost.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// What a keyed request has to do.
pub(crate) enum Decision {
    /// Have an upstream run it.
    Run,
    /// Answer with what an earlier request with this key got.
    Replay(Answer),
    /// Refuse it.
    Refuse(Refusal),
    /// Answer with what the upstream said.
    Deliver,
}

impl Decision {
    fn outcome(&self) -> LedgerOutcome {
        match self {
            Self::Run => LedgerOutcome::Claimed,
            Self::Replay(_) => LedgerOutcome::Replayed,
            Self::Deliver => LedgerOutcome::Recorded,
            Self::Refuse(Refusal::NoQuorum) => LedgerOutcome::NoQuorum,
            Self::Refuse(Refusal::Full { .. }) => LedgerOutcome::Full,
            Self::Refuse(Refusal::Conflict) => LedgerOutcome::Conflict,
            Self::Refuse(Refusal::Unknown) => LedgerOutcome::Unknown,
            Self::Refuse(Refusal::StillRunning) => LedgerOutcome::StillRunning,
            Self::Refuse(Refusal::Withdrawn) => LedgerOutcome::Withdrawn,
        }
    }
}

/// A keyed request.
pub(crate) struct Keyed {
    pub(crate) ticket: Ticket,
    pub(crate) fence: Attempt,
    pub(crate) deadline: Instant,
    pub(crate) decided: Fwd<Decision>,
}

struct Entry {
    fence: Attempt,
    claimant: Claimant,
    decided: Fwd<Decision>,
    /// Number of its latest proposal.
    proposal: u32,
}

/// Claims keys before non-idempotent requests run, and records their results.
pub(crate) struct Claims {
    replica: Actor<Replica>,
    metrics: Arc<Metrics>,
    ledger: Rc<RefCell<Ledger>>,
    clock: Clock,
    entries: Vec<Entry>,
    /// Keys that requests of this instance may have used, the latest last.
    recent: VecDeque<Digest>,
    /// Who is told when nothing is left to settle.
    settled: Option<Fwd<()>>,
}

impl Claims {
    pub(crate) fn init(cx: CX![], replica: Actor<Replica>, metrics: Arc<Metrics>) -> Option<Self> {
        let ledger = Rc::new(RefCell::new(Ledger::default()));
        let applied = fwd_to!([cx], applied() as (Index));
        call!([replica], attach(Part::Ledger, ledger.clone(), applied));
        Some(Self {
            replica,
            metrics,
            ledger,
            clock: Clock::default(),
            entries: Vec::new(),
            recent: VecDeque::new(),
            settled: None,
        })
    }

    /// Tells `settled` once every claim has its settlement in the ledger.
    pub(crate) fn when_settled(&mut self, _: CX![], settled: Fwd<()>) {
        self.settled = Some(settled);
        self.check_settled();
    }

    fn check_settled(&mut self) {
        if self.entries.is_empty()
            && let Some(settled) = self.settled.take()
        {
            settled.fwd(());
        }
    }

    /// Takes a message of a peer.
    pub(crate) fn deliver(&mut self, _: CX![], delivery: Delivery) {
        log::debug!("ledger: message of instance {}", delivery.sender);
    }

    /// Claims the key of a request.
    pub(crate) fn claim(&mut self, cx: CX![], keyed: Keyed) {
        let Keyed { ticket, fence, deadline, decided } = keyed;
        if self.entries.len() >= MAX_CLAIMANTS {
            self.metrics.ledger.count(LedgerOutcome::NoQuorum);
            decided.fwd(Decision::Refuse(Refusal::NoQuorum));
            return;
        }
        let Err(index) = self.find(fence) else {
            return;
        };
        let mut claimant = Claimant::new(ticket, fence, cx.now(), deadline);
        let next = claimant.wake(cx.now(), &self.clock);
        self.entries.insert(index, Entry { fence, claimant, decided, proposal: 0 });
        at!(deadline, [cx], expire(fence));
        self.follow(cx, fence, next);
    }

    /// Takes the end of the upstream's part of a request.
    pub(crate) fn ended(&mut self, cx: CX![], fence: Attempt, end: End) {
        let now = cx.now();
        let is_not_run = end == End::NotRun;
        let Ok(index) = self.find(fence) else {
            return;
        };
        let claimant = &mut self.entries[index].claimant;
        let key = claimant.ticket().key;
        let next = claimant.ended(now, &self.clock, end);
        if is_not_run {
            self.recent.retain(|recent| *recent != key);
        }
        self.follow(cx, fence, next);
    }

    /// Gives up a request that no upstream has seen.
    pub(crate) fn withdraw(&mut self, cx: CX![], fence: Attempt) {
        let now = cx.now();
        if let Ok(index) = self.find(fence) {
            let next = self.entries[index].claimant.withdraw(now, &self.clock);
            self.follow(cx, fence, next);
        }
    }

    fn expire(&mut self, cx: CX![], fence: Attempt) {
        if let Ok(index) = self.find(fence) {
            let next = self.entries[index].claimant.expire();
            self.follow(cx, fence, next);
        }
    }

    fn applied(&mut self, cx: CX![], _: Index) {
        let time = self.ledger.borrow().time();
        self.clock.observe(cx.now(), time);
    }

    /// Takes the outcome of a proposal. One that came too late counts if it was applied.
    fn proposed(&mut self, cx: CX![], fence: Attempt, proposal: u32, proposed: Proposed) {
        let now = cx.now();
        let Ok(index) = self.find(fence) else {
            return;
        };
        let entry = &mut self.entries[index];
        let is_late = entry.proposal != proposal;
        if is_late && !matches!(proposed, Proposed::Applied { .. }) {
            return;
        }
        entry.proposal += 1;
        let next = entry.claimant.proposed(now, &mut self.clock, proposed);
        self.follow(cx, fence, next);
    }

    fn wake(&mut self, cx: CX![], fence: Attempt) {
        let now = cx.now();
        if let Ok(index) = self.find(fence) {
            let next = self.entries[index].claimant.wake(now, &self.clock);
            self.follow(cx, fence, next);
        }
    }

    fn find(&self, fence: Attempt) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.fence.cmp(&fence))
    }

    /// Does what a claimant says.
    fn follow(&mut self, cx: CX![], fence: Attempt, next: Next) {
        match next {
            Next::Propose(command) => self.propose(cx, fence, &command),
            Next::Wait(until) => {
                at!(until, [cx], wake(fence));
            }
            Next::Run => {
                self.remember(fence);
                self.decide(fence, Decision::Run);
            }
            Next::Replay(answer) => {
                self.decide(fence, Decision::Replay(answer));
                self.remove(fence);
            }
            Next::Refuse(refusal) => self.refuse(cx, fence, refusal),
            Next::Deliver => {
                self.decide(fence, Decision::Deliver);
                self.wake(cx, fence);
            }
            Next::Nothing => {}
            Next::Finished => self.remove(fence),
        }
    }

    fn propose(&mut self, cx: CX![], fence: Attempt, command: &Command) {
        let Ok(index) = self.find(fence) else {
            return;
        };
        self.entries[index].proposal += 1;
        let proposal = self.entries[index].proposal;
        let proposed = ret_some_to!([cx], proposed(fence, proposal) as (Proposed));
        call!([self.replica], propose(Part::Ledger, command.to_bytes(), proposed));
        at!(cx.now() + PROPOSAL_TIMEOUT, [cx], proposed(fence, proposal, Proposed::Unknown));
    }

    fn refuse(&mut self, cx: CX![], fence: Attempt, refusal: Refusal) {
        let Ok(index) = self.find(fence) else {
            return;
        };
        let decision = match refusal {
            Refusal::NoQuorum => self.decide_alone(self.entries[index].claimant.ticket()),
            refusal => Decision::Refuse(refusal),
        };
        self.decide(fence, decision);
        self.withdraw(cx, fence);
    }

    /// What a request gets that cannot be claimed: an answer that is known here, else the truth
    /// about earlier requests as far as it is known here.
    fn decide_alone(&self, ticket: &Ticket) -> Decision {
        match self.ledger.borrow().look_up(ticket) {
            Some(Reply::Answered(answer)) => Decision::Replay(answer),
            Some(Reply::Conflict) => Decision::Refuse(Refusal::Conflict),
            Some(_) => Decision::Refuse(Refusal::Unknown),
            None if self.recent.contains(&ticket.key) => Decision::Refuse(Refusal::Unknown),
            None => Decision::Refuse(Refusal::NoQuorum),
        }
    }

    /// Remembers that the key of `fence` may have been used.
    fn remember(&mut self, fence: Attempt) {
        let Ok(index) = self.find(fence) else {
            return;
        };
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(self.entries[index].claimant.ticket().key);
    }

    fn decide(&self, fence: Attempt, decision: Decision) {
        if let Ok(index) = self.find(fence) {
            self.metrics.ledger.count(decision.outcome());
            self.entries[index].decided.fwd(decision);
        }
    }

    fn remove(&mut self, fence: Attempt) {
        if let Ok(index) = self.find(fence) {
            self.entries.remove(index);
            self.check_settled();
        }
    }
}
