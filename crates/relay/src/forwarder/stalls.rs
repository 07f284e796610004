//! Detects attempts whose upstream is silent, and moves their requests to other upstreams.
//!
//! A silent upstream may be sound and go on. An attempt therefore ends only once capacity for the
//! request is reserved at another upstream.

use std::time::{Duration, Instant};

use dispatch::Verdict;
use forward::{RetryDecision, SilenceDecision};
use stakker::{CX, after};
use telemetry::Event;

use super::active_request::{ActiveRequest, Silence};
use super::{Forwarder, millis};

/// Interval between two checks for silent upstreams.
pub(super) const STALL_PERIOD: Duration = Duration::from_millis(200);

impl Forwarder {
    /// Looks for requests whose upstream has not responded, or has stalled. A stalled upstream sends
    /// nothing at all, or occasional bytes that complete no event.
    pub(super) fn check_stalls(&mut self, cx: CX![]) {
        let now = cx.now();
        let is_silent = |active: &&ActiveRequest| self.silence(now, active).is_some();
        let silent: Vec<_> =
            self.requests.iter().filter(is_silent).map(ActiveRequest::id).collect();
        silent.into_iter().for_each(|id| self.check_silence(cx, id));
        after!(STALL_PERIOD, [cx], check_stalls());
    }

    /// Returns what the upstream of a request has not sent in time, if anything.
    fn silence(&self, now: Instant, active: &ActiveRequest) -> Option<Silence> {
        let running = active.running.as_ref().filter(|running| running.broken.is_none())?;
        let is_past = |due: &Instant| now >= *due;
        if running.head_at.is_none() {
            return running.response_due.filter(is_past).map(|_| Silence::Response);
        }
        active.stream_tracker.as_ref()?;
        if self.table.is_stalled(now, &running.upstream) {
            return Some(Silence::Upstream);
        }
        running.event_due.filter(is_past).map(|_| Silence::Stream)
    }

    /// Moves a request whose upstream is silent to another upstream if one can take it. Otherwise
    /// the attempt goes on.
    pub(super) fn check_silence(&mut self, cx: CX![], id: names::Request) {
        let now = cx.now();
        let Ok(index) = self.find(id) else {
            return;
        };
        let Some(silence) = self.silence(now, &self.requests[index]) else {
            return;
        };
        self.log_stalled(now, id, silence);
        if self.decide_on_silence(now, id) == SilenceDecision::Move {
            self.place(cx, id);
        }
    }

    fn decide_on_silence(&mut self, now: Instant, id: names::Request) -> SilenceDecision {
        let is_dangerous = self.is_dangerous(now, id);
        // A search for another upstream may already be in progress.
        let Some(active) = self.active(id).filter(|active| active.search.is_none()) else {
            return SilenceDecision::Wait;
        };
        let service = active.service.clone();
        let mut failed_attempt = active.failed_attempt(now, Verdict::MayHaveRun, is_dangerous);
        failed_attempt.runs += 1;
        let (entry_count, allowance) = (self.entry_count, self.allowance);
        let retry_window = &mut self.traffic(&service).retry_window;
        failed_attempt.on_silence(|| retry_window.has_retry(now, allowance, entry_count))
    }

    /// Ends the attempt at a silent upstream, because another upstream can take the request.
    /// Returns false if the attempt goes on.
    pub(super) fn leave_silent_upstream(&mut self, cx: CX![], id: names::Request) -> bool {
        let now = cx.now();
        let silence = self.find(id).ok().and_then(|index| self.silence(now, &self.requests[index]));
        let decision = self.decide_on_silence(now, id);
        let (Some(silence), SilenceDecision::Move, Some(active)) =
            (silence, decision, self.active(id))
        else {
            return false;
        };
        active.runs += 1;
        let service = active.service.clone();
        let next = match active.is_started {
            true => {
                active.resume_later(now);
                RetryDecision::Resume
            }
            false => RetryDecision::Again,
        };
        let (entry_count, allowance) = (self.entry_count, self.allowance);
        self.traffic(&service).retry_window.take(now, allowance, entry_count);
        let Some(running) = self.stop_attempt(cx, id) else {
            return false;
        };
        if silence != Silence::Upstream {
            self.table.record_failure(now, &service, &running.upstream, false);
        }
        let (verdict, reason) = (Verdict::MayHaveRun, silence.to_string());
        self.log_failed_attempt(now, id, &running, verdict, &reason, next);
        true
    }

    /// Logs that the upstream of a request is silent, once for each attempt.
    fn log_stalled(&mut self, now: Instant, id: names::Request, silence: Silence) {
        let catalogue = self.catalogue_number();
        let Some(active) = self.active(id) else {
            return;
        };
        let Some(running) = &mut active.running else {
            return;
        };
        if std::mem::replace(&mut running.is_stall_logged, true) {
            return;
        }
        Event::Stalled {
            request: active.metadata.id.clone(),
            attempt: running.attempt.to_string(),
            upstream: running.upstream.to_string(),
            reason: silence.to_string(),
            after_ms: millis(now.saturating_duration_since(running.started_at)),
            catalogue,
        }
        .write();
    }
}
