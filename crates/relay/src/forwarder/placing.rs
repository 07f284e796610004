//! Chooses upstreams for requests, or has these wait.

use std::time::{Duration, Instant};

use forward::{Affinity, Candidate, LeastLoad, Policy, Wish};
use stakker::{CX, at};
use telemetry::Event;

use super::{Forwarder, millis, problems};

/// Requests held for each slot of a plain service at most.
const PLAIN_FILL: f64 = 1.5;

/// By how many requests an upstream in another data centre must have less.
const DISTANCE: f64 = 2.0;

/// Part of its objective that a request may wait for an upstream with room; after that another
/// try of its caller, elsewhere, serves it better.
const PATIENCE_PART: u32 = 8;

/// Shortest such wait.
const LEAST_PATIENCE: Duration = Duration::from_millis(30);

/// What became of a request that looked for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Placed {
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
        if self.try_send(cx, id) == Placed::Full {
            self.wait(cx, id);
        }
    }

    fn try_send(&mut self, cx: CX![], id: names::Request) -> Placed {
        let Ok(index) = self.find(id) else {
            return Placed::Sent;
        };
        let now = cx.now();
        let active = &self.actives[index];
        let (wish, tokens) = (active.wish(), active.own_tokens());
        let has_engine = self.has_engine(&active.service);
        let candidates = self.candidates(now, index);
        let active = &mut self.actives[index];
        active.candidates = candidates.len();
        active.unusable = candidates.iter().filter(|one| one.is_avoided).count();
        if let Some((search, choices)) = self.search(now, &candidates, has_engine, wish) {
            return self.walk(cx, id, search, choices);
        }
        let Some(chosen) = self.choose(&candidates, has_engine, wish) else {
            return Placed::Full;
        };
        let Candidate { upstream, load, .. } = &candidates[chosen];
        self.table.begin(now, upstream, tokens);
        self.send(cx, id, upstream, *load);
        Placed::Sent
    }

    /// The upstreams that the request at `index` could be sent to.
    pub(super) fn candidates(&mut self, now: Instant, index: usize) -> Vec<Candidate> {
        let active = &self.actives[index];
        // Engines are chosen from all data centres, others mostly from this one.
        let has_engine = self.has_engine(&active.service);
        let sharers = if has_engine { self.entries } else { self.near_entries };
        let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
        self.table.candidates(now, &active.service, &active.tried, sharers)
    }

    pub(super) fn has_engine(&self, service: &names::Service) -> bool {
        let found = self.catalogue.as_ref().and_then(|catalogue| catalogue.service(service));
        found.is_some_and(|service| service.engine.is_some())
    }

    fn choose(&self, candidates: &[Candidate], has_engine: bool, wish: Wish) -> Option<usize> {
        let policy: &dyn Policy = match has_engine {
            true => &Affinity::new(self.settings.direct.load_bound, self.entries),
            false => &LeastLoad { fill: PLAIN_FILL, distance: DISTANCE },
        };
        policy.choose(candidates, wish)
    }

    /// Has a request wait until an upstream has room, or refuses it.
    pub(super) fn wait(&mut self, cx: CX![], id: names::Request) {
        let Some(active) = self.active(id) else {
            return;
        };
        let patience = (active.route.objective / PATIENCE_PART).max(LEAST_PATIENCE);
        let until = (active.arrived + patience).min(active.deadline);
        let (rank, service) = (active.rank, active.service.clone());
        if until <= cx.now() {
            self.give_back(cx, id);
            return;
        }
        let (request, candidates) = (active.ask.id.clone(), active.candidates);
        let patience_ms = millis(until.saturating_duration_since(cx.now()));
        let line = &mut self.flow(&service).line;
        line.push(rank, until, id);
        let (waiting, service) = (line.len() - 1, service.to_string());
        Event::Queued { request, service, rank, candidates, waiting, patience_ms }.tell();
        self.watch_lines(cx);
    }

    /// Tells the caller of a request that nobody took when to come back.
    fn give_back(&mut self, cx: CX![], id: names::Request) {
        let Some(active) = self.active(id) else {
            return;
        };
        let (now, deadline) = (cx.now(), active.deadline);
        match (active.is_started, active.runs > 0) {
            (true, _) => self.cut(now, id, "no_upstream"),
            (false, true) => self.refuse(now, id, problems::failed()),
            (false, false) => self.refuse(now, id, problems::full(now, deadline)),
        }
        self.finish(cx, id);
    }

    /// Sets the timer for those who wait.
    fn watch_lines(&mut self, cx: CX![]) {
        let next = self.flows.iter().filter_map(|flow| flow.line.next_expiry()).min();
        let waiting: usize = self.flows.iter().map(|flow| flow.line.len()).sum();
        self.metrics.relay.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        cx.timer_del(self.line_timer);
        if let Some(next) = next {
            self.line_timer = at!(next, [cx], expire_lines());
        }
    }

    fn expire_lines(&mut self, cx: CX![]) {
        let now = cx.now();
        let lines = self.flows.iter_mut().flat_map(|flow| flow.line.expire(now));
        let expired: Vec<names::Request> = lines.collect();
        for id in expired {
            if self.try_send(cx, id) == Placed::Full {
                self.give_back(cx, id);
            }
        }
        self.watch_lines(cx);
    }

    /// Sends what waits, everywhere.
    pub(super) fn serve_lines(&mut self, cx: CX![]) {
        let services: Vec<_> = self.flows.iter().map(|flow| flow.service.clone()).collect();
        services.iter().for_each(|service| self.serve_line(cx, service));
    }

    /// Sends what waits for upstreams of `service`, the first first.
    pub(super) fn serve_line(&mut self, cx: CX![], service: &names::Service) {
        for id in self.flow(service).line.items() {
            if forward::is_wide(self.entries) {
                // Those behind it go on when it has found room.
                self.flow(service).line.remove(&id);
                self.place(cx, id);
                return;
            }
            if self.try_send(cx, id) == Placed::Full {
                return;
            }
            self.flow(service).line.remove(&id);
        }
    }
}
