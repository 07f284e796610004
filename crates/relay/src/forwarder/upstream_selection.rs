//! Chooses upstreams for requests, or has these wait.

use std::time::{Duration, Instant};

use forward::{Affinity, Candidate, LeastLoad, Policy, Wish};
use stakker::{CX, at};
use telemetry::Event;

use super::{Forwarder, millis, problems};

/// Requests held for each slot of a plain service at most.
const MAX_PLAIN_REQUESTS_PER_SLOT: f64 = 1.5;

/// By how many requests an upstream in another data centre must have less.
const REMOTE_LOAD_ADVANTAGE: f64 = 2.0;

/// Part of its objective that a request may wait for an upstream with room; after that another
/// try of its caller, elsewhere, serves it better.
const MAX_WAIT_DIVISOR: u32 = 8;

/// Shortest such wait.
const MIN_MAX_WAIT: Duration = Duration::from_millis(30);

/// What became of a request that looked for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Placement {
    /// It was sent, or has ended.
    Sent,
    /// Keepers of upstreams are asked for it; it has gone on already if all were known here.
    Asking,
    /// No upstream has room.
    Full,
}

impl Forwarder {
    /// Sends a request to an upstream, or has it wait for one.
    pub(super) fn place(&mut self, cx: CX![], id: names::Request) {
        if self.try_send(cx, id) == Placement::Full {
            self.enqueue(cx, id);
        }
    }

    fn try_send(&mut self, cx: CX![], id: names::Request) -> Placement {
        let Ok(index) = self.find(id) else {
            return Placement::Sent;
        };
        let now = cx.now();
        let active = &self.requests[index];
        let (wish, tokens) = (active.wish(), active.own_tokens());
        let has_engine = self.has_engine(&active.service);
        let candidates = self.candidates(now, index);
        let active = &mut self.requests[index];
        active.candidates = candidates.len();
        active.unusable = candidates.iter().filter(|one| one.is_avoided).count();
        if let Some((search, choices)) = self.search(now, &candidates, has_engine, wish) {
            return self.begin_search(cx, id, search, choices);
        }
        let Some(chosen) = self.choose(&candidates, has_engine, wish) else {
            return Placement::Full;
        };
        let Candidate { upstream, load, .. } = &candidates[chosen];
        self.table.begin_request(now, upstream, tokens);
        self.send(cx, id, upstream, *load);
        Placement::Sent
    }

    /// The upstreams that the request at `index` could be sent to.
    pub(super) fn candidates(&mut self, now: Instant, index: usize) -> Vec<Candidate> {
        let active = &self.requests[index];
        // Engines are chosen from all data centres, peers mostly from this one.
        let has_engine = self.has_engine(&active.service);
        let sharers = if has_engine { self.entry_instances } else { self.local_entry_instances };
        let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
        self.table.candidates(now, &active.service, &active.tried, sharers)
    }

    pub(super) fn has_engine(&self, service: &names::Service) -> bool {
        let found = self.catalogue.as_ref().and_then(|catalogue| catalogue.service(service));
        found.is_some_and(|service| service.engine.is_some())
    }

    fn choose(&self, candidates: &[Candidate], has_engine: bool, wish: Wish) -> Option<usize> {
        let policy: &dyn Policy = match has_engine {
            true => &Affinity::new(self.settings.direct.load_bound, self.entry_instances),
            false => {
                &LeastLoad { fill: MAX_PLAIN_REQUESTS_PER_SLOT, distance: REMOTE_LOAD_ADVANTAGE }
            }
        };
        policy.choose(candidates, wish)
    }

    /// Has a request wait until an upstream has room, or refuses it.
    pub(super) fn enqueue(&mut self, cx: CX![], id: names::Request) {
        let Some(active) = self.active(id) else {
            return;
        };
        let max_wait = (active.route.objective / MAX_WAIT_DIVISOR).max(MIN_MAX_WAIT);
        let until = (active.arrived + max_wait).min(active.deadline);
        let (rank, service) = (active.rank, active.service.clone());
        if until <= cx.now() {
            self.refuse_unplaced(cx, id);
            return;
        }
        let (request, candidates) = (active.metadata.id.clone(), active.candidates);
        let patience_ms = millis(until.saturating_duration_since(cx.now()));
        let queue = &mut self.traffic(&service).queue;
        queue.push(rank, until, id);
        let (waiting, service) = (queue.len() - 1, service.to_string());
        Event::Queued { request, service, rank, candidates, waiting, patience_ms }.tell();
        self.update_queue_timer(cx);
    }

    /// Tells the caller of a request that nobody took when to come back.
    fn refuse_unplaced(&mut self, cx: CX![], id: names::Request) {
        let Some(active) = self.active(id) else {
            return;
        };
        let (now, deadline) = (cx.now(), active.deadline);
        match (active.is_started, active.runs > 0) {
            (true, _) => self.abort_response(now, id, "no_upstream"),
            (false, true) => self.refuse(now, id, problems::failed()),
            (false, false) => self.refuse(now, id, problems::full(now, deadline)),
        }
        self.finish(cx, id);
    }

    /// Sets the timer for those who wait.
    fn update_queue_timer(&mut self, cx: CX![]) {
        let next =
            self.service_traffic.iter().filter_map(|traffic| traffic.queue.next_expiry()).min();
        let waiting: usize = self.service_traffic.iter().map(|traffic| traffic.queue.len()).sum();
        self.metrics.relay.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        cx.timer_del(self.queue_timer);
        if let Some(next) = next {
            self.queue_timer = at!(next, [cx], expire_queued());
        }
    }

    fn expire_queued(&mut self, cx: CX![]) {
        let now = cx.now();
        let lines = self.service_traffic.iter_mut().flat_map(|traffic| traffic.queue.expire(now));
        let expired: Vec<names::Request> = lines.collect();
        for id in expired {
            if self.try_send(cx, id) == Placement::Full {
                self.refuse_unplaced(cx, id);
            }
        }
        self.update_queue_timer(cx);
    }

    /// Sends what waits, everywhere.
    pub(super) fn serve_queues(&mut self, cx: CX![]) {
        let services: Vec<_> =
            self.service_traffic.iter().map(|traffic| traffic.service.clone()).collect();
        services.iter().for_each(|service| self.serve_queue(cx, service));
    }

    /// Sends what waits for upstreams of `service`, the first first.
    pub(super) fn serve_queue(&mut self, cx: CX![], service: &names::Service) {
        for id in self.traffic(service).queue.items() {
            if forward::is_wide(self.entry_instances) {
                // Those behind it go on when it has found room.
                self.traffic(service).queue.remove(&id);
                self.place(cx, id);
                return;
            }
            if self.try_send(cx, id) == Placement::Full {
                return;
            }
            self.traffic(service).queue.remove(&id);
        }
    }
}
