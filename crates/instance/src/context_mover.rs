//! Actor that transfers cached context to the engine that will serve a request.

use std::rc::Rc;
use std::sync::Arc;

use context::{
    Costs, MoveLimits, MoveOutcome, MoveRequest, MoveStep, Moves as MoveTracker, TransferError,
};
use dispatch::{Call, Client, Outbound, Progress};
use names::Attempt;
use rand::RngExt;
use settings::Settings;
use stakker::{ActorOwn, CX, Ret, StopCause, at, call, fail, fwd_to, ret, ret_some_to};
use telemetry::Metrics;

use crate::upstream_client;

/// A running transfer and the request that waits for its result.
struct PendingMove {
    request: names::Request,
    attempt: Attempt,
    finished: Ret<()>,
}

/// Starts transfers of cached context and tracks them until they finish.
pub(crate) struct ContextMover {
    tracker: MoveTracker,
    client: ActorOwn<Client>,
    metrics: Arc<Metrics>,
    pending: Vec<PendingMove>,
}

fn costs(settings: &settings::Context) -> Costs {
    Costs::new(
        settings.recompute.as_per_second() as u64,
        settings.transfer_per_second.as_bytes() as u64,
        settings.round_trip.as_duration(),
        settings.bytes_per_token.as_bytes() as u64,
    )
}

impl ContextMover {
    pub(crate) fn init(cx: CX![], settings: Rc<Settings>, metrics: Arc<Metrics>) -> Option<Self> {
        let events = fwd_to!([cx], on_progress() as (dispatch::CallEvent));
        let stopped = ret_some_to!([cx], on_client_stopped() as (StopCause));
        let client = upstream_client::start(cx, events, stopped);
        let settings = &settings.context;
        let limits = MoveLimits {
            max_moves: settings.moves,
            max_duration: settings.limit.as_duration(),
            max_bytes: settings.largest.as_bytes(),
        };
        Some(Self {
            tracker: MoveTracker::new(costs(settings), limits),
            client,
            metrics,
            pending: Vec::new(),
        })
    }

    /// Transfers the context of `request` if the transfer costs less than recomputing the context.
    ///
    /// `finished` is notified when the request may continue, at the latest when the time limit of a
    /// transfer has passed.
    pub(crate) fn start(
        &mut self,
        cx: CX![],
        request: names::Request,
        move_request: MoveRequest,
        finished: Ret<()>,
    ) {
        let attempt = Attempt(rand::rng().random());
        let call = match self.tracker.begin(cx.now(), attempt, move_request) {
            Ok(call) => call,
            Err(reason) => {
                log::debug!("request {request}: context is not transferred: {reason}");
                ret!([finished], ());
                return;
            }
        };
        let deadline = call.deadline;
        match Outbound::try_from(call) {
            Ok(outbound) => {
                call!([self.client], call(outbound));
                self.metrics.context.started.inc();
                self.pending.push(PendingMove { request, attempt, finished });
                at!(deadline, [cx], expire(attempt));
            }
            Err(error) => {
                log::debug!("request {request}: context is not transferred: {error}");
                self.tracker.cancel(attempt);
                ret!([finished], ());
            }
        }
    }

    fn on_client_stopped(&mut self, cx: CX![], cause: StopCause) {
        fail!(cx, upstream_client::ClientStopped(cause.to_string()));
    }

    /// Cancels the transfer of a request that no longer exists.
    pub(crate) fn cancel(&mut self, _: CX![], request: names::Request) {
        for pending in self.pending.extract_if(.., |pending| pending.request == request) {
            call!([self.client], cancel(pending.attempt));
            self.tracker.cancel(pending.attempt);
        }
    }

    fn on_progress(&mut self, cx: CX![], event: dispatch::CallEvent) {
        if let Progress::Body(part) = &event.progress {
            call!([self.client], record_consumed(event.attempt, part.len()));
        }
        let step = self.tracker.progress(cx.now(), event.attempt, event.progress);
        self.apply_step(cx, event.attempt, step);
    }

    fn expire(&mut self, cx: CX![], attempt: Attempt) {
        let step = self.tracker.expire(cx.now(), attempt);
        self.apply_step(cx, attempt, step);
    }

    fn apply_step(&mut self, cx: CX![], attempt: Attempt, step: MoveStep) {
        match step {
            MoveStep::Wait => {}
            MoveStep::Import(call) => self.import(cx, attempt, call),
            MoveStep::End(outcome) => self.end(attempt, &outcome),
        }
    }

    fn import(&mut self, cx: CX![], attempt: Attempt, call: Call) {
        match Outbound::try_from(call) {
            Ok(outbound) => call!([self.client], call(outbound)),
            Err(error) => {
                log::error!(
                    "cannot send the exported context to the target engine: {error}; \
                     transfer abandoned"
                );
                self.expire(cx, attempt);
            }
        }
    }

    fn end(&mut self, attempt: Attempt, outcome: &MoveOutcome) {
        let metrics = &self.metrics.context;
        match outcome {
            MoveOutcome::Moved { bytes } => {
                metrics.succeeded.inc();
                metrics.bytes.inc_by(*bytes as u64);
            }
            MoveOutcome::NothingCached => {}
            MoveOutcome::Failed { upstream, error: transfer_error } => {
                metrics.failed.inc();
                log::debug!("upstream {upstream}: context transfer failed: {transfer_error}");
            }
        }
        if let Some(index) = self.pending.iter().position(|pending| pending.attempt == attempt) {
            let PendingMove { finished, .. } = self.pending.swap_remove(index);
            if let MoveOutcome::Failed {
                error: TransferError::TimedOut | TransferError::TooLarge { .. },
                ..
            } = outcome
            {
                call!([self.client], cancel(attempt));
            }
            ret!([finished], ());
        }
    }
}
