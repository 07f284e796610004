//! Handles the orders of operators to evacuate data centres.

use std::time::{Duration, Instant};

use entry::{Problem, Rejection, Reply, Status};
use evacuation::{Command, MAX_DATA_CENTRES, Number, Order, Outcome};
use instance::Part;
use names::DataCentre;
use stakker::{CX, Fwd, call, ret_to};
use state::ProposalOutcome;
use telemetry::Event as LogEvent;

use super::{Control, NOT_DURABLE_RETRY_AFTER, no_quorum};
use crate::feed::Storage;

/// An order that is not answered yet.
pub(super) struct PendingOrder {
    data_centre: DataCentre,
    is_evacuated: bool,
    arrived_at: Instant,
    reply: Fwd<Reply>,
}

impl Control {
    /// Proposes an order to the log.
    pub(super) fn order_evacuation(
        &mut self,
        cx: CX![],
        data_centre: DataCentre,
        is_evacuated: bool,
        reply: Fwd<Reply>,
    ) {
        let known = self.orders.borrow().greatest();
        let command = Command::Order { data_centre: data_centre.clone(), is_evacuated, known };
        let bytes = postcard::to_allocvec(&command).unwrap_or_default();
        let pending = PendingOrder { data_centre, is_evacuated, arrived_at: cx.now(), reply };
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
            Some(Outcome::TooMany) => {
                self.end_order(now, &pending, Number::default(), "too-many", Some(too_many()));
            }
            Some(Outcome::Malformed) | None => {
                self.end_order(now, &pending, Number::default(), "no-quorum", Some(no_quorum()));
            }
        }
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
        &self,
        now: Instant,
        pending: &PendingOrder,
        number: Number,
        outcome: &'static str,
        problem: Option<Problem>,
    ) {
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
