//! Handles the ends of responses.
//!
//! A length or chunks prove that a response is complete. Without them a response ends with its
//! connection, which a crash closes in the same way. Such an end is held back until it is known
//! whether the upstream lives on.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dispatch::{Listening, StreamError, Verdict};
use entry::Reply;
use forward::StreamTracker;
use names::Attempt;
use stakker::{CX, at, call, ret_some_to};
use telemetry::Event;

use super::active_request::RunningAttempt;
use super::{Forwarder, millis};

/// Time between the end of a connection and the check whether its upstream lives on. A process that
/// ends closes its connections and its listening socket within this time.
const CHECK_DELAY: Duration = Duration::from_millis(20);

/// Time that the check may take. It adds to the time of an answer, and a host that does not respond
/// is no sign of a crash.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// What shows that a response has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum End {
    /// Its length or its last chunk.
    Proven,
    /// Its connection, which the upstream has closed properly.
    Closed,
}

impl Forwarder {
    /// Handles the end of a response whose length or last chunk shows that it is complete.
    pub(super) fn receive_end(&mut self, cx: CX![], id: names::Request) {
        match self.check_end(id, End::Proven) {
            Ok(()) => {
                self.record_sound(cx.now(), id, true);
                self.complete(cx, id, End::Proven);
            }
            Err(error) => self.receive_broken_end(cx, id, &error.to_string()),
        }
    }

    /// Handles the end of a connection that may be the end of the response.
    pub(super) fn receive_close(&mut self, cx: CX![], id: names::Request) {
        if let Err(error) = self.check_end(id, End::Closed) {
            self.receive_broken_end(cx, id, &error.to_string());
            return;
        }
        self.suspect_crash(cx, id);
        let Some(running) = self.active(id).and_then(|active| active.running.as_mut()) else {
            return;
        };
        running.event_due = None;
        running.is_closed = true;
        let attempt = running.attempt;
        match self.running_address(id, attempt) {
            Some(_) => {
                at!(cx.now() + CHECK_DELAY, [cx], check_upstream_lives(id, attempt));
            }
            None => self.complete(cx, id, End::Closed),
        }
    }

    /// Returns the address of the upstream of `attempt` if that is still in progress. `None` as well
    /// if the upstream has said that it leaves, so that it may end after its last response.
    fn running_address(&mut self, id: names::Request, attempt: Attempt) -> Option<SocketAddr> {
        let running = self.active(id)?.running.as_ref();
        let running = running.filter(|running| running.attempt == attempt)?;
        let (upstream, born) = (running.upstream.clone(), running.born);
        self.table.expected_address(&upstream, born)
    }

    fn check_upstream_lives(&mut self, cx: CX![], id: names::Request, attempt: Attempt) {
        match self.running_address(id, attempt) {
            Some(address) => {
                let deadline = cx.now() + CHECK_TIMEOUT;
                let result = ret_some_to!([cx], finish_check_of_end(id, attempt) as (Listening));
                call!([self.client], check_listening(address, deadline, result));
            }
            None => self.finish_check_of_end(cx, id, attempt, Listening::Unknown),
        }
    }

    fn finish_check_of_end(
        &mut self,
        cx: CX![],
        id: names::Request,
        attempt: Attempt,
        listening: Listening,
    ) {
        let is_running = self.active(id).and_then(|active| active.running.as_ref());
        if is_running.is_none_or(|running| running.attempt != attempt) {
            return;
        }
        match (listening, self.running_address(id, attempt)) {
            (Listening::Refuses, Some(_)) => {
                let reason = "the upstream ended together with its response";
                self.receive_failure(cx, id, Verdict::MayHaveRun, reason);
            }
            (Listening::Accepts, _) => {
                self.record_sound(cx.now(), id, true);
                self.complete(cx, id, End::Closed);
            }
            _ => self.complete(cx, id, End::Closed),
        }
    }

    /// Checks that a response which ends now does not end within an event.
    fn check_end(&mut self, id: names::Request, end: End) -> Result<(), StreamError> {
        let Some(active) = self.active(id) else {
            return Ok(());
        };
        match (&active.stream_tracker, &active.running) {
            (Some(stream_tracker), _) if stream_tracker.is_resumed() => stream_tracker.check_end(),
            (_, Some(running)) if running.boundary.is_within_event(end == End::Proven) => {
                Err(StreamError::Incomplete)
            }
            _ => Ok(()),
        }
    }

    fn receive_broken_end(&mut self, cx: CX![], id: names::Request, reason: &str) {
        self.suspect_crash(cx, id);
        self.receive_failure(cx, id, Verdict::MayHaveRun, reason);
    }

    /// Ends a request whose response is complete.
    pub(super) fn complete(&mut self, cx: CX![], id: names::Request, end: End) {
        let now = cx.now();
        let Some(active) = self.active(id) else {
            return;
        };
        let rest = active.stream_tracker.take().map(StreamTracker::into_partial_event);
        if let Some(rest) = rest.filter(|rest| !rest.is_empty()) {
            active.reply.fwd(Reply::Part(rest));
        }
        active.reply.fwd(Reply::End);
        let (service, is_streaming) = (active.service.clone(), active.route.is_streaming);
        if let Some(running) = self.end_attempt(cx, id) {
            if !is_streaming {
                let duration = now.saturating_duration_since(running.started_at);
                self.report_latency(now, &running.upstream, duration);
            }
            self.record_answered(now, id, &running, end);
            self.table.record_success(&service, &running.upstream);
            let latency = match (running.first_byte_at, running.parts) {
                (Some(first), 2..) => {
                    now.saturating_duration_since(first) / (running.parts - 1).max(1)
                }
                _ => now.saturating_duration_since(running.started_at),
            };
            self.table.record_latency(now, &service, &running.upstream, latency);
        }
        self.finish(cx, id);
    }

    /// Logs and counts a request that is answered.
    fn record_answered(
        &mut self,
        now: Instant,
        id: names::Request,
        running: &RunningAttempt,
        end: End,
    ) {
        let Some(active) = self.active(id) else {
            return;
        };
        let total = now.saturating_duration_since(active.arrived_at);
        let first = running
            .first_byte_at
            .map_or(total, |at| at.saturating_duration_since(active.arrived_at));
        let kind = active.route.repeat.to_string();
        Event::Answered {
            request: active.metadata.id.clone(),
            upstream: running.upstream.to_string(),
            status: running.status,
            first_ms: millis(first),
            total_ms: millis(total),
            attempts: active.tried.len(),
            end: end.to_string(),
        }
        .write();
        self.metrics.relay.observe_answer(&kind, first, total, running.parts);
        self.count_outcome(kind, "answered", "none");
    }
}
