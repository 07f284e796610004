//! Attempts: the call of an upstream, its progress and what follows a failure.

use dispatch::{Call, Failure, Finding, Outbound, Progress, Reuse, Step, Verdict};
use entry::{Problem, Reply, Status};
use names::Attempt;
use rand::RngExt;
use stakker::{CX, at, call};

use super::Router;
use super::active::{Calling, Phase};
use super::answer::Outcome;
use crate::placer::Permit;
use crate::problem;

impl Router {
    /// Makes an attempt at the upstream of `permit`.
    pub(super) fn call(&mut self, cx: CX![], index: usize, permit: Permit) {
        let now = cx.now();
        let connect_by = now + self.settings.timing.connect.as_duration();
        let attempt = Attempt(rand::rng().random());
        let active = &mut self.active[index];
        let offset = active.answer.begin(attempt);
        let route = &active.route;
        let call = Call {
            attempt,
            method: route.method.to_string(),
            address: permit.address,
            path: route.path.clone(),
            headers: route.upstream_headers(attempt, offset),
            body: route.body.clone(),
            connect_by: connect_by.min(route.deadline),
            deadline: route.deadline,
            reuse: if route.is_idempotent { Reuse::Allowed } else { Reuse::Never },
        };
        let silence = Failure::silence_deadline(now, route.deadline);
        let watches = route.is_idempotent;
        let limit = self.settings.limits.calls;
        let outbound = match Outbound::try_from(call) {
            Ok(outbound) if self.calls.len() < limit => outbound,
            refused => {
                let reason = refused.err().map(|unfit| unfit.to_string());
                let reason = reason.unwrap_or_else(|| format!("all {limit} calls are in use"));
                log::debug!("upstream {}: not called: {reason}", permit.upstream);
                let problem = problem::overloaded(&route.service);
                call!([self.placer], release(permit));
                self.refuse(index, problem);
                return;
            }
        };
        call!([self.client], call(outbound));
        active.attempts += 1;
        active.fruitless += 1;
        active.tried.push(permit.upstream.clone());
        active.phase = Phase::Calling(Calling::new(attempt, permit, now));
        let id = active.id;
        if let Err(place) = self.calls.binary_search_by(|call| call.0.cmp(&attempt)) {
            self.calls.insert(place, (attempt, id));
        }
        if watches {
            at!(silence, [cx], check_silence(attempt));
        }
    }

    /// Takes progress of a call; progress of a call that was given up is dropped.
    pub(super) fn progress(&mut self, cx: CX![], event: dispatch::Event) {
        let Some(index) = self.find_attempt(event.attempt) else {
            self.metrics.count_refused("late_event");
            return;
        };
        let now = cx.now();
        if let Progress::Part(part) = &event.progress {
            call!([self.client], took(event.attempt, part.len()));
        }
        let active = &mut self.active[index];
        if let Some(calling) = active.calling() {
            calling.hear(&event.progress, now);
        }
        let limit = self.settings.limits.body.as_bytes();
        match active.answer.take(event.progress, limit) {
            Outcome::Nothing => {}
            Outcome::Replies(replies) => {
                self.judge_pace(cx, index);
                self.pass_on(cx, index, replies);
            }
            Outcome::Finished(replies) => {
                self.judge(cx, index, true);
                self.complete(index, replies);
            }
            Outcome::Failed { replies, verdict, reason } => {
                self.pass_on(cx, index, replies);
                self.judge(cx, index, false);
                self.fail(cx, index, verdict, &reason);
            }
        }
    }

    /// Notes how an attempt ended at its upstream.
    fn judge(&mut self, cx: CX![], index: usize, is_success: bool) {
        let active = &self.active[index];
        let Phase::Calling(calling) = &active.phase else {
            return;
        };
        let (service, upstream) = (&active.route.service, &calling.permit.upstream);
        if is_success {
            self.health.succeeded(service, upstream);
        } else if self.health.failed(service, upstream, cx.now()) == Finding::Avoided {
            log::info!("upstream {upstream}: avoided for service {service} after failures");
        }
    }

    /// Notes the pace of a stream.
    fn judge_pace(&mut self, cx: CX![], index: usize) {
        let active = &self.active[index];
        let (Phase::Calling(calling), Some(pace)) = (&active.phase, active.pace(cx.now())) else {
            return;
        };
        let (service, upstream) = (&active.route.service, &calling.permit.upstream);
        if self.health.paced(service, upstream, pace, cx.now()) == Finding::Avoided {
            log::info!("upstream {upstream}: avoided for service {service}, {pace:?} a part");
        }
    }

    /// Notes how fast the caller gets a stream.
    fn observe_part(&mut self, cx: CX![], index: usize) {
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

    fn pass_on(&mut self, cx: CX![], index: usize, replies: Vec<Reply>) {
        let active = &mut self.active[index];
        if replies.is_empty() {
            return;
        }
        active.fruitless = 0;
        if !active.has_started {
            active.has_started = true;
            let elapsed = cx.now().saturating_duration_since(active.arrived);
            self.metrics.observe_first_byte(elapsed.as_secs_f64());
        }
        let has_part = replies.iter().any(|reply| matches!(reply, Reply::Part(_)));
        replies.into_iter().for_each(|reply| active.reply.fwd(reply));
        if has_part {
            self.observe_part(cx, index);
        }
    }

    /// Gives the caller the whole answer, recorded first where it has a key.
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

    /// Ends a failed attempt: goes on where that is harmless, else tells the caller.
    fn fail(&mut self, cx: CX![], index: usize, verdict: Verdict, reason: &str) {
        let step = self.next_step(cx, index, verdict);
        self.take_step(cx, index, step, verdict, reason);
    }

    fn next_step(&mut self, cx: CX![], index: usize, verdict: Verdict) -> Step {
        let active = &self.active[index];
        let failure = Failure {
            verdict,
            is_idempotent: active.route.is_idempotent,
            attempts: active.fruitless,
            has_started: active.has_started,
            has_progress: active.has_started && active.fruitless == 0,
            can_resume: active.answer.can_resume(),
            deadline: active.route.deadline,
        };
        failure.next_step(cx.now(), &mut self.budget)
    }

    fn take_step(&mut self, cx: CX![], index: usize, step: Step, verdict: Verdict, reason: &str) {
        self.active[index].may_have_run |= verdict == Verdict::MayHaveRun;
        if let Some(calling) = self.active[index].calling() {
            log::debug!("upstream {}: {reason}", calling.permit.upstream);
        }
        match step {
            Step::Retry | Step::Resume => {
                self.metrics.count_refused(if step == Step::Retry { "retry" } else { "resume" });
                self.release(index);
                self.place_later(cx, index);
            }
            Step::Refuse | Step::Cut => {
                let problem = self.upstream_failed(cx, index, verdict, reason);
                self.refuse(index, problem);
            }
        }
    }

    /// The failure of the last attempt, with the time to come back where that can do no harm.
    fn upstream_failed(&self, cx: CX![], index: usize, verdict: Verdict, reason: &str) -> Problem {
        let message = format!("the upstream failed: {reason}");
        let not_run = Problem::not_run(Status::BAD_GATEWAY, "upstream_failed", message);
        let problem = Problem { verdict, ..not_run };
        if verdict.allows_retry(self.active[index].route.is_idempotent) {
            problem.with_retry_after(self.budget.next_retry(cx.now()))
        } else {
            problem
        }
    }

    /// Places the request again, after a wait that grows with its attempts.
    pub(super) fn place_later(&mut self, cx: CX![], index: usize) {
        let active = &mut self.active[index];
        active.phase = Phase::Placing;
        let (id, attempts) = (active.id, active.attempts);
        at!(cx.now() + Failure::backoff(attempts), [cx], place(id));
    }

    /// Gives up an attempt that has been silent for long, if another one may be made.
    fn check_silence(&mut self, cx: CX![], attempt: Attempt) {
        let Some(index) = self.find_attempt(attempt) else {
            return;
        };
        let deadline = self.active[index].route.deadline;
        let Some(calling) = self.active[index].calling() else {
            return;
        };
        let silence = Failure::silence_deadline(calling.heard, deadline);
        if cx.now() < silence {
            at!(silence, [cx], check_silence(attempt));
            return;
        }
        let verdict = Verdict::MayHaveRun;
        match self.next_step(cx, index, verdict) {
            Step::Refuse | Step::Cut => {}
            step => {
                self.judge(cx, index, false);
                self.take_step(cx, index, step, verdict, "it was silent for too long");
            }
        }
    }
}
