//! Detects attempts whose upstream sends nothing, or nothing more.

use std::time::Duration;

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
    /// sends nothing at all, or occasional bytes that complete no event.
    pub(super) fn check_stalls(&mut self, cx: CX![]) {
        let now = cx.now();
        let is_silent = |active: &&ActiveRequest| {
            let running = active.running.as_ref().filter(|one| one.has_head);
            active.tail.is_some()
                && running.is_some_and(|one| self.table.is_stalled(now, &one.upstream))
        };
        let is_overdue = |active: &&ActiveRequest| {
            let event_due = active.running.as_ref().and_then(|one| one.event_due);
            active.tail.is_some() && event_due.is_some_and(|event_due| now > event_due)
        };
        let silent: Vec<_> =
            self.requests.iter().filter(is_silent).map(ActiveRequest::id).collect();
        for id in silent {
            let running = self.stop_attempt(cx, id);
            self.retry_or_finish(cx, id, running, Verdict::MayHaveRun, "the upstream sent nothing");
        }
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

    /// Abandons an attempt that did not respond in favour of another one.
    pub(super) fn give_up_attempt(&mut self, cx: CX![], id: names::Request, attempt: Attempt) {
        let Some(active) = self.active(id) else {
            return;
        };
        let is_silent =
            active.running.as_ref().is_some_and(|one| one.attempt == attempt && !one.has_head);
        if !is_silent {
            return;
        }
        let (now, service) = (cx.now(), active.service.clone());
        let mut setback = active.setback(now, Verdict::MayHaveRun);
        setback.runs += 1;
        let (entry_count, allowance) = (self.entry_count, self.allowance);
        let retry_window = &mut self.traffic(&service).retry_window;
        if setback.next(|| retry_window.take(now, allowance, entry_count)) != RetryDecision::Again {
            return;
        }
        if let Some(running) = self.stop_attempt(cx, id) {
            self.table.record_failure(now, &service, &running.upstream, false);
            let (verdict, reason) = (Verdict::MayHaveRun, "no answer in the time of an attempt");
            self.log_failed_attempt(now, id, &running, verdict, reason, RetryDecision::Again);
        }
        if let Some(active) = self.active(id) {
            active.runs += 1;
        }
        self.place(cx, id);
    }
}
