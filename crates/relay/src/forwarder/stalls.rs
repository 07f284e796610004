//! Detects attempts whose upstream does not respond or has stopped sending.

use std::time::{Duration, Instant};

use dispatch::Verdict;
use forward::RetryDecision;
use names::Attempt;
use stakker::{CX, after};

use super::Forwarder;
use super::active_request::ActiveRequest;

/// Interval between two checks for stalled streams.
pub(super) const STALL_PERIOD: Duration = Duration::from_millis(200);

impl Forwarder {
    /// Continues streams at another upstream if their upstream has stalled. A stalled upstream
    /// sends nothing at all, or occasional bytes that complete no event. If no upstream takes new
    /// requests, the stream may still go on where it is.
    pub(super) fn check_stalls(&mut self, cx: CX![]) {
        let now = cx.now();
        let is_silent = |active: &&ActiveRequest| {
            let running = active.running.as_ref().filter(|running| running.has_head);
            running.is_some_and(|running| self.table.is_stalled(now, &running.upstream))
                && self.may_move(now, active)
        };
        let silent: Vec<_> =
            self.requests.iter().filter(is_silent).map(ActiveRequest::id).collect();
        for id in silent {
            let running = self.stop_attempt(cx, id);
            self.retry_or_finish(cx, id, running, Verdict::MayHaveRun, "the upstream sent nothing");
        }
        let is_overdue = |active: &&ActiveRequest| {
            let event_due = active.running.as_ref().and_then(|running| running.event_due);
            event_due.is_some_and(|event_due| now > event_due) && self.may_move(now, active)
        };
        let overdue: Vec<_> =
            self.requests.iter().filter(is_overdue).map(ActiveRequest::id).collect();
        for id in overdue {
            let service = self.active(id).map(|active| active.service.clone());
            let running = self.stop_attempt(cx, id);
            if let (Some(service), Some(running)) = (service, &running) {
                self.table.record_failure(now, &service, &running.upstream, false);
            }
            self.retry_or_finish(
                cx,
                id,
                running,
                Verdict::MayHaveRun,
                "the upstream sent no event",
            );
        }
        after!(STALL_PERIOD, [cx], check_stalls());
    }

    /// Returns whether a stream can be resumed by an upstream that takes new requests.
    fn may_move(&self, now: Instant, active: &ActiveRequest) -> bool {
        active.stream_tracker.is_some() && self.table.has_open(now, &active.service)
    }

    /// Abandons an attempt that did not respond in favour of another one.
    pub(super) fn abandon_attempt(&mut self, cx: CX![], id: names::Request, attempt: Attempt) {
        let Some(active) = self.active(id) else {
            return;
        };
        let is_silent = active
            .running
            .as_ref()
            .is_some_and(|running| running.attempt == attempt && !running.has_head);
        if !is_silent {
            return;
        }
        let (now, service) = (cx.now(), active.service.clone());
        let mut failed_attempt = active.failed_attempt(now, Verdict::MayHaveRun);
        failed_attempt.runs += 1;
        if !self.table.has_open(now, &service) {
            return;
        }
        let (entry_count, allowance) = (self.entry_count, self.allowance);
        let retry_window = &mut self.traffic(&service).retry_window;
        if failed_attempt.next(|| retry_window.take(now, allowance, entry_count))
            != RetryDecision::Again
        {
            return;
        }
        if let Some(running) = self.stop_attempt(cx, id) {
            self.table.record_failure(now, &service, &running.upstream, false);
            let (verdict, reason) = (
                Verdict::MayHaveRun,
                "the upstream did not respond within the time for an attempt",
            );
            self.log_failed_attempt(now, id, &running, verdict, reason, RetryDecision::Again);
        }
        if let Some(active) = self.active(id) {
            active.runs += 1;
        }
        self.place(cx, id);
    }
}
