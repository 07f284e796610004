//! Sends requests to upstreams, or has them wait.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalogue::{Repeat, Service};
use dispatch::Outbound;
use forward::{Affinity, Candidate, LeastLoad, Policy, Wish};
use names::Attempt;
use rand::RngExt;
use stakker::{CX, FixedTimerKey, at, call};
use telemetry::{Cause, Event};

use super::active::Running;
use super::{Forwarder, Link, millis, problems};

/// How long connecting to an upstream may take: many round trips between data centres, and one
/// lost packet at the start.
const CONNECT_SPAN: Duration = Duration::from_millis(400);

/// How long a connection may have been idle for a request that must not run twice.
const YOUNG_IDLE: Duration = Duration::from_millis(1000);

/// Fewest connections to one upstream that an instance may open.
const LEAST_CONNECTIONS: usize = 4;

/// Share of an upstream's connections that all instances use together, so that views that differ
/// do not overrun it.
const CONNECTION_SHARE: f64 = 0.9;

/// Requests held for each slot of a plain service at most.
const PLAIN_FILL: f64 = 1.5;

/// By how many requests an upstream in another data centre must have less.
const DISTANCE: f64 = 2.0;

/// Part of its objective that a request may wait for an upstream with room; after that another
/// try of its caller, elsewhere, serves it better.
const PATIENCE_PART: u32 = 8;

/// Shortest such wait.
const LEAST_PATIENCE: Duration = Duration::from_millis(30);

impl Forwarder {
    /// Sends a request to an upstream, or has it wait for one.
    pub(super) fn place(&mut self, cx: CX![], id: names::Request) {
        if !self.try_send(cx, id) {
            self.wait(cx, id);
        }
    }

    fn try_send(&mut self, cx: CX![], id: names::Request) -> bool {
        let Ok(index) = self.find(id) else {
            return true;
        };
        let now = cx.now();
        let active = &self.actives[index];
        let has_engine = self.has_engine(&active.service);
        // Engines are chosen from all data centres, others mostly from this one.
        let sharers = if has_engine { self.entries } else { self.near_entries };
        let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
        let candidates = self.table.candidates(now, &active.service, &active.tried, sharers);
        let catalogue = self.catalogue.as_ref();
        let service = catalogue.and_then(|one| one.service(&active.service)).cloned();
        let chosen = self.choose(&candidates, has_engine, active.wish());
        let active = &mut self.actives[index];
        active.candidates = candidates.len();
        active.unusable = candidates.iter().filter(|one| one.is_avoided).count();
        let Some(chosen) = chosen else {
            return false;
        };
        let candidate = &candidates[chosen];
        let (tokens, load, wish) = (active.own_tokens(), candidate.load, active.wish());
        let source = self.source(wish, service.as_ref(), &candidates, chosen);
        let Some(place) = self.table.begin(now, &candidate.upstream, tokens) else {
            return false;
        };
        let (connections, number) = (self.connections(service.as_ref()), self.number());
        let attempt = Attempt(rand::rng().random());
        let active = &mut self.actives[index];
        let leg = active.leg(now, place.upstream.clone(), source);
        let head = self.interface.upstreams.head(&active.request, &leg);
        let echo = self.interface.upstreams.echo(&active.request);
        let is_once = active.route.repeat == Repeat::Never;
        let outbound = Outbound {
            attempt,
            address: place.address,
            head,
            body: active.body.clone(),
            has_no_body: active.request.method == entry::Method::Head,
            echo,
            connect_by: now + CONNECT_SPAN,
            deadline: None,
            idle_at_most: if is_once { YOUNG_IDLE } else { Duration::MAX / 4 },
            connections,
        };
        let cause = match (active.is_started, active.tried.is_empty()) {
            (true, _) => Cause::Resumed,
            (false, true) => Cause::First,
            (false, false) => Cause::Again,
        };
        Event::Sent {
            request: active.ask.id.clone(),
            service: active.service.to_string(),
            attempt: attempt.to_string(),
            cause,
            upstream: place.upstream.to_string(),
            load,
            heard_ms: millis(now.saturating_duration_since(place.heard)),
            candidates: candidates.len(),
            left_ms: millis(active.deadline.saturating_duration_since(now)),
            catalogue: number,
        }
        .tell();
        self.metrics.relay.count_attempt(&cause.to_string());
        if cause == Cause::First {
            let waited = now.saturating_duration_since(active.arrived);
            self.metrics.relay.observe_queueing(&active.route.repeat.to_string(), waited);
        }
        active.tried.push(place.upstream.clone());
        let timer = match give_up_at(active, now) {
            Some(at) => at!(at, [cx], give_up(id, attempt)),
            None => FixedTimerKey::default(),
        };
        active.running = Some(Running {
            attempt,
            upstream: place.upstream,
            since: now,
            tokens,
            has_head: false,
            status: 0,
            first: None,
            parts: 0,
            timer,
        });
        let link = self.links.partition_point(|link| link.attempt < attempt);
        self.links.insert(link, Link { attempt, request: id });
        call!([self.client], call(outbound));
        true
    }

    fn has_engine(&self, service: &names::Service) -> bool {
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

    /// Where the engine chosen may fetch context of the request.
    fn source(
        &self,
        wish: Wish,
        service: Option<&Service>,
        candidates: &[Candidate],
        chosen: usize,
    ) -> Option<SocketAddr> {
        service?.engine.as_ref()?.transfer?;
        let place = forward::source(candidates, chosen, wish.key?)?;
        self.table.address(&candidates[place].upstream)
    }

    /// Most connections that this instance may open to one upstream.
    fn connections(&self, service: Option<&Service>) -> usize {
        let all = service.map_or(LEAST_CONNECTIONS, |service| service.connections);
        let share = all as f64 * CONNECTION_SHARE / self.entries.max(1) as f64;
        (share as usize).max(LEAST_CONNECTIONS)
    }

    /// Has a request wait until an upstream has room, or refuses it.
    fn wait(&mut self, cx: CX![], id: names::Request) {
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
            if !self.try_send(cx, id) {
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
            if !self.try_send(cx, id) {
                return;
            }
            self.flow(service).line.remove(&id);
        }
    }
}

/// When an attempt without an answer is given up for another one; none if it is waited for.
fn give_up_at(active: &super::active::Active, now: Instant) -> Option<Instant> {
    let is_last = active.runs + 1 >= active.route.attempts.max(1);
    let span = match active.route.repeat {
        _ if is_last || active.is_started => return None,
        Repeat::Never => return None,
        Repeat::Whole => active.route.objective,
        Repeat::Resumed => active.route.objective * 4,
    };
    Some(now + span).filter(|at| *at < active.deadline)
}
