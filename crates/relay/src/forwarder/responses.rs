//! Forwards responses, and decides how to continue after a failed attempt.

use std::time::Instant;

use dispatch::{CallEvent, Head, Progress, StreamError, Verdict};
use entry::{Reply, Status};
use forward::{EventBoundary, LATENCY_SAMPLE_EVENTS, RetryDecision, StreamTracker, stall_timeout};
use http1::Rule;
use names::Upstream;
use stakker::{CX, call};
use telemetry::Event;

use super::active_request::RunningAttempt;
use super::upstream_selection::max_queue_time;
use super::{Forwarder, millis, problems};

impl Forwarder {
    /// Handles the progress of an attempt.
    pub(super) fn handle_progress(&mut self, cx: CX![], event: CallEvent) {
        let CallEvent { attempt, progress } = event;
        let Ok(index) = self.attempt_owners.binary_search_by_key(&attempt, |owner| owner.attempt)
        else {
            return;
        };
        let id = self.attempt_owners[index].request;
        let has_bytes = !matches!(progress, Progress::NotSent { .. } | Progress::Failed { .. });
        let running = self.active(id).and_then(|active| active.running.as_ref());
        if let Some(upstream) =
            running.map(|running| running.upstream.clone()).filter(|_| has_bytes)
        {
            self.table.record_bytes(cx.now(), &upstream);
        }
        match progress {
            Progress::Head { status, headers, framing } => {
                self.receive_head(cx, id, Head { status, headers, framing });
            }
            Progress::Body(part) => {
                call!([self.client], record_consumed(attempt, part.len()));
                self.receive_part(cx, id, part);
            }
            Progress::Received => {}
            Progress::End => self.receive_end(cx, id),
            Progress::Closed => self.receive_close(cx, id),
            Progress::NotSent { reason } => {
                let running = self.stop_attempt(cx, id);
                self.retry_or_finish(cx, id, running, Verdict::NotRun, &reason);
            }
            Progress::Failed { verdict, rule, reason } => {
                if let Some(rule) = rule {
                    self.record_malformed(id, rule);
                }
                self.receive_break(cx, id, verdict, reason);
            }
        }
    }

    /// Counts and logs a response that breaks `rule`.
    fn record_malformed(&mut self, id: names::Request, rule: Rule) {
        self.metrics.count_malformed(rule);
        let Some(active) = self.active(id) else {
            return;
        };
        if let Some(running) = &active.running {
            let name: &'static str = rule.into();
            Event::Malformed {
                request: active.metadata.id.clone(),
                attempt: running.attempt.to_string(),
                upstream: running.upstream.to_string(),
                rule: name.to_string(),
                reason: rule.to_string(),
            }
            .write();
        }
    }

    /// Removes an attempt that has ended from all counts, and ends the search for an upstream to
    /// which its request could have moved.
    pub(super) fn end_attempt(&mut self, cx: CX![], id: names::Request) -> Option<RunningAttempt> {
        let active = self.active(id)?;
        let running = active.running.take()?;
        if let Some(search) = active.search.take() {
            self.abandon_search(cx, id, &search);
        }
        cx.timer_del(running.timer);
        let attempt = running.attempt;
        if let Ok(index) = self.attempt_owners.binary_search_by_key(&attempt, |owner| owner.attempt)
        {
            self.attempt_owners.remove(index);
        }
        if running.head_at.is_none() {
            self.table.remove_tokens(&running.upstream, running.tokens);
        }
        self.table.end_request(&running.upstream);
        self.table.end_prompt(id, &running.upstream);
        self.release_bytes(&running);
        self.report_count(cx.now(), &running.upstream);
        Some(running)
    }

    /// Cancels the attempt of a request, if one is in progress.
    pub(super) fn stop_attempt(&mut self, cx: CX![], id: names::Request) -> Option<RunningAttempt> {
        let running = self.end_attempt(cx, id)?;
        let attempt = running.attempt;
        call!([self.client], cancel(attempt));
        Some(running)
    }

    pub(super) fn log_failed_attempt(
        &mut self,
        now: Instant,
        id: names::Request,
        running: &RunningAttempt,
        verdict: Verdict,
        reason: &str,
        next: RetryDecision,
    ) {
        if let Some(active) = self.active(id) {
            Event::Failed {
                request: active.metadata.id.clone(),
                attempt: running.attempt.to_string(),
                upstream: running.upstream.to_string(),
                verdict: verdict.to_string(),
                reason: reason.to_string(),
                after_ms: millis(now.saturating_duration_since(running.started_at)),
                begun_ms: running.head_at.map(|at| millis(now.saturating_duration_since(at))),
                key: active.key_text(),
                prompt: active.prompt_text(),
                next: next.to_string(),
            }
            .write();
        }
    }

    fn receive_head(&mut self, cx: CX![], id: names::Request, head: Head) {
        let (now, status) = (cx.now(), head.status);
        let upstreams = self.interface.upstreams.clone();
        let response = upstreams.parse_response_head(status, &head.headers);
        let Some(active) = self.active(id) else {
            return;
        };
        let is_refusal = response.is_wrong_upstream || response.has_not_run;
        let echo = upstreams.expected_echo(&active.request);
        let names_request = echo.is_none_or(|echo| echo.is_in(&head.headers));
        let lacks_signature = response.lacks_signature;
        let is_unproven_promise = response.promises_not_run && !active.route.repeat.is_idempotent();
        let service = active.service.clone();
        let timeout = stall_timeout(active.route.objective, active.route.pause);
        let Some(running) = &mut active.running else {
            return;
        };
        running.head_at = Some(now);
        running.event_due = Some(now + timeout);
        running.status = status;
        running.pace = response.load.and_then(|report| report.pace);
        let (upstream, born, tokens) = (running.upstream.clone(), running.born, running.tokens);
        let is_started = active.is_started;
        self.table.remove_tokens(&upstream, tokens);
        if let Some(report) = response.load {
            self.table.report(now, &upstream, report);
            if let Some(pace) = report.pace {
                self.metrics.relay.observe_pace(pace.percent());
            }
        }
        if !names_request {
            // The response may be a late copy of that to another request.
            let reason = format!("the upstream answered {status} without the id of the request");
            self.receive_failure(cx, id, Verdict::MayHaveRun, &reason);
            return;
        }
        // A refusal may come from a full queue, and then says nothing about the limit.
        if !response.is_wrong_upstream && (!is_refusal || response.rate_limit.is_some()) {
            self.table.record_limit(now, &upstream, born, response.rate_limit.clone());
        }
        if response.is_wrong_upstream {
            self.table.record_replaced(&upstream);
        } else if response.is_leaving && self.table.record_leaving(now, &upstream, born) {
            self.check_ready();
        }
        if let Some(wait) = response.retry_after {
            self.table.record_pause(now, &upstream, born, wait);
            self.serve_queue(cx, &service);
        }
        if is_refusal {
            let running = self.discard(cx, id);
            let reason = format!("the upstream answered {status} and did not run the request");
            self.retry_or_finish(cx, id, running, Verdict::NotRun, &reason);
            return;
        }
        if is_unproven_promise {
            // Callers would send the request again, and nothing proves that it did not run.
            let reason = format!("the upstream answered {status}, which proves nothing");
            self.receive_failure(cx, id, Verdict::MayHaveRun, &reason);
            return;
        }
        if lacks_signature {
            // Callers would take the response for an answer that does not count, and not repeat the
            // request.
            let reason = format!("the upstream answered {status} without its signature");
            self.receive_failure(cx, id, Verdict::MayHaveRun, &reason);
            return;
        }
        if status == Status::OK.0 {
            self.record_context_holder(now, id, &upstream);
        }
        if status >= 500 {
            self.table.record_failure(now, &service, &upstream, false);
            if !is_started && self.table.has_open(now, &service) && self.take_retry(cx, id) {
                if let Some(running) = self.discard(cx, id) {
                    let reason = format!("the upstream answered {status}");
                    self.log_failed_attempt(
                        now,
                        id,
                        &running,
                        Verdict::Answered,
                        &reason,
                        RetryDecision::Again,
                    );
                }
                if let Some(active) = self.active(id) {
                    active.runs += 1;
                    active.queue_until = now + max_queue_time(active.route.objective);
                }
                self.place(cx, id);
                return;
            }
        }
        self.start_response(cx, id, head);
    }

    /// Records that an engine has processed the context of a request, because the engine responds
    /// to it.
    fn record_context_holder(&mut self, now: Instant, id: names::Request, upstream: &Upstream) {
        let key = self.active(id).and_then(|active| active.routing_key().affinity_key);
        let short_hash =
            self.table.request_count(upstream).map(|request_count| request_count.short_hash);
        if let (Some(key), Some(short_hash)) = (key, short_hash) {
            self.holders.record(now, key, short_hash);
        }
    }

    /// Returns whether a request that failed at an upstream is sent to another one, and takes the
    /// retry from the budget.
    fn take_retry(&mut self, cx: CX![], id: names::Request) -> bool {
        let now = cx.now();
        let is_dangerous = self.is_dangerous(now, id);
        let Some(active) = self.active(id) else {
            return false;
        };
        let service = active.service.clone();
        let mut failed_attempt = active.failed_attempt(now, Verdict::MayHaveRun, is_dangerous);
        failed_attempt.runs += 1;
        let (entry_count, allowance) = (self.entry_count, self.allowance);
        let retry_window = &mut self.traffic(&service).retry_window;
        failed_attempt.next(|| retry_window.take(now, allowance, entry_count))
            == RetryDecision::Again
    }

    /// Ends an attempt whose response is not forwarded to the caller.
    fn discard(&mut self, cx: CX![], id: names::Request) -> Option<RunningAttempt> {
        let running = self.end_attempt(cx, id)?;
        let attempt = running.attempt;
        call!([self.client], discard(attempt));
        Some(running)
    }

    /// Forwards the head of a response.
    fn start_response(&mut self, cx: CX![], id: names::Request, head: Head) {
        let Ok(index) = self.find(id) else {
            return;
        };
        if self.requests[index].is_started {
            self.resume_response(cx, id, &head);
            return;
        }
        let event_stream = forward::is_event_stream(&head);
        let Head { status, headers, framing } = head;
        let is_streaming = self.requests[index].route.is_streaming;
        if let Some(running) = &mut self.requests[index].running {
            running.boundary = match event_stream {
                None if is_streaming && status == Status::OK.0 => {
                    EventBoundary::untyped(self.interface.upstreams.event_fields())
                }
                _ => EventBoundary::typed(event_stream == Some(true)),
            };
        }
        let has_no_body = !http1::allows_content(status);
        let length = match is_streaming && status == Status::OK.0 {
            true => None,
            false => framing.length(),
        };
        let headers = self.interface.upstreams.response_headers(headers);
        let status = Status(status);
        let active = &mut self.requests[index];
        active.is_started = true;
        if status != Status::OK || event_stream == Some(false) {
            // Only a stream of events is tracked.
            active.stream_tracker = None;
        }
        let length = if has_no_body { Some(0) } else { length };
        active.reply.fwd(Reply::Start { status, headers, length });
    }

    /// Starts the response of an upstream that resumes a stream, unless the response does something
    /// else.
    fn resume_response(&mut self, cx: CX![], id: names::Request, head: &Head) {
        let Some(active) = self.active(id) else {
            return;
        };
        let resumed = match &mut active.stream_tracker {
            Some(stream_tracker) => stream_tracker.resume(head),
            None => Err(StreamError::NotResumed { reason: "it cannot be resumed".to_string() }),
        };
        match resumed {
            Ok(()) => {}
            Err(error) if head.status == Status::OK.0 => {
                self.receive_failure(cx, id, Verdict::MayHaveRun, &error.to_string())
            }
            Err(error) => {
                let running = self.stop_attempt(cx, id);
                self.retry_or_finish(cx, id, running, Verdict::MayHaveRun, &error.to_string());
            }
        }
    }

    fn receive_part(&mut self, cx: CX![], id: names::Request, part: Vec<u8>) {
        let now = cx.now();
        let Some(active) = self.active(id) else {
            return;
        };
        let (mut sample, mut is_first_byte) = (None, false);
        if let Some(running) = &mut active.running {
            is_first_byte = running.first_byte_at.is_none();
            let first = *running.first_byte_at.get_or_insert(now);
            running.parts += 1;
            running.boundary.push(&part);
            if running.parts == LATENCY_SAMPLE_EVENTS && active.route.is_streaming {
                let latency = now.saturating_duration_since(first) / (LATENCY_SAMPLE_EVENTS - 1);
                sample = Some((running.upstream.clone(), latency));
            }
        }
        if is_first_byte {
            self.record_prompt_read(now, id);
        }
        if let Some((upstream, latency)) = sample {
            self.report_latency(now, &upstream, latency);
        }
        self.record_sound(now, id, false);
        let Some(active) = self.active(id) else {
            return;
        };
        let is_other_content =
            active.running.as_ref().is_some_and(|running| running.boundary.is_other_content());
        let untracked = active
            .stream_tracker
            .take_if(|stream_tracker| is_other_content && !stream_tracker.is_resumed());
        if let Some(stream_tracker) = untracked {
            active.reply.fwd(Reply::Part(stream_tracker.into_partial_event()));
        }
        let Some(stream_tracker) = &mut active.stream_tracker else {
            active.reply.fwd(Reply::Part(part));
            return;
        };
        let mut complete_events = Vec::new();
        let events_before = stream_tracker.event_count();
        let result = stream_tracker.forward(&part, &mut complete_events);
        if stream_tracker.event_count() > events_before
            && let Some(running) = &mut active.running
        {
            let timeout = stall_timeout(active.route.objective, active.route.pause);
            running.event_due = Some(now + timeout);
        }
        if result.is_ok() && !stream_tracker.has_position() {
            // No other upstream could resume the stream, so that its bytes pass unchanged.
            let stream_tracker = active.stream_tracker.take();
            let partial_event = stream_tracker.map(StreamTracker::into_partial_event);
            complete_events.extend(partial_event.unwrap_or_default());
        }
        if !complete_events.is_empty() {
            active.reply.fwd(Reply::Part(complete_events));
        }
        if let Err(error) = result {
            self.receive_failure(cx, id, Verdict::MayHaveRun, &error.to_string());
        }
    }

    pub(super) fn receive_failure(
        &mut self,
        cx: CX![],
        id: names::Request,
        verdict: Verdict,
        reason: &str,
    ) {
        self.record_failure(cx, id, verdict);
        self.end_failed_attempt(cx, id, verdict, reason);
    }

    /// Records the failure of the attempt in progress against its upstream.
    pub(super) fn record_failure(&mut self, cx: CX![], id: names::Request, verdict: Verdict) {
        let now = cx.now();
        let Some(active) = self.active(id) else {
            return;
        };
        let service = active.service.clone();
        let Some(upstream) = active.running.as_ref().map(|running| running.upstream.clone()) else {
            return;
        };
        self.table.record_failure(now, &service, &upstream, verdict == Verdict::NotRun);
        for address in self.table.unreachable_addresses(now, &upstream) {
            call!([self.client], close_idle(address));
        }
    }

    /// Ends a failed attempt, and decides how its request continues.
    pub(super) fn end_failed_attempt(
        &mut self,
        cx: CX![],
        id: names::Request,
        verdict: Verdict,
        reason: &str,
    ) {
        let running = self.stop_attempt(cx, id);
        self.retry_or_finish(cx, id, running, verdict, reason);
    }

    /// Decides how to continue after an attempt that ended with `verdict`.
    pub(super) fn retry_or_finish(
        &mut self,
        cx: CX![],
        id: names::Request,
        mut running: Option<RunningAttempt>,
        verdict: Verdict,
        reason: &str,
    ) {
        let now = cx.now();
        let is_dangerous = self.is_dangerous(now, id);
        let Some(active) = self.active(id) else {
            return;
        };
        let held = running.as_mut().and_then(|running| running.unsent.take());
        active.unsent = active.unsent.take().or(held).and_then(|unsent| unsent.after(verdict));
        match verdict {
            Verdict::NotRun => active.refusals += 1,
            Verdict::MayHaveRun | Verdict::Answered => active.runs += 1,
        }
        let (failed_attempt, service) =
            (active.failed_attempt(now, verdict, is_dangerous), active.service.clone());
        let deadline = active.deadline;
        let (entry_count, allowance) = (self.entry_count, self.allowance);
        let retry_window = &mut self.traffic(&service).retry_window;
        let next = failed_attempt.next(|| retry_window.take(now, allowance, entry_count));
        if let Some(running) = running {
            self.log_failed_attempt(now, id, &running, verdict, reason, next);
        }
        match next {
            RetryDecision::Again => {
                if let Some(active) = self.active(id) {
                    active.queue_until = now + max_queue_time(active.route.objective);
                }
                self.place(cx, id);
                return;
            }
            RetryDecision::Resume => {
                if let Some(active) = self.active(id) {
                    active.resume_later(now);
                }
                self.place(cx, id);
                return;
            }
            RetryDecision::Refuse => {
                let pause_end = self.table.pause_end(now, &service);
                let unsent = self.active(id).and_then(|active| active.unsent.as_ref());
                let problem = match (unsent, pause_end) {
                    (Some(unsent), Some(end)) => {
                        problems::asked_to_wait(unsent, now, deadline, end)
                    }
                    (Some(unsent), None) => problems::refused(unsent, now, deadline),
                    (None, _) => problems::failed(),
                };
                self.refuse(now, id, problem);
            }
            RetryDecision::Fail => self.refuse(now, id, problems::failed()),
            RetryDecision::Cut => self.abort_response(now, id, "upstream_failed"),
        }
        self.finish(cx, id);
    }
}
