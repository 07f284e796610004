//! The actor that moves cached context to the engine that gets a request.

use std::rc::Rc;
use std::sync::Arc;

use context::{Bounds, Costs, Flaw, Moves as Core, Outcome, Step, Wanted};
use dispatch::{Call, Client, Outbound, Progress};
use names::Attempt;
use rand::RngExt;
use settings::Settings;
use stakker::{ActorOwn, CX, Ret, StopCause, at, call, fail, fwd_to, ret, ret_some_to};
use telemetry::Metrics;

use crate::calls;

/// A move under way and the request that waits for it.
struct Waiting {
    request: names::Request,
    attempt: Attempt,
    ended: Ret<()>,
}

/// Owns the moves under way.
pub(crate) struct Moves {
    core: Core,
    client: ActorOwn<Client>,
    metrics: Arc<Metrics>,
    waiting: Vec<Waiting>,
}

fn costs(settings: &settings::Context) -> Costs {
    Costs::new(
        settings.recompute.as_per_second() as u64,
        settings.transfer_per_second.as_bytes() as u64,
        settings.round_trip.as_duration(),
        settings.bytes_per_token.as_bytes() as u64,
    )
}

impl Moves {
    pub(crate) fn init(cx: CX![], settings: Rc<Settings>, metrics: Arc<Metrics>) -> Option<Self> {
        let events = fwd_to!([cx], progress() as (dispatch::Event));
        let ended = ret_some_to!([cx], client_ended() as (StopCause));
        let client = calls::client(cx, events, ended);
        let settings = &settings.context;
        let bounds = Bounds {
            moves: settings.moves,
            limit: settings.limit.as_duration(),
            bytes: settings.largest.as_bytes(),
        };
        Some(Self {
            core: Core::new(costs(settings), bounds),
            client,
            metrics,
            waiting: Vec::new(),
        })
    }

    /// Moves the context of `request` if that costs less than computing it; `ended` is told when
    /// the request goes on, within the time limit of a move.
    pub(crate) fn begin(
        &mut self,
        cx: CX![],
        request: names::Request,
        wanted: Wanted,
        ended: Ret<()>,
    ) {
        let attempt = Attempt(rand::rng().random());
        let call = match self.core.begin(cx.now(), attempt, wanted) {
            Ok(call) => call,
            Err(reason) => {
                log::debug!("request {request}: context is not moved: {reason}");
                ret!([ended], ());
                return;
            }
        };
        let until = call.deadline;
        match Outbound::try_from(call) {
            Ok(outbound) => {
                call!([self.client], call(outbound));
                self.metrics.context.tried.inc();
                self.waiting.push(Waiting { request, attempt, ended });
                at!(until, [cx], expire(attempt));
            }
            Err(error) => {
                log::debug!("request {request}: context is not moved: {error}");
                self.core.cancel(attempt);
                ret!([ended], ());
            }
        }
    }

    fn client_ended(&mut self, cx: CX![], cause: StopCause) {
        fail!(cx, calls::Ended(cause.to_string()));
    }

    /// Ends the move of a request that has gone away.
    pub(crate) fn cancel(&mut self, _: CX![], request: names::Request) {
        for waiting in self.waiting.extract_if(.., |waiting| waiting.request == request) {
            call!([self.client], cancel(waiting.attempt));
            self.core.cancel(waiting.attempt);
        }
    }

    fn progress(&mut self, cx: CX![], event: dispatch::Event) {
        if let Progress::Part(part) = &event.progress {
            call!([self.client], took(event.attempt, part.len()));
        }
        let step = self.core.progress(cx.now(), event.attempt, event.progress);
        self.take_step(cx, event.attempt, step);
    }

    fn expire(&mut self, cx: CX![], attempt: Attempt) {
        let step = self.core.expire(cx.now(), attempt);
        self.take_step(cx, attempt, step);
    }

    fn take_step(&mut self, cx: CX![], attempt: Attempt, step: Step) {
        match step {
            Step::Wait => {}
            Step::Import(call) => self.import(cx, attempt, call),
            Step::End(outcome) => self.end(attempt, &outcome),
        }
    }

    fn import(&mut self, cx: CX![], attempt: Attempt, call: Call) {
        match Outbound::try_from(call) {
            Ok(outbound) => call!([self.client], call(outbound)),
            Err(error) => {
                log::error!("moved context cannot be sent: {error}");
                self.expire(cx, attempt);
            }
        }
    }

    fn end(&mut self, attempt: Attempt, outcome: &Outcome) {
        let metrics = &self.metrics.context;
        match outcome {
            Outcome::Moved { bytes } => {
                metrics.done.inc();
                metrics.bytes.inc_by(*bytes as u64);
            }
            Outcome::Nothing => {}
            Outcome::Failed { upstream, flaw } => {
                metrics.failed.inc();
                log::debug!("upstream {upstream}: context was not moved: {flaw}");
            }
        }
        if let Some(index) = self.waiting.iter().position(|one| one.attempt == attempt) {
            let Waiting { ended, .. } = self.waiting.swap_remove(index);
            if let Outcome::Failed { flaw: Flaw::TimedOut | Flaw::Large { .. }, .. } = outcome {
                call!([self.client], cancel(attempt));
            }
            ret!([ended], ());
        }
    }
}
