//! Resolves the route and the caller of a request, and accepts or refuses the request.

use std::time::Instant;

use catalogue::{Caller, Repeat};
use entry::{Hold, Problem, Reply, Request, Unsent};
use forward::StreamTracker;
use stakker::{CX, FixedTimerKey, Fwd, at};
use telemetry::Event;

use super::active_request::ActiveRequest;
use super::quarantine::crash_keys;
use super::startup::Arrival;
use super::upstream_selection::max_queue_time;
use super::{Forwarder, millis, problems};

impl Forwarder {
    /// Accepts and places a request, or refuses it. Before the end of the startup, the request may
    /// wait first.
    pub(super) fn handle_arrival(
        &mut self,
        cx: CX![],
        request: Request,
        (unsent, hold): (Unsent, Hold),
        reply: Fwd<Reply>,
    ) {
        let arrived_at = cx.now();
        match self.interface.callers.parse_request(&request) {
            Ok(metadata) => {
                let arrival = Arrival { request, unsent, hold, metadata, reply, arrived_at };
                self.receive_arrival(cx, arrival);
            }
            Err(problem) => self.refuse_arrival(String::new(), problem, &reply),
        }
    }

    /// Accepts and places a request, or refuses it.
    pub(super) fn admit_arrival(&mut self, cx: CX![], arrival: Arrival) {
        let (id, reply) = (arrival.metadata.id.clone(), arrival.reply.clone());
        match self.admit(cx.now(), arrival) {
            Ok(active) => {
                let (id, deadline) = (active.id(), active.deadline);
                self.traffic(&active.service).count_request(cx.now());
                let index = self.find(id).unwrap_or_else(|index| index);
                self.requests.insert(index, active);
                self.requests[index].timer = at!(deadline, [cx], expire(id));
                if self.requests[index].is_trial {
                    self.quarantine.record_trial(cx.now(), &self.requests[index].keys);
                }
                self.place_arrival(cx, id);
            }
            Err(problem) => self.refuse_arrival(id, problem, &reply),
        }
    }

    /// Refuses a request that was not accepted.
    pub(super) fn refuse_arrival(&self, request: String, problem: Problem, reply: &Fwd<Reply>) {
        self.metrics.count_refused(problem.code());
        Event::Refused {
            request,
            service: String::new(),
            status: problem.status().0,
            reason: problem.code().to_string(),
            verdict: problem.verdict().to_string(),
            retry_after_ms: problem.retry_after().map(millis),
            after_ms: 0,
            left_ms: 0,
            runs: 0,
            refusals: 0,
            candidates: 0,
            unusable: 0,
            catalogue: self.catalogue_number(),
        }
        .write();
        reply.fwd(self.interface.callers.refusal(problem));
    }

    /// Resolves the route and the caller of a request.
    ///
    /// # Errors
    ///
    /// The refusal, if the request cannot be accepted.
    pub(super) fn admit(&self, now: Instant, arrival: Arrival) -> Result<ActiveRequest, Problem> {
        let Arrival { mut request, unsent, hold, metadata, reply, arrived_at } = arrival;
        let catalogue = self.catalogue.as_ref().ok_or_else(|| problems::not_ready(&unsent))?;
        let path = request.path.split(['?', '#']).next().unwrap_or_default();
        let route = catalogue
            .route(&metadata.host, path)
            .ok_or_else(|| problems::unknown_route(&metadata.host, path))?
            .clone();
        let caller = match catalogue.caller(metadata.api_key.as_deref()) {
            Caller::Unknown if !route.is_anonymous => return Err(problems::unknown_key()),
            Caller::Known(account) => Some(account),
            Caller::Unknown | Caller::Anyone => None,
        };
        let service = route.service(request.id.0).cloned();
        let service = service.ok_or_else(|| problems::not_ready(&unsent))?;
        let connections = catalogue.service(&service).map(|service| service.connections);
        let time_left = metadata.time_left.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrived_at + time_left;
        if deadline <= now {
            return Err(problems::too_late(&unsent));
        }
        if self.shutdown.is_some_and(|shutdown| !shutdown.accepts(now, deadline)) {
            return Err(problems::stopping(&unsent));
        }
        let account = caller.map(|account| &account.name);
        let keys = crash_keys(&request, &metadata, account);
        let is_trial = self.admit_keys(&unsent, now, &keys)?;
        if !is_trial {
            self.admit_hazard(&unsent, now, deadline, &service, &keys)?;
        }
        let queue_until = now + max_queue_time(route.objective);
        let stream_tracker = (route.repeat == Repeat::Resumed)
            .then(|| StreamTracker::new(metadata.last_event_id.clone()));
        Ok(ActiveRequest {
            body: std::mem::take(&mut request.body).into(),
            request,
            _hold: hold,
            reply,
            metadata,
            service,
            connections,
            account: account.cloned(),
            rank: caller.and_then(|account| account.rank).unwrap_or(route.rank),
            route,
            arrived_at,
            deadline,
            queue_until,
            has_waited: false,
            tried: Vec::new(),
            sent_to: Vec::new(),
            unsent: Some(unsent),
            runs: 0,
            refusals: 0,
            broken_beginnings: 0,
            keys,
            is_trial,
            running: None,
            search: None,
            basis: None,
            is_started: false,
            stream_tracker,
            candidates: 0,
            unusable: 0,
            lacks_room: false,
            timer: FixedTimerKey::default(),
        })
    }
}
