//! Actor that claims idempotency keys in the replicated ledger.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ledger::{
    Claimant, ClaimantAction, Clock, Command, Digest, Ledger, Refusal, Reply, RequestIdentity,
    StoredResponse, UpstreamOutcome,
};
use names::Attempt;
use stakker::{Actor, CX, Fwd, at, call, fwd_to, ret_some_to};
use state::{Index, ProposalOutcome};
use telemetry::{LedgerOutcome, Metrics};
use wire::Delivery;

use crate::replica::{Part, Replica};

/// Maximum number of concurrent claims, including claims whose outcome is still being recorded.
const MAX_ACTIVE_CLAIMS: usize = 8192;

/// Maximum number of recently granted keys that the instance remembers.
const MAX_RECENT_KEYS: usize = 4096;

/// Time after which a proposal without an outcome counts as lost.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Decision on a request with an idempotency key.
pub(crate) enum Decision {
    /// Forward the request to an upstream.
    Run,
    /// Reply with the stored response of an earlier request with the same key.
    Replay(StoredResponse),
    /// Refuse the request.
    Refuse(Refusal),
    /// Reply with the upstream's response, which the ledger has recorded.
    Deliver,
}

impl Decision {
    fn ledger_outcome(&self) -> LedgerOutcome {
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

/// A request to claim an idempotency key.
pub(crate) struct ClaimRequest {
    pub(crate) identity: RequestIdentity,
    pub(crate) fence: Attempt,
    pub(crate) deadline: Instant,
    pub(crate) decision_listener: Fwd<Decision>,
}

struct ActiveClaim {
    fence: Attempt,
    claimant: Claimant,
    decision_listener: Fwd<Decision>,
    /// Number of the latest proposal for this claim.
    latest_proposal: u32,
}

/// Claims the keys of non-idempotent requests before the requests run, and records their outcomes.
pub(crate) struct Claims {
    replica: Actor<Replica>,
    metrics: Arc<Metrics>,
    ledger: Rc<RefCell<Ledger>>,
    clock: Clock,
    active_claims: Vec<ActiveClaim>,
    /// Keys that requests through this instance may have used, oldest first.
    recent_keys: VecDeque<Digest>,
    /// Notified when the outcomes of all claims are recorded.
    settled_listener: Option<Fwd<()>>,
}

impl Claims {
    pub(crate) fn init(cx: CX![], replica: Actor<Replica>, metrics: Arc<Metrics>) -> Option<Self> {
        let ledger = Rc::new(RefCell::new(Ledger::default()));
        let applied = fwd_to!([cx], on_log_applied() as (Index));
        call!([replica], attach(Part::Ledger, ledger.clone(), applied));
        Some(Self {
            replica,
            metrics,
            ledger,
            clock: Clock::default(),
            active_claims: Vec::new(),
            recent_keys: VecDeque::new(),
            settled_listener: None,
        })
    }

    /// Notifies `settled` once the outcomes of all claims are recorded in the ledger.
    pub(crate) fn when_settled(&mut self, _: CX![], settled: Fwd<()>) {
        self.settled_listener = Some(settled);
        self.check_settled();
    }

    fn check_settled(&mut self) {
        if self.active_claims.is_empty()
            && let Some(settled) = self.settled_listener.take()
        {
            settled.fwd(());
        }
    }

    /// Drops a message from a peer; the ledger expects none.
    pub(crate) fn deliver(&mut self, _: CX![], delivery: Delivery) {
        log::debug!("unexpected ledger message from instance {}; message dropped", delivery.sender);
    }

    /// Claims the key of a request.
    pub(crate) fn claim(&mut self, cx: CX![], request: ClaimRequest) {
        let ClaimRequest { identity, fence, deadline, decision_listener } = request;
        if self.active_claims.len() >= MAX_ACTIVE_CLAIMS {
            self.metrics.ledger.count(LedgerOutcome::NoQuorum);
            decision_listener.fwd(Decision::Refuse(Refusal::NoQuorum));
            return;
        }
        let Err(index) = self.find(fence) else {
            return;
        };
        let mut claimant = Claimant::new(identity, fence, cx.now(), deadline);
        let action = claimant.poll(cx.now(), &self.clock);
        self.active_claims
            .insert(index, ActiveClaim { fence, claimant, decision_listener, latest_proposal: 0 });
        at!(deadline, [cx], expire(fence));
        self.perform(cx, fence, action);
    }

    /// Handles the outcome of a request at its upstream.
    pub(crate) fn upstream_ended(&mut self, cx: CX![], fence: Attempt, outcome: UpstreamOutcome) {
        let now = cx.now();
        let is_not_run = outcome == UpstreamOutcome::NotRun;
        let Ok(index) = self.find(fence) else {
            return;
        };
        let claimant = &mut self.active_claims[index].claimant;
        let key = claimant.identity().key;
        let action = claimant.handle_upstream_outcome(now, &self.clock, outcome);
        if is_not_run {
            self.recent_keys.retain(|recent| *recent != key);
        }
        self.perform(cx, fence, action);
    }

    /// Withdraws the claim of a request that was never sent to an upstream.
    pub(crate) fn withdraw(&mut self, cx: CX![], fence: Attempt) {
        let now = cx.now();
        if let Ok(index) = self.find(fence) {
            let action = self.active_claims[index].claimant.withdraw(now, &self.clock);
            self.perform(cx, fence, action);
        }
    }

    fn expire(&mut self, cx: CX![], fence: Attempt) {
        if let Ok(index) = self.find(fence) {
            let action = self.active_claims[index].claimant.expire();
            self.perform(cx, fence, action);
        }
    }

    fn on_log_applied(&mut self, cx: CX![], _: Index) {
        let time = self.ledger.borrow().time();
        self.clock.observe(cx.now(), time);
    }

    /// Handles the outcome of a proposal. An outcome that arrives late counts only if the proposal
    /// was applied.
    fn on_proposal_outcome(
        &mut self,
        cx: CX![],
        fence: Attempt,
        proposal: u32,
        proposed: ProposalOutcome,
    ) {
        let now = cx.now();
        let Ok(index) = self.find(fence) else {
            return;
        };
        let claim = &mut self.active_claims[index];
        let is_late = claim.latest_proposal != proposal;
        if is_late && !matches!(proposed, ProposalOutcome::Applied { .. }) {
            return;
        }
        claim.latest_proposal += 1;
        let action = claim.claimant.handle_proposal_outcome(now, &mut self.clock, proposed);
        self.perform(cx, fence, action);
    }

    fn poll(&mut self, cx: CX![], fence: Attempt) {
        let now = cx.now();
        if let Ok(index) = self.find(fence) {
            let action = self.active_claims[index].claimant.poll(now, &self.clock);
            self.perform(cx, fence, action);
        }
    }

    fn find(&self, fence: Attempt) -> Result<usize, usize> {
        self.active_claims.binary_search_by(|claim| claim.fence.cmp(&fence))
    }

    /// Performs an action of a claimant.
    fn perform(&mut self, cx: CX![], fence: Attempt, action: ClaimantAction) {
        match action {
            ClaimantAction::Propose(command) => self.propose(cx, fence, &command),
            ClaimantAction::Wait(until) => {
                at!(until, [cx], poll(fence));
            }
            ClaimantAction::Run => {
                self.remember_key(fence);
                self.decide(fence, Decision::Run);
            }
            ClaimantAction::Replay(answer) => {
                self.decide(fence, Decision::Replay(answer));
                self.remove(fence);
            }
            ClaimantAction::Refuse(refusal) => self.refuse(cx, fence, refusal),
            ClaimantAction::Deliver => {
                self.decide(fence, Decision::Deliver);
                self.poll(cx, fence);
            }
            ClaimantAction::Nothing => {}
            ClaimantAction::Finished => self.remove(fence),
        }
    }

    fn propose(&mut self, cx: CX![], fence: Attempt, command: &Command) {
        let Ok(index) = self.find(fence) else {
            return;
        };
        self.active_claims[index].latest_proposal += 1;
        let proposal = self.active_claims[index].latest_proposal;
        let proposed =
            ret_some_to!([cx], on_proposal_outcome(fence, proposal) as (ProposalOutcome));
        call!([self.replica], propose(Part::Ledger, command.to_bytes(), proposed));
        at!(
            cx.now() + PROPOSAL_TIMEOUT,
            [cx],
            on_proposal_outcome(fence, proposal, ProposalOutcome::Unknown)
        );
    }

    fn refuse(&mut self, cx: CX![], fence: Attempt, refusal: Refusal) {
        let Ok(index) = self.find(fence) else {
            return;
        };
        let decision = match refusal {
            Refusal::NoQuorum => self.decide_locally(self.active_claims[index].claimant.identity()),
            refusal => Decision::Refuse(refusal),
        };
        self.decide(fence, decision);
        self.withdraw(cx, fence);
    }

    /// Decides on a request whose key cannot be claimed without a quorum, from this instance's copy
    /// of the ledger and its recently granted keys.
    fn decide_locally(&self, identity: &RequestIdentity) -> Decision {
        match self.ledger.borrow().look_up(identity) {
            Some(Reply::Answered(answer)) => Decision::Replay(answer),
            Some(Reply::Conflict) => Decision::Refuse(Refusal::Conflict),
            Some(_) => Decision::Refuse(Refusal::Unknown),
            None if self.recent_keys.contains(&identity.key) => Decision::Refuse(Refusal::Unknown),
            None => Decision::Refuse(Refusal::NoQuorum),
        }
    }

    /// Remembers that the key claimed by attempt `fence` may have been used.
    fn remember_key(&mut self, fence: Attempt) {
        let Ok(index) = self.find(fence) else {
            return;
        };
        if self.recent_keys.len() == MAX_RECENT_KEYS {
            self.recent_keys.pop_front();
        }
        self.recent_keys.push_back(self.active_claims[index].claimant.identity().key);
    }

    fn decide(&self, fence: Attempt, decision: Decision) {
        if let Ok(index) = self.find(fence) {
            self.metrics.ledger.count(decision.ledger_outcome());
            self.active_claims[index].decision_listener.fwd(decision);
        }
    }

    fn remove(&mut self, fence: Attempt) {
        if let Ok(index) = self.find(fence) {
            self.active_claims.remove(index);
            self.check_settled();
        }
    }
}
