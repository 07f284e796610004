//! Attempts: the call to an upstream, its progress, and retries after a failure.

use std::time::Instant;

use dispatch::{
    Call, ConnectionReuse, FailedAttempt, FailureAction, HealthChange, Outbound, Progress, Verdict,
};
use entry::{Problem, Reply, Status};
use http1::Rule;
use names::Attempt;
use rand::RngExt;
use stakker::{CX, at, call};

use super::Router;
use super::active_request::{Phase, RunningAttempt};
use super::response::ResponseStep;
use crate::placer::Permit;
use crate::problem;

/// What makes room for a part of a collected response.
enum Room {
    /// The part fits.
    Available,
    /// The attempt of the request at this index has to end first.
    Displacing(usize),
    /// No response is larger than this one with the part.
    Exhausted,
}

impl Router {
    /// Starts an attempt at the upstream of `permit`.
    pub(super) fn call_upstream(&mut self, cx: CX![], index: usize, permit: Permit) {
        let now = cx.now();
        if !self.may_send_keys(now, index) {
            call!([self.placer], release(permit));
            self.refuse_quarantined(now, index);
            return;
        }
        let connect_deadline = now + self.settings.timing.connect.as_duration();
        let attempt = Attempt(rand::rng().random());
        let active = &mut self.active[index];
        let offset = active.response.begin(attempt);
        let route = &active.route;
        let call = Call {
            attempt,
            method: route.method.to_string(),
            address: permit.address,
            path: route.path.clone(),
            headers: route.upstream_headers(attempt, offset),
            body: route.body.clone(),
            connect_deadline: connect_deadline.min(route.deadline),
            deadline: route.deadline,
            reuse: if route.is_idempotent {
                ConnectionReuse::Allowed
            } else {
                ConnectionReuse::Never
            },
        };
        let silence_deadline = FailedAttempt::silence_deadline(now, route.deadline);
        let detects_silence = route.is_idempotent;
        let limit = self.settings.limits.calls;
        let outbound = match Outbound::try_from(call) {
            Ok(outbound) if self.calls.len() < limit => {
                Outbound { holds_chunks: active.route.streams, ..outbound }
            }
            rejected => {
                let reason = rejected.err().map(|invalid_call| invalid_call.to_string());
                let reason = reason.unwrap_or_else(|| format!("all {limit} calls are in use"));
                log::debug!(
                    "upstream {} is not called: {reason}; request refused",
                    permit.upstream
                );
                let problem = problem::overloaded(active.unsent(), &active.route.service);
                call!([self.placer], release(permit));
                self.refuse(index, problem);
                return;
            }
        };
        call!([self.client], call(outbound));
        active.attempts += 1;
        active.attempts_without_progress += 1;
        active.tried.push(permit.upstream.clone());
        active.phase =
            Phase::Calling(RunningAttempt::new(attempt, permit, active.unsent.take(), now));
        let id = active.id;
        if let Err(position) = self.calls.binary_search_by(|call| call.0.cmp(&attempt)) {
            self.calls.insert(position, (attempt, id));
        }
        if detects_silence {
            at!(silence_deadline, [cx], check_silence(attempt));
        }
    }

    /// Handles progress of a call. Progress of a canceled call is dropped.
    pub(super) fn on_progress(&mut self, cx: CX![], event: dispatch::CallEvent) {
        let has_room = match &event.progress {
            Progress::Body(part) => self.make_room(cx, event.attempt, part.len()),
            _ => true,
        };
        let Some(index) = self.find_attempt(event.attempt) else {
            self.metrics.count_refused("late_event");
            return;
        };
        let now = cx.now();
        if let Progress::Body(part) = &event.progress {
            call!([self.client], record_consumed(event.attempt, part.len()));
        }
        let active = &mut self.active[index];
        if let Some(running) = active.running_attempt() {
            running.record_progress(&event.progress, now);
        }
        if let Progress::Failed { verdict, rule, .. } = &event.progress {
            if let Some(rule) = rule {
                self.record_malformed(index, *rule);
            }
            self.suspect_crash(cx, index, *verdict);
        }
        self.record_sound(now, index, false);
        self.end_search(cx, index);
        if !has_room {
            return self.displace(cx, index);
        }
        let limit = self.settings.limits.body.as_bytes();
        let keeps_connection = event.progress == Progress::End;
        match self.active[index].response.process(event.progress, limit) {
            ResponseStep::Nothing => {}
            ResponseStep::Replies(replies) => {
                self.record_pace(cx, index);
                self.forward_replies(cx, index, replies);
            }
            ResponseStep::Finished(replies) => {
                self.record_outcome(cx, index, true);
                self.record_sound(now, index, true);
                self.complete(index, replies);
            }
            ResponseStep::Failed { replies, verdict, reason } => {
                self.forward_replies(cx, index, replies);
                self.record_outcome(cx, index, false);
                if keeps_connection {
                    self.close_idle_connections(cx, index);
                }
                self.fail(cx, index, verdict, &reason);
            }
        }
    }

    /// Closes the idle connections to the upstream of the running attempt, whose answer ended before it
    /// was complete. The rest of the answer may still arrive on its connection, and would be taken for
    /// the answer to the next request.
    fn close_idle_connections(&mut self, _: CX![], index: usize) {
        if let Some(running) = self.active[index].running_attempt() {
            let address = running.permit.address;
            call!([self.client], close_idle(address));
        }
    }

    /// Counts and logs a response that breaks `rule`.
    fn record_malformed(&mut self, index: usize, rule: Rule) {
        self.metrics.count_malformed(rule);
        if let Some(running) = self.active[index].running_attempt() {
            let (upstream, attempt) = (&running.permit.upstream, running.attempt);
            log::warn!(
                "upstream {upstream} sent a malformed answer to attempt {attempt}: {rule}; \
                 the answer is not passed on as complete"
            );
        }
    }

    /// Ends attempts with larger collected responses until a part of the response of `attempt` fits
    /// into the limit on those of all requests together. Returns whether it fits.
    fn make_room(&mut self, cx: CX![], attempt: Attempt, part_bytes: usize) -> bool {
        loop {
            match self.find_room(attempt, part_bytes) {
                Room::Available => return true,
                Room::Displacing(index) => self.displace(cx, index),
                Room::Exhausted => return false,
            }
        }
    }

    /// Determines what makes room for a part of the response of `attempt`. The largest collected
    /// response is displaced: one without end becomes the largest, whereas most sound ones do not.
    fn find_room(&self, attempt: Attempt, part_bytes: usize) -> Room {
        let Some(index) = self.find_attempt(attempt) else {
            return Room::Available;
        };
        let response = &self.active[index].response;
        let growth = response.growth(part_bytes);
        if growth == 0 {
            return Room::Available;
        }
        let sizes = || self.active.iter().map(|active| active.response.collected_bytes());
        if sizes().sum::<usize>() + growth <= self.max_collected_bytes {
            return Room::Available;
        }
        match sizes().enumerate().max_by_key(|(_, bytes)| *bytes) {
            Some((largest, bytes)) if bytes > response.collected_bytes() + growth => {
                Room::Displacing(largest)
            }
            _ => Room::Exhausted,
        }
    }

    /// Ends the attempt of a request because the collected responses exceed their limit.
    fn displace(&mut self, cx: CX![], index: usize) {
        let bytes = self.active[index].response.collected_bytes();
        let reason =
            format!("the answer had no end after {bytes} bytes, and limits.collected is used up");
        self.record_outcome(cx, index, false);
        self.fail(cx, index, Verdict::MayHaveRun, &reason);
    }

    /// Records the outcome of an attempt in the health of its upstream.
    pub(super) fn record_outcome(&mut self, cx: CX![], index: usize, is_success: bool) {
        let active = &self.active[index];
        let Phase::Calling(running) = &active.phase else {
            return;
        };
        let (service, upstream) = (&active.route.service, &running.permit.upstream);
        if is_success {
            self.health.record_success(service, upstream);
        } else if self.health.record_failure(service, upstream, cx.now()) == HealthChange::Avoided {
            log::info!("upstream {upstream} is avoided for service {service} after failures");
        }
    }

    /// Records the pace of a stream in the health of its upstream.
    fn record_pace(&mut self, cx: CX![], index: usize) {
        let active = &self.active[index];
        let (Phase::Calling(running), Some(pace)) = (&active.phase, active.pace(cx.now())) else {
            return;
        };
        let (service, upstream) = (&active.route.service, &running.permit.upstream);
        if self.health.record_latency(service, upstream, pace, cx.now()) == HealthChange::Avoided {
            log::info!(
                "upstream {upstream} is avoided for service {service}: \
                 slow stream, {pace:?} per part"
            );
        }
    }

    /// Records the time to the first part or the time since the previous part in the metrics.
    fn observe_stream_timing(&mut self, cx: CX![], index: usize) {
        let now = cx.now();
        let active = &mut self.active[index];
        let rank = active.route.rank.to_string();
        let answers = &self.metrics.answers;
        match active.last_part.replace(now) {
            None => {
                let elapsed = now.saturating_duration_since(active.arrived);
                answers.observe_first_token(&rank, elapsed.as_secs_f64());
            }
            Some(last) => {
                let elapsed = now.saturating_duration_since(last);
                answers.observe_between_tokens(&rank, elapsed.as_secs_f64());
            }
        }
    }

    fn forward_replies(&mut self, cx: CX![], index: usize, replies: Vec<Reply>) {
        let active = &mut self.active[index];
        if replies.is_empty() {
            return;
        }
        active.attempts_without_progress = 0;
        if !active.has_started {
            active.has_started = true;
            let elapsed = cx.now().saturating_duration_since(active.arrived);
            self.metrics.observe_first_byte(elapsed.as_secs_f64());
        }
        let has_part = replies.iter().any(|reply| matches!(reply, Reply::Part(_)));
        replies.into_iter().for_each(|reply| active.reply.fwd(reply));
        if has_part {
            self.observe_stream_timing(cx, index);
        }
    }

    /// Sends the complete response to the caller. The response to a request with an idempotency key
    /// is recorded in the ledger first.
    fn complete(&mut self, index: usize, replies: Vec<Reply>) {
        let fence = self.active[index].fence;
        for reply in replies {
            match fence {
                Some(fence) => return self.record(index, fence, reply),
                None => self.active[index].reply.fwd(reply),
            }
        }
        self.finish(index, Verdict::Answered);
    }

    /// Ends a failed attempt. Retries or resumes the request if that is safe; otherwise refuses it.
    fn fail(&mut self, cx: CX![], index: usize, verdict: Verdict, reason: &str) {
        let step = self.next_step(cx, index, verdict);
        self.perform_step(cx, index, step, verdict, reason);
    }

    fn next_step(&mut self, cx: CX![], index: usize, verdict: Verdict) -> FailureAction {
        let now = cx.now();
        self.failed_attempt(now, index, verdict).next_step(now, &mut self.budget)
    }

    /// Returns the state of the request if its attempt has failed with `verdict`.
    pub(super) fn failed_attempt(
        &self,
        now: Instant,
        index: usize,
        verdict: Verdict,
    ) -> FailedAttempt {
        let active = &self.active[index];
        FailedAttempt {
            verdict,
            is_idempotent: active.route.is_idempotent,
            attempts: active.attempts_without_progress,
            has_started: active.has_started,
            has_progress: active.has_started && active.attempts_without_progress == 0,
            can_resume: active.response.can_resume(!active.left.is_empty()),
            deadline: active.route.deadline,
            is_dangerous: self.is_dangerous(now, active),
        }
    }

    fn perform_step(
        &mut self,
        cx: CX![],
        index: usize,
        step: FailureAction,
        verdict: Verdict,
        reason: &str,
    ) {
        let active = &mut self.active[index];
        let held = active.running_attempt().and_then(|running| running.unsent.take());
        active.unsent = active.unsent.take().or(held).and_then(|unsent| unsent.after(verdict));
        if let Some(running) = self.active[index].running_attempt() {
            log::debug!("attempt at upstream {} failed: {reason}", running.permit.upstream);
        }
        match step {
            FailureAction::Retry | FailureAction::Resume => {
                self.metrics.count_refused(if step == FailureAction::Retry {
                    "retry"
                } else {
                    "resume"
                });
                self.release(index);
                self.retry_placement_later(cx, index);
            }
            FailureAction::Refuse | FailureAction::Truncate => {
                let problem = self.upstream_failed(cx, index, verdict, reason);
                self.refuse(index, problem);
            }
        }
    }

    /// Returns the problem for a failed last attempt, with a retry delay if a retry by the caller
    /// is safe.
    fn upstream_failed(&self, cx: CX![], index: usize, verdict: Verdict, reason: &str) -> Problem {
        let message = format!("the upstream failed: {reason}");
        let unsent = self.active[index].unsent();
        let problem =
            Problem::with_evidence(unsent, Status::BAD_GATEWAY, "upstream_failed", message);
        if verdict.allows_retry(self.active[index].route.is_idempotent) {
            problem.with_retry_after(self.budget.next_retry(cx.now()))
        } else {
            problem
        }
    }

    /// Schedules another placement after a backoff that grows with the number of attempts.
    pub(super) fn retry_placement_later(&mut self, cx: CX![], index: usize) {
        let active = &mut self.active[index];
        active.phase = Phase::Placing;
        let (id, attempts) = (active.id, active.attempts);
        let due = (cx.now() + FailedAttempt::backoff(attempts)).max(active.checked_until);
        at!(due, [cx], place(id));
    }
}
