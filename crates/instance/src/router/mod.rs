//! Actor that routes callers' requests to upstreams and returns the responses.

mod active_request;
mod attempt;
mod context_transfer;
mod idempotency;
mod messages;
mod quarantine;
mod response;
mod route;
mod silence;

use std::rc::Rc;
use std::sync::Arc;

use admission::limit::LimitDecision;
use declare::Declarations;
use dispatch::{Client, OutlierDetector, RetryAllowance, RetryBudget, Verdict};
use entry::{Event, Hold, Problem, Reply, Request, Status, Unsent};
use names::Attempt;
use settings::{Retries, RetryLimit, Settings};
use stakker::{Actor, ActorOwn, CX, Fwd, StopCause, at, call, fail, fwd_to, ret_some_to};
use strum::IntoEnumIterator;
use telemetry::{Metrics, RequestLabels};

use crate::claims::Claims;
use crate::context_mover::ContextMover;
use crate::limits::Limits;
use crate::placer::{PermitRequest, PlacementOutcome, Placer};
use crate::problem;
use crate::quarantine::Quarantine;
use crate::upstream_client;
use active_request::{ActiveRequest, Phase};
pub(crate) use route::Route;
use route::{resolve, stopping};

/// Part of the memory of the process that collected responses may use, beside the memory budget.
const COLLECTED_DIVISOR: usize = 8;

fn allowance(retries: &Retries) -> RetryAllowance {
    let Retries { limit, percent, per_second } = *retries;
    match limit {
        RetryLimit::Unbounded => RetryAllowance::Unbounded,
        RetryLimit::Share => RetryAllowance::Ratio { percent, per_second },
    }
}

/// What a router is created from.
pub(crate) struct RouterParts {
    pub(crate) settings: Rc<Settings>,
    pub(crate) limits: Actor<Limits>,
    pub(crate) placer: Actor<Placer>,
    pub(crate) claims: Actor<Claims>,
    pub(crate) context_mover: Actor<ContextMover>,
    pub(crate) quarantine: Quarantine,
    pub(crate) metrics: Arc<Metrics>,
}

/// Owns the requests that have no final response yet.
pub(crate) struct Router {
    settings: Rc<Settings>,
    declarations: Rc<Declarations>,
    limits: Actor<Limits>,
    placer: Actor<Placer>,
    claims: Actor<Claims>,
    context_mover: Actor<ContextMover>,
    quarantine: Quarantine,
    metrics: Arc<Metrics>,
    client: ActorOwn<Client>,
    /// Maximum size of the collected responses of all requests together: `limits.collected`, and no
    /// more than the process has memory for.
    max_collected_bytes: usize,
    budget: RetryBudget,
    health: OutlierDetector,
    active: Vec<ActiveRequest>,
    /// Running attempts with their requests, sorted by attempt.
    calls: Vec<(Attempt, names::Request)>,
    is_draining: bool,
    /// Notified when no request is left.
    idle_listener: Option<Fwd<()>>,
}

impl Router {
    pub(crate) fn init(cx: CX![], parts: RouterParts) -> Option<Self> {
        let RouterParts { settings, limits, placer, claims, context_mover, quarantine, metrics } =
            parts;
        let events = fwd_to!([cx], on_progress() as (dispatch::CallEvent));
        let stopped = ret_some_to!([cx], on_client_stopped() as (StopCause));
        let client = upstream_client::start(cx, events, stopped);
        let available = settings.limits.memory.as_bytes() / COLLECTED_DIVISOR;
        let max_collected_bytes = settings.limits.collected.as_bytes().min(available);
        let budget = RetryBudget::new(allowance(&settings.retries), cx.now());
        Some(Self {
            settings,
            declarations: Rc::default(),
            limits,
            placer,
            claims,
            context_mover,
            quarantine,
            metrics,
            client,
            max_collected_bytes,
            budget,
            health: OutlierDetector::default(),
            active: Vec::new(),
            calls: Vec::new(),
            is_draining: false,
            idle_listener: None,
        })
    }

    fn on_client_stopped(&mut self, cx: CX![], cause: StopCause) {
        fail!(cx, upstream_client::ClientStopped(cause.to_string()));
    }

    /// Applies declarations to requests that arrive from now on.
    pub(crate) fn set_declarations(&mut self, _: CX![], declarations: Rc<Declarations>) {
        for kind in &declarations.kinds {
            for verdict in Verdict::iter() {
                self.metrics.initialize_request(&RequestLabels {
                    rank: kind.rank.to_string(),
                    kind: kind.name.to_string(),
                    verdict: verdict.to_string(),
                });
            }
        }
        self.declarations = declarations;
    }

    /// Refuses requests that arrive from now on.
    pub(crate) fn drain(&mut self, _: CX![]) {
        self.is_draining = true;
    }

    /// Ends the requests that still run when the drain time is over, and tells their callers. A
    /// claim or a result that is being recorded is left to the ledger.
    pub(crate) fn end_requests(&mut self, _: CX![]) {
        for index in (0..self.active.len()).rev() {
            match &self.active[index].phase {
                Phase::Claiming | Phase::Recording(_) => {}
                Phase::Placing | Phase::Preparing(_) => {
                    let problem = problem::stopping(self.active[index].unsent());
                    self.refuse(index, problem);
                }
                Phase::Calling(_) => self.refuse(index, problem::stopped()),
            }
        }
    }

    /// Notifies `idle` once no request is left, including requests whose callers have disconnected.
    pub(crate) fn when_idle(&mut self, _: CX![], idle: Fwd<()>) {
        self.idle_listener = Some(idle);
        self.check_idle();
    }

    fn check_idle(&mut self) {
        if self.active.is_empty()
            && let Some(idle) = self.idle_listener.take()
        {
            idle.fwd(());
        }
    }

    /// Handles an event from the callers' port.
    pub(crate) fn handle(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Arrived { request, unsent, hold, reply } => {
                self.on_request(cx, request, unsent, hold, reply)
            }
            Event::Left { request } => self.on_caller_disconnected(cx, request),
            Event::Refused { reason } => self.metrics.count_refused(reason),
        }
    }

    fn find(&self, id: names::Request) -> Option<usize> {
        self.active.binary_search_by(|active| active.id.cmp(&id)).ok()
    }

    fn find_attempt(&self, attempt: Attempt) -> Option<usize> {
        let index = self.calls.binary_search_by(|call| call.0.cmp(&attempt)).ok()?;
        self.find(self.calls[index].1)
    }

    fn on_request(
        &mut self,
        cx: CX![],
        request: Request,
        unsent: Unsent,
        mut hold: Hold,
        reply: Fwd<Reply>,
    ) {
        let id = request.id;
        let resolved = if self.is_draining {
            Err(stopping(&unsent, &request))
        } else {
            resolve(&self.declarations, request, cx.now(), (&unsent, &mut hold))
        };
        let admitted =
            resolved.and_then(|route| Ok((self.admit_keys(&unsent, cx.now(), &route)?, route)));
        let (is_trial, route) = match admitted {
            Ok(admitted) => admitted,
            Err(problem) => {
                self.metrics.count_refused(problem.code());
                reply.fwd(problem.into_reply());
                return;
            }
        };
        let deadline = route.deadline;
        let is_keyed = route.claim_identity.is_some();
        if is_trial {
            self.quarantine.record_trial(cx.now(), &route.keys);
        }
        let active = ActiveRequest::new(id, unsent, cx.now(), (route, hold), reply, is_trial);
        let index = match self.active.binary_search_by(|other| other.id.cmp(&id)) {
            Ok(_) => return,
            Err(index) => index,
        };
        self.active.insert(index, active);
        self.metrics.active_requests.inc();
        self.budget.count_request();
        at!(deadline, [cx], expire(id));
        if is_keyed {
            self.claim(cx, index);
        } else {
            self.check_limit(cx, id);
        }
    }

    /// Checks the request against the limit of its account.
    fn check_limit(&mut self, cx: CX![], id: names::Request) {
        let Some(index) = self.find(id) else {
            return;
        };
        let account = self.active[index].route.account.clone();
        let decision = ret_some_to!([cx], on_limit_decision(id) as (LimitDecision));
        call!([self.limits], check(account, decision));
    }

    fn on_limit_decision(&mut self, cx: CX![], id: names::Request, decision: LimitDecision) {
        let Some(index) = self.find(id) else {
            return;
        };
        match decision {
            LimitDecision::Pass => self.place(cx, id),
            LimitDecision::Refuse { retry_after } => {
                let active = &self.active[index];
                let account = &active.route.account;
                let problem = problem::over_limit(active.unsent(), account, retry_after);
                self.refuse(index, problem);
            }
        }
    }

    /// Requests a permit for the next attempt.
    fn place(&mut self, cx: CX![], id: names::Request) {
        let Some(index) = self.find(id) else {
            return;
        };
        let active = &mut self.active[index];
        let mut excluded = active.tried.clone();
        if active.avoids_unhealthy {
            let avoided = self.health.avoided_upstreams(&active.route.service, cx.now());
            active.avoids_unhealthy = !avoided.is_empty();
            excluded.extend(avoided);
        }
        let permit_request = PermitRequest::new(id, &active.route, excluded);
        let placed = ret_some_to!([cx], on_placed(id) as (PlacementOutcome));
        call!([self.placer], place(permit_request, placed));
    }

    fn on_placed(&mut self, cx: CX![], id: names::Request, placed: PlacementOutcome) {
        let Some(index) = self.find(id) else {
            if let PlacementOutcome::Granted(permit) = placed {
                call!([self.placer], release(permit));
            }
            return;
        };
        let active = &self.active[index];
        let (unsent, service) = (active.unsent(), &active.route.service);
        match placed {
            PlacementOutcome::Granted(permit) => self.transfer_context(cx, index, permit),
            PlacementOutcome::Full { retry_after } => {
                let problem = problem::busy(unsent, service, retry_after);
                self.handle_not_placed(cx, index, problem);
            }
            PlacementOutcome::NoUpstream => {
                let problem = problem::no_upstream(unsent, service);
                self.handle_not_placed(cx, index, problem);
            }
        }
    }

    /// Handles a request that no upstream can take: first retries with unhealthy upstreams
    /// included, then with those that it left because they were silent. After that, a started
    /// stream waits for an upstream and any other request is refused.
    fn handle_not_placed(&mut self, cx: CX![], index: usize, problem: Problem) {
        let active = &mut self.active[index];
        if std::mem::replace(&mut active.avoids_unhealthy, false) {
            let id = active.id;
            self.place(cx, id);
        } else if !active.left.is_empty() {
            let left = std::mem::take(&mut active.left);
            active.tried.retain(|upstream| !left.contains(upstream));
            let id = active.id;
            self.place(cx, id);
        } else if active.has_started {
            active.tried.clear();
            active.attempts += 1;
            self.retry_placement_later(cx, index);
        } else {
            self.refuse(index, problem);
        }
    }

    fn expire(&mut self, _: CX![], id: names::Request) {
        let Some(index) = self.find(id) else {
            return;
        };
        let message = "the deadline passed before the answer was complete";
        let (status, code) = (Status::GATEWAY_TIMEOUT, "deadline");
        let active = &self.active[index];
        match &active.phase {
            Phase::Claiming | Phase::Recording(_) => {}
            Phase::Placing | Phase::Preparing(_) | Phase::Calling(_) => {
                let problem = Problem::with_evidence(active.unsent(), status, code, message);
                self.refuse(index, problem);
            }
        }
    }

    /// Ends a request with a problem instead of a response from an upstream.
    fn refuse(&mut self, index: usize, problem: Problem) {
        self.settle_claim(index);
        self.reply_with_problem(index, problem);
    }

    /// Sends a problem to the caller.
    fn reply_with_problem(&mut self, index: usize, problem: Problem) {
        let active = &self.active[index];
        let verdict = problem.verdict();
        let is_proven = active.unsent().is_some();
        debug_assert!(is_proven || verdict != Verdict::NotRun, "{problem:?}");
        if active.has_started {
            active.reply.fwd(Reply::Cut);
        } else {
            self.metrics.count_refused(problem.code());
            active.reply.fwd(problem.into_reply());
        }
        self.finish(index, verdict);
    }

    /// Cancels the request of a caller that has disconnected. A non-idempotent request that was
    /// sent to an upstream continues to its end, so that its outcome is known.
    fn on_caller_disconnected(&mut self, _: CX![], id: names::Request) {
        let Some(index) = self.find(id) else {
            return;
        };
        self.metrics.count_refused("caller_left");
        let active = &self.active[index];
        match active.phase {
            Phase::Calling(_) | Phase::Recording(_) if !active.route.is_idempotent => {}
            _ => {
                self.settle_claim(index);
                self.finish(index, Verdict::MayHaveRun);
            }
        }
    }

    /// Cancels the running attempt or context transfer, if there is one, and returns its permit.
    fn release(&mut self, index: usize) {
        match std::mem::replace(&mut self.active[index].phase, Phase::Placing) {
            Phase::Calling(running) => {
                self.active[index].response.discard();
                call!([self.client], cancel(running.attempt));
                self.calls.retain(|call| call.0 != running.attempt);
                call!([self.placer], release(running.permit));
            }
            Phase::Preparing(permit) => {
                call!([self.context_mover], cancel(self.active[index].id));
                call!([self.placer], release(permit));
            }
            Phase::Claiming | Phase::Placing | Phase::Recording(_) => {}
        }
    }

    fn finish(&mut self, index: usize, verdict: Verdict) {
        self.release(index);
        let active = self.active.remove(index);
        call!([self.placer], withdraw(active.id));
        self.metrics.active_requests.dec();
        self.metrics.count_request(&RequestLabels {
            rank: active.route.rank.to_string(),
            kind: active.route.kind.to_string(),
            verdict: verdict.to_string(),
        });
        self.check_idle();
    }
}
