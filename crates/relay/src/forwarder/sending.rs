//! Sends requests to the upstreams that were chosen.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalogue::{Repeat, Service};
use dispatch::Outbound;
use names::{Attempt, Upstream};
use rand::RngExt;
use stakker::{CX, FixedTimerKey, at, call};
use telemetry::{Cause, Event};

use super::active::{Active, Running};
use super::{Forwarder, Link, millis};

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

impl Forwarder {
    /// Sends a request to `upstream`, which holds `load` requests and where its place is reserved.
    pub(super) fn send(&mut self, cx: CX![], id: names::Request, upstream: &Upstream, load: f64) {
        let Ok(index) = self.find(id) else {
            return;
        };
        let now = cx.now();
        let Some(place) = self.table.place(upstream) else {
            // It has left since it was chosen.
            self.place(cx, id);
            return;
        };
        let catalogue = self.catalogue.as_ref();
        let service = catalogue.and_then(|one| one.service(&self.actives[index].service)).cloned();
        let source = self.source(now, index, service.as_ref(), upstream);
        let (connections, number) = (self.connections(service.as_ref()), self.number());
        let attempt = Attempt(rand::rng().random());
        let active = &mut self.actives[index];
        let leg = active.leg(now, upstream.clone(), source);
        let is_once = active.route.repeat == Repeat::Never;
        let outbound = Outbound {
            attempt,
            address: place.address,
            head: self.interface.upstreams.head(&active.request, &leg),
            body: active.body.clone(),
            has_no_body: active.request.method == entry::Method::Head,
            echo: self.interface.upstreams.echo(&active.request),
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
            upstream: upstream.to_string(),
            load,
            heard_ms: millis(now.saturating_duration_since(place.heard)),
            candidates: active.candidates,
            left_ms: millis(active.deadline.saturating_duration_since(now)),
            catalogue: number,
        }
        .tell();
        self.metrics.relay.count_attempt(&cause.to_string());
        if cause == Cause::First {
            let waited = now.saturating_duration_since(active.arrived);
            self.metrics.relay.observe_queueing(&active.route.repeat.to_string(), waited);
        }
        active.tried.push(upstream.clone());
        let timer = match give_up_at(active, now) {
            Some(at) => at!(at, [cx], give_up(id, attempt)),
            None => FixedTimerKey::default(),
        };
        active.running = Some(Running {
            attempt,
            upstream: upstream.clone(),
            since: now,
            tokens: active.own_tokens(),
            has_head: false,
            status: 0,
            first: None,
            parts: 0,
            timer,
            event_by: None,
        });
        let link = self.links.partition_point(|link| link.attempt < attempt);
        self.links.insert(link, Link { attempt, request: id });
        call!([self.client], call(outbound));
    }

    /// Where the engine chosen may fetch context of the request at `index`.
    fn source(
        &self,
        now: Instant,
        index: usize,
        service: Option<&Service>,
        chosen: &Upstream,
    ) -> Option<SocketAddr> {
        service?.engine.as_ref()?.transfer?;
        let active = &self.actives[index];
        let key = active.wish().key?;
        let sources = self.table.sources(now, &active.service);
        let source = forward::source(&sources, chosen, key, &self.holders, now)?;
        self.table.place(&sources[source].upstream).map(|place| place.address)
    }

    /// Most connections that this instance may open to one upstream.
    fn connections(&self, service: Option<&Service>) -> usize {
        let all = service.map_or(LEAST_CONNECTIONS, |service| service.connections);
        let share = all as f64 * CONNECTION_SHARE / self.entries.max(1) as f64;
        (share as usize).max(LEAST_CONNECTIONS)
    }
}

/// When an attempt without an answer is given up for another one; none if it is waited for.
fn give_up_at(active: &Active, now: Instant) -> Option<Instant> {
    let is_last = active.runs + 1 >= active.route.attempts.max(1);
    let span = match active.route.repeat {
        _ if is_last || active.is_started => return None,
        Repeat::Never => return None,
        Repeat::Whole => active.route.objective,
        Repeat::Resumed => active.route.objective * 4,
    };
    Some(now + span).filter(|at| *at < active.deadline)
}
