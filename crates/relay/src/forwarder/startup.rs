//! Keeps requests waiting that arrive before this instance has become ready after its start.

use std::time::Instant;

use entry::{Hold, Reply, Request, Unsent};
use forward::StartupDecision;
use stakker::{CX, Fwd, at};

use super::{Forwarder, problems};
use crate::interface::RequestMetadata;

/// A request that is not admitted yet.
pub(super) struct Arrival {
    pub(super) request: Request,
    pub(super) unsent: Unsent,
    /// Bytes that the request has reserved in the memory budget.
    pub(super) hold: Hold,
    pub(super) metadata: RequestMetadata,
    pub(super) reply: Fwd<Reply>,
    pub(super) arrived_at: Instant,
}

impl Forwarder {
    /// Admits a request, or lets it wait if this instance will probably be ready soon.
    pub(super) fn receive_arrival(&mut self, cx: CX![], arrival: Arrival) {
        let bytes = arrival.request.body.len();
        let decision = match self.is_ready || self.shutdown.is_some() {
            true => StartupDecision::Refuse,
            false => self.startup.decide(cx.now(), arrival.metadata.time_left, bytes),
        };
        match decision {
            StartupDecision::Wait(until) => {
                self.startup.push(until, bytes, arrival);
                self.metrics.relay.startup_waits.inc();
                self.update_startup_timer(cx);
            }
            StartupDecision::Refuse => self.admit_arrival(cx, arrival),
        }
    }

    /// Admits the requests that waited, once this instance is ready.
    pub(super) fn end_startup(&mut self, cx: CX![]) {
        if !self.is_ready {
            return;
        }
        for arrival in self.startup.take_all() {
            self.admit_arrival(cx, arrival);
        }
        self.update_startup_timer(cx);
    }

    /// Refuses the requests that waited, because this instance stops.
    pub(super) fn refuse_arrivals(&mut self) {
        for arrival in self.startup.take_all() {
            let problem = problems::stopping(&arrival.unsent);
            self.refuse_arrival(arrival.metadata.id, problem, &arrival.reply);
        }
    }

    fn expire_arrivals(&mut self, cx: CX![]) {
        for arrival in self.startup.take_expired(cx.now()) {
            self.admit_arrival(cx, arrival);
        }
        self.update_startup_timer(cx);
    }

    fn update_startup_timer(&mut self, cx: CX![]) {
        cx.timer_del(self.startup_timer);
        if let Some(expiry) = self.startup.next_expiry() {
            self.startup_timer = at!(expiry, [cx], expire_arrivals());
        }
    }
}
