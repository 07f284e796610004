//! Handles the orders of operators to evacuate data centres.
//!
//! An operator gives the next order only after the acknowledgement of the previous one, at any control
//! instance. An order may reach this instance, or the log, long after its operator has sent it to
//! another instance and has given later ones. So that it does not undo them, it is proposed only if its
//! caller still waits a while after it was read, and the log applies it only if the opposite was not
//! committed since.

use std::time::{Duration, Instant};

use entry::{Problem, Rejection, Reply, Status, Unsent};
use evacuation::{Command, MAX_DATA_CENTRES, Number, Order, Orders, Outcome};
use instance::Part;
use names::{DataCentre, Request};
use stakker::{CX, Fwd, at, call, ret_to};
use state::ProposalOutcome;
use telemetry::Event as LogEvent;

use super::callers::{Confirmation, Step};
use super::{Control, NOT_DURABLE_RETRY_AFTER, no_quorum};
use crate::feed::Storage;

/// Time after which an operator repeats an order that was given against an outdated one.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// An order that is not answered yet.
pub(super) struct PendingOrder {
    request: Request,
    data_centre: DataCentre,
    is_evacuated: bool,
    /// Number of the order that this one replaces.
    base: Number,
    arrived_at: Instant,
    unsent: Unsent,
    reply: Fwd<Reply>,
}

impl Control {
    /// Handles an order of an operator.
    pub(super) fn order_evacuation(
        &mut self,
        cx: CX![],
        request: Request,
        (data_centre, is_evacuated): (DataCentre, bool),
        (unsent, reply): (Unsent, Fwd<Reply>),
    ) {
        let base = self.orders.borrow().get(&data_centre).number;
        let arrived_at = cx.now();
        let pending =
            PendingOrder { request, data_centre, is_evacuated, base, arrived_at, unsent, reply };
        self.callers.add(request);
        self.confirm_order(cx, pending, Confirmation::default());
    }

    /// Proposes an order once it is confirmed that its caller waits.
    fn confirm_order(&mut self, cx: CX![], pending: PendingOrder, confirmation: Confirmation) {
        match self.callers.next_step(cx.now(), pending.request, confirmation) {
            Step::CheckAt(at, confirmation) => {
                at!(at, [cx], confirm_order(pending, confirmation));
            }
            Step::Proceed => self.propose_order(cx, pending),
            Step::Ignore => {
                self.log_order(cx.now(), &pending, pending.base, "left");
                self.metrics.relay.count_evacuation_order("left");
            }
        }
    }

    fn propose_order(&mut self, cx: CX![], pending: PendingOrder) {
        let command = Command::Replace {
            data_centre: pending.data_centre.clone(),
            is_evacuated: pending.is_evacuated,
            known: self.orders.borrow().greatest(),
            base: pending.base,
        };
        let bytes = postcard::to_allocvec(&command).unwrap_or_default();
        let on_outcome = ret_to!([cx], finish_order(pending) as (ProposalOutcome));
        call!([self.replica], propose(Part::Evacuation, bytes, on_outcome));
    }

    /// Acknowledges an order that is committed, once it is stored.
    fn finish_order(
        &mut self,
        cx: CX![],
        pending: PendingOrder,
        proposal_outcome: Option<ProposalOutcome>,
    ) {
        let now = cx.now();
        let outcome = outcome(proposal_outcome);
        self.record_quorum(now, outcome.is_some());
        match outcome {
            Some(Outcome::InForce(order)) => self.acknowledge_when_durable(cx, pending, order),
            Some(Outcome::Outdated(order)) => self.refuse_outdated(cx, pending, order),
            Some(Outcome::TooMany) => {
                self.end_order(now, &pending, Number::default(), "too-many", Some(too_many()));
            }
            Some(Outcome::Malformed) | None => {
                self.end_order(now, &pending, Number::default(), "no-quorum", Some(no_quorum()));
            }
        }
    }

    /// Refuses an order that changed nothing, because the log has committed the opposite, `newest`,
    /// since the order was read, or before that was known here. Whether the caller has given `newest`
    /// after this order is not known, so that only a repeat by the caller can replace it.
    fn refuse_outdated(&mut self, cx: CX![], pending: PendingOrder, newest: Order) {
        // The repeat succeeds here as well, also if the log is not applied yet.
        let newest_orders = Orders::single(pending.data_centre.clone(), newest);
        call!([self.feed], learn_orders(newest_orders));
        let problem = outdated(&pending.unsent);
        self.end_order(cx.now(), &pending, newest.number, "outdated", Some(problem));
    }

    fn acknowledge_when_durable(&mut self, cx: CX![], pending: PendingOrder, order: Order) {
        let newest = self.orders.borrow().get(&pending.data_centre);
        if newest > order && newest.number > self.order_log.borrow().last() {
            // The newest order comes from a log that was lost, and takes precedence. The operator's
            // repeat gets a greater number; a repeat by this instance could undo a later order.
            self.end_order(cx.now(), &pending, order.number, "superseded", Some(superseded()));
            return;
        }
        self.log_order(cx.now(), &pending, order.number, "accepted");
        let data_centre = pending.data_centre.clone();
        let on_stored = ret_to!([cx], finish_storing(pending, order) as (Storage));
        call!([self.feed], await_order_copies(data_centre, order, on_stored));
    }

    fn finish_storing(
        &mut self,
        cx: CX![],
        pending: PendingOrder,
        order: Order,
        storage: Option<Storage>,
    ) {
        let (outcome, problem) = match storage {
            Some(Storage::Stored) => ("acknowledged", None),
            Some(Storage::TooFewCopies) => ("not-stored", Some(not_stored())),
            // The feed has ended, because the instance is stopping.
            None => ("no-quorum", Some(no_quorum())),
        };
        self.end_order(cx.now(), &pending, order.number, outcome, problem);
    }

    /// Answers an order: with the acknowledgement, or with `problem` if there is one.
    fn end_order(
        &mut self,
        now: Instant,
        pending: &PendingOrder,
        number: Number,
        outcome: &'static str,
        problem: Option<Problem>,
    ) {
        self.callers.remove(pending.request);
        self.log_order(now, pending, number, outcome);
        self.metrics.relay.count_evacuation_order(outcome);
        let control = &self.interface.control;
        let reply =
            problem.map_or_else(|| control.acknowledgement(), |problem| control.refusal(problem));
        pending.reply.fwd(reply);
    }

    fn log_order(
        &self,
        now: Instant,
        pending: &PendingOrder,
        number: Number,
        outcome: &'static str,
    ) {
        let after: Duration = now.saturating_duration_since(pending.arrived_at);
        LogEvent::EvacuationOrder {
            data_centre: pending.data_centre.to_string(),
            is_evacuated: pending.is_evacuated,
            number: number.0,
            outcome,
            after_ms: u64::try_from(after.as_millis()).unwrap_or(u64::MAX),
        }
        .write();
    }
}

/// Returns the result of the log for an order, or `None` if the log did not answer.
fn outcome(proposal_outcome: Option<ProposalOutcome>) -> Option<Outcome> {
    let Some(ProposalOutcome::Applied { outcome, .. }) = proposal_outcome else {
        return None;
    };
    let outcome = postcard::from_bytes(&outcome).unwrap_or(Outcome::Malformed);
    if outcome == Outcome::Malformed {
        log::error!("cannot decode the outcome of an evacuation order; treating it as unanswered");
    }
    Some(outcome)
}

fn too_many() -> Problem {
    let message = format!(
        "orders about {MAX_DATA_CENTRES} data centres are remembered; no other one can be evacuated"
    );
    Problem::rejected(Rejection::BadRequest, "too_many_zones", message)
}

fn outdated(unsent: &Unsent) -> Problem {
    let message = "the opposite order about the data centre was committed in the meantime; send the \
                   order again";
    Problem::not_run(unsent, Status::UNAVAILABLE, "outdated", message)
        .with_retry_after(OUTDATED_RETRY_AFTER)
}

fn superseded() -> Problem {
    let message = "another order about the data centre is in force; send the order again";
    Problem::may_have_run(Status::UNAVAILABLE, "superseded", message)
        .with_retry_after(NOT_DURABLE_RETRY_AFTER)
}

fn not_stored() -> Problem {
    let message = "the order is in force, but too few control instances have stored it yet; send it \
                   again";
    Problem::may_have_run(Status::UNAVAILABLE, "not_durable", message)
        .with_retry_after(NOT_DURABLE_RETRY_AFTER)
}
