//! Ends of requests: refusals, aborted responses, deadlines and callers that disconnect.

use std::time::Instant;

use dispatch::Verdict;
use entry::{Problem, Reply};
use stakker::CX;
use telemetry::{self as events, OutcomeLabels};

use super::ends::End;
use super::{Forwarder, millis, problems};

impl Forwarder {
    /// Ends a request whose caller has disconnected. The upstream notices the end when its
    /// connection is closed.
    pub(super) fn handle_disconnect(&mut self, cx: CX![], id: names::Request) {
        let now = cx.now();
        self.startup.remove(|arrival| arrival.request.id == id);
        if let Some(active) = self.active(id) {
            events::Event::Left {
                request: active.metadata.id.clone(),
                after_ms: millis(now.saturating_duration_since(active.arrived_at)),
                was_sent: !active.tried.is_empty(),
            }
            .write();
            let verdict = if active.tried.is_empty() { "not-run" } else { "may-have-run" };
            let kind = active.route.repeat.to_string();
            self.count_outcome(kind, verdict, "caller_left");
        }
        self.stop_attempt(cx, id);
        self.finish(cx, id);
    }

    /// Ends a request whose deadline has passed.
    pub(super) fn expire(&mut self, cx: CX![], id: names::Request) {
        let Some(active) = self.active(id) else {
            return;
        };
        if active.is_closed() {
            self.complete(cx, id, End::Closed);
            return;
        }
        let (is_started, now, deadline) = (active.is_started, cx.now(), active.deadline);
        let problem = match active.unsent.as_ref() {
            Some(unsent) => problems::full(unsent, now, deadline),
            None => problems::timed_out(),
        };
        self.stop_attempt(cx, id);
        match is_started {
            true => self.abort_response(now, id, "deadline"),
            false => self.refuse(now, id, problem),
        }
        self.finish(cx, id);
    }

    pub(super) fn count_outcome(&self, kind: String, verdict: &str, reason: &str) {
        let (verdict, reason) = (verdict.to_string(), reason.to_string());
        self.metrics.relay.count_outcome(&OutcomeLabels { kind, verdict, reason });
    }

    /// Aborts a response in such a way that the caller can detect that it is incomplete.
    pub(super) fn abort_response(&mut self, now: Instant, id: names::Request, reason: &str) {
        let Some(active) = self.active(id) else {
            return;
        };
        events::Event::Cut {
            request: active.metadata.id.clone(),
            reason: reason.to_string(),
            after_ms: millis(now.saturating_duration_since(active.arrived_at)),
        }
        .write();
        active.reply.fwd(Reply::Cut);
        let kind = active.route.repeat.to_string();
        self.count_outcome(kind, "may-have-run", reason);
    }

    pub(super) fn reply(&mut self, id: names::Request, reply: Reply) {
        if let Some(active) = self.active(id) {
            active.reply.fwd(reply);
        }
    }

    pub(super) fn refuse(&mut self, now: Instant, id: names::Request, problem: Problem) {
        self.metrics.count_refused(problem.code());
        let catalogue = self.catalogue_number();
        if let Some(active) = self.active(id) {
            let has_not_run = active.running.is_none() && active.runs == 0;
            debug_assert!(has_not_run || !problem.status().is_promise(), "{problem:?}");
            debug_assert!(has_not_run || problem.verdict() != Verdict::NotRun, "{problem:?}");
            events::Event::Refused {
                request: active.metadata.id.clone(),
                service: active.service.to_string(),
                status: problem.status().0,
                reason: problem.code().to_string(),
                verdict: problem.verdict().to_string(),
                retry_after_ms: problem.retry_after().map(millis),
                after_ms: millis(now.saturating_duration_since(active.arrived_at)),
                left_ms: millis(active.deadline.saturating_duration_since(now)),
                runs: active.runs,
                refusals: active.refusals,
                candidates: active.candidates,
                unusable: active.unusable,
                catalogue,
            }
            .write();
            let kind = active.route.repeat.to_string();
            self.count_outcome(kind, &problem.verdict().to_string(), problem.code());
        }
        let refusal = self.interface.callers.refusal(problem);
        self.reply(id, refusal);
    }

    /// Removes a request that is answered.
    pub(super) fn finish(&mut self, cx: CX![], id: names::Request) {
        let Ok(index) = self.find(id) else {
            return;
        };
        let mut active = self.requests.remove(index);
        cx.timer_del(active.timer);
        if let Some(search) = active.search.take() {
            self.abandon_search(cx, id, &search);
        }
        self.traffic(&active.service).queue.remove(&id);
        self.serve_queue(cx, &active.service);
    }
}
