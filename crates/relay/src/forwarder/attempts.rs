//! Sends requests to the chosen upstreams.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalogue::{Repeat, Service};
use dispatch::Outbound;
use forward::EventBoundary;
use names::{Attempt, Upstream};
use rand::RngExt;
use stakker::{CX, FixedTimerKey, at, call};
use telemetry::{Cause, Event};

use super::active_request::{ActiveRequest, RunningAttempt};
use super::{AttemptOwner, Forwarder, millis};

/// Timeout for connecting to an upstream, sufficient for many round trips between data centres and
/// the loss of the first packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum idle time of a connection that is used for a request that must not run twice.
const MAX_IDLE_WITHOUT_RETRY: Duration = Duration::from_millis(1000);

/// Minimum number of connections to one upstream that an instance may open.
const MIN_CONNECTIONS: usize = 4;

/// Fraction of an upstream's connections that all instances use together, so that instances with
/// different views of the fleet do not exceed the limit.
const CONNECTION_FRACTION: f64 = 0.9;

impl Forwarder {
    /// Sends a request to `upstream`, which has `load` requests. Capacity for the request is
    /// already reserved there. An attempt in progress, whose upstream is silent, ends.
    pub(super) fn send(&mut self, cx: CX![], id: names::Request, upstream: &Upstream, load: f64) {
        let Ok(index) = self.find(id) else {
            return;
        };
        let now = cx.now();
        if !self.may_send_keys(now, index) {
            let tokens = self.requests[index].own_tokens();
            self.release(now, id, upstream, tokens);
            self.refuse_quarantined(cx, id);
            return;
        }
        let Some(endpoint) = self.table.endpoint(upstream) else {
            // The upstream has left since it was chosen.
            if self.requests[index].running.is_none() {
                self.place(cx, id);
            }
            return;
        };
        let is_in_progress = self.requests[index].running.is_some();
        let size = self.requests[index].size();
        if self.table.is_cordoned(now, upstream)
            || !self.has_room(upstream, size)
            || (is_in_progress && !self.leave_silent_upstream(cx, id))
        {
            // Since the upstream was chosen, it has asked for no new requests or got too many bytes,
            // or the request stays.
            let tokens = self.requests[index].own_tokens();
            self.release(now, id, upstream, tokens);
            if !is_in_progress {
                self.place(cx, id);
            }
            return;
        }
        let catalogue = self.catalogue.as_ref();
        let service = catalogue
            .and_then(|catalogue| catalogue.service(&self.requests[index].service))
            .cloned();
        let source = self.context_source(now, index, service.as_ref(), upstream);
        let (connections, catalogue_number) =
            (self.connection_limit(&self.requests[index]), self.catalogue_number());
        let attempt = Attempt(rand::rng().random());
        self.table.count_sent(now, upstream, endpoint.born);
        if !forward::is_large_fleet(self.entry_count) && self.table.is_cold(upstream) {
            self.metrics.relay.cold_granted.inc();
        }
        self.count_bytes(upstream, endpoint.born, size);
        let active = &mut self.requests[index];
        let metadata = active.attempt_metadata(now, upstream.clone(), source);
        let first_sent_at = active.record_sent(now, endpoint.address);
        let echo = self.interface.upstreams.expected_echo(&active.request);
        let is_never_retried = active.route.repeat == Repeat::Never;
        let outbound = Outbound {
            attempt,
            address: endpoint.address,
            head: self.interface.upstreams.request_head(&active.request, &metadata),
            body: active.body.clone(),
            has_no_body: active.request.method == entry::Method::Head,
            connect_deadline: now + CONNECT_TIMEOUT,
            deadline: None,
            max_connection_idle: match (is_never_retried, &echo) {
                (false, _) => Duration::MAX / 4,
                (true, Some(_)) => MAX_IDLE_WITHOUT_RETRY,
                // Nothing tells its response from a late copy of another one.
                (true, None) => Duration::ZERO,
            },
            echo,
            head_fields: self.interface.upstreams.head_fields(),
            first_sent_at,
            holds_chunks: active.stream_tracker.is_some(),
            max_connections: connections,
        };
        let cause = match (active.is_started, active.tried.is_empty()) {
            (true, _) => Cause::Resumed,
            (false, true) => Cause::First,
            (false, false) => Cause::Again,
        };
        Event::Sent {
            request: active.metadata.id.clone(),
            service: active.service.to_string(),
            attempt: attempt.to_string(),
            cause,
            upstream: upstream.to_string(),
            load,
            pace: active.basis.map(|basis| basis.work.pace_percent as u64),
            unread: active.basis.map(|basis| basis.work.unread_tokens as u64),
            is_moved: active.basis.map(|basis| basis.is_moved),
            heard_ms: millis(now.saturating_duration_since(endpoint.last_heard)),
            candidates: active.candidates,
            left_ms: millis(active.deadline.saturating_duration_since(now)),
            catalogue: catalogue_number,
        }
        .write();
        self.metrics.relay.count_attempt(&cause.to_string());
        if cause == Cause::First {
            let waited = now.saturating_duration_since(active.arrived_at);
            self.metrics.relay.observe_queueing(&active.route.repeat.to_string(), waited);
        }
        active.tried.push(upstream.clone());
        let response_due = response_due(active, now);
        let timer = match response_due {
            Some(due) => at!(due, [cx], check_silence(id)),
            None => FixedTimerKey::default(),
        };
        active.running = Some(RunningAttempt {
            attempt,
            upstream: upstream.clone(),
            born: endpoint.born,
            unsent: active.unsent.take(),
            started_at: now,
            size,
            tokens: active.own_tokens(),
            head_at: None,
            pace: None,
            status: 0,
            first_byte_at: None,
            parts: 0,
            is_sound: false,
            boundary: EventBoundary::typed(false),
            broken: None,
            is_closed: false,
            timer,
            event_due: None,
            response_due,
            is_stall_logged: false,
        });
        self.record_start(now, index);
        let position = self.attempt_owners.partition_point(|owner| owner.attempt < attempt);
        self.attempt_owners.insert(position, AttemptOwner { attempt, request: id });
        call!([self.client], call(outbound));
    }

    /// Returns the address from which the chosen engine may fetch context of the request at
    /// `index`.
    fn context_source(
        &self,
        now: Instant,
        index: usize,
        service: Option<&Service>,
        chosen: &Upstream,
    ) -> Option<SocketAddr> {
        service?.engine.as_ref()?.transfer?;
        let active = &self.requests[index];
        let key = active.routing_key().affinity_key?;
        let sources = self.table.sources(now, &active.service);
        let source = forward::find_context_source(&sources, chosen, key, &self.holders, now)?;
        self.table.endpoint(&sources[source].upstream).map(|endpoint| endpoint.address)
    }

    /// Returns the maximum number of connections that this instance may open to one upstream for a
    /// request.
    pub(super) fn connection_limit(&self, active: &ActiveRequest) -> usize {
        let catalogue = self.catalogue.as_ref();
        let service = catalogue.and_then(|catalogue| catalogue.service(&active.service));
        let connections = service.map(|service| service.connections).or(active.connections);
        let total = connections.unwrap_or(MIN_CONNECTIONS);
        let share = total as f64 * CONNECTION_FRACTION / self.entry_count.max(1) as f64;
        (share as usize).max(MIN_CONNECTIONS)
    }
}

/// Returns the time from which an attempt without a response may end in favour of another one, or
/// `None` if it never does.
fn response_due(active: &ActiveRequest, now: Instant) -> Option<Instant> {
    let is_last = active.runs + 1 >= active.route.attempts.max(1);
    let timeout = match active.route.repeat {
        _ if is_last || active.is_started => return None,
        Repeat::Never => return None,
        Repeat::Whole => active.route.objective,
        Repeat::Resumed => active.route.objective * 4,
    };
    Some(now + timeout).filter(|at| *at < active.deadline)
}
