//! Refuses requests that crash upstreams, and reports what the ends of their attempts show.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dispatch::{Listening, Verdict};
use entry::{Problem, Unsent};
use names::Upstream;
use quarantine::{Admission, BEGINNING, Check, Key, MIN_SOUND_PIECES, Run};
use stakker::{CX, at, call, ret_some_to};
use xxhash_rust::xxh3::xxh3_64;

use super::active_request::{ActiveRequest, Phase, RunningAttempt};
use super::{Route, Router};
use crate::problem;
use crate::quarantine::CheckResult;

/// Time that a check whether an upstream listens may take.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Time that a request whose attempt broke off waits for the check of its upstream.
const MAX_BREAK_WAIT: Duration = Duration::from_millis(30);

/// Number of attempts that may break off at the beginning of the response. A request that upstreams
/// crash under is not sent to a third one.
const MAX_BROKEN_BEGINNINGS: usize = 2;

/// Returns the keys of a request whose attempt broke off that may have crashed the upstream, or
/// `None` if it is not suspected. A conversation crashes an upstream at the beginning of its answer.
/// Before that hundreds may wait at an engine, too many to suspect each of them.
fn suspected_keys<'a>(
    now: Instant,
    route: &'a Route,
    running: &RunningAttempt,
) -> Option<&'a [Key]> {
    let is_suspected = match running.head_at {
        _ if !route.is_conversation => true,
        None => false,
        Some(at) => now <= at + BEGINNING,
    };
    is_suspected.then_some(&route.keys)
}

impl Router {
    /// Checks a new request. Returns whether it is the trial of a quarantined key.
    pub(super) fn admit_keys(
        &self,
        unsent: &Unsent,
        now: Instant,
        route: &Route,
    ) -> Result<bool, Problem> {
        match self.quarantine.check(now, &route.keys) {
            Admission::Accept => match self.held_until(now, &route.keys) {
                Some(until) => {
                    Err(problem::suspected(unsent, until.saturating_duration_since(now)))
                }
                None => Ok(false),
            },
            Admission::Try => Ok(true),
            Admission::Refuse { until } => {
                Err(problem::quarantined(Some(unsent), until.saturating_duration_since(now)))
            }
        }
    }

    /// Returns the time until which a request with `keys` is not sent, because the upstreams that
    /// crashed under it are away and one more would be.
    fn held_until(&self, now: Instant, keys: &[Key]) -> Option<Instant> {
        let hazard = self.quarantine.hazard(now, keys)?;
        (hazard.crashes > 1 && now < hazard.until).then_some(hazard.until)
    }

    /// Returns whether the request at `index` may be sent. Upstreams may have crashed under one of
    /// its keys since the request arrived.
    pub(super) fn may_send_keys(&self, now: Instant, index: usize) -> bool {
        let active = &self.active[index];
        let is_trial = active.is_trial && active.attempts == 0;
        let keys = &active.route.keys;
        let is_held = || !active.has_started && self.held_until(now, keys).is_some();
        is_trial || (self.quarantine.check(now, keys) == Admission::Accept && !is_held())
    }

    /// Refuses the request at `index`, under a key of which upstreams crashed.
    pub(super) fn refuse_quarantined(&mut self, now: Instant, index: usize) {
        let check = self.quarantine.check(now, &self.active[index].route.keys);
        let held_until = self.held_until(now, &self.active[index].route.keys);
        let problem = match (self.active[index].unsent(), check) {
            (None, _) => problem::crashed(),
            (unsent, Admission::Refuse { until }) => {
                problem::quarantined(unsent, until.saturating_duration_since(now))
            }
            (Some(unsent), Admission::Accept | Admission::Try) => {
                let wait = held_until.unwrap_or(now).saturating_duration_since(now);
                problem::suspected(unsent, wait)
            }
        };
        self.refuse(index, problem);
    }

    /// Returns whether another attempt of a request could crash another upstream.
    pub(super) fn is_dangerous(&self, now: Instant, active: &ActiveRequest) -> bool {
        active.broken_beginnings >= MAX_BROKEN_BEGINNINGS
            || self.quarantine.check(now, &active.route.keys) != Admission::Accept
            || (!active.has_started && self.held_until(now, &active.route.keys).is_some())
    }

    /// Suspects a crash if the answer to the request at `index` broke off at its beginning.
    pub(super) fn suspect_crash(&mut self, cx: CX![], index: usize, verdict: Verdict) {
        let now = cx.now();
        let active = &mut self.active[index];
        let Phase::Calling(running) = &active.phase else {
            return;
        };
        if verdict == Verdict::NotRun {
            return;
        }
        let Some(keys) = suspected_keys(now, &active.route, running) else {
            return;
        };
        let (upstream, address) = (running.permit.upstream.clone(), running.permit.address);
        let short_hash = xxh3_64(upstream.as_str().as_bytes()) as u32;
        let run = Run { upstream: short_hash, born: running.permit.incarnation };
        let check = self.quarantine.record_broken(now, run, keys);
        let is_beginning = running.head_at.is_some() && running.parts < MIN_SOUND_PIECES;
        active.broken_beginnings += usize::from(is_beginning);
        active.checked_until = now + MAX_BREAK_WAIT;
        if let Check::At(at) = check {
            at!(at, [cx], check_upstream(run, upstream, address));
        }
    }

    /// Checks whether an upstream whose answer broke off has ended.
    fn check_upstream(&mut self, cx: CX![], run: Run, upstream: Upstream, address: SocketAddr) {
        let deadline = cx.now() + CHECK_TIMEOUT;
        let result = ret_some_to!([cx], finish_check(run, upstream, address) as (Listening));
        call!([self.client], check_listening(address, deadline, result));
    }

    fn finish_check(
        &mut self,
        cx: CX![],
        run: Run,
        upstream: Upstream,
        address: SocketAddr,
        listening: Listening,
    ) {
        let result = self.quarantine.record_check(cx.now(), run, &upstream, listening);
        if let CheckResult::CheckAgain(at) = result {
            at!(at, [cx], check_upstream(run, upstream, address));
        }
    }

    /// Records that the answer to the request at `index` has got past its beginning, once for each
    /// attempt. `is_complete` says that it has ended properly.
    pub(super) fn record_sound(&mut self, now: Instant, index: usize, is_complete: bool) {
        let active = &mut self.active[index];
        let Phase::Calling(running) = &mut active.phase else {
            return;
        };
        let is_past = running.parts >= MIN_SOUND_PIECES
            && running.head_at.is_some_and(|at| now >= at + BEGINNING);
        let is_sound = match active.route.is_conversation {
            true => is_past || is_complete,
            false => is_complete && quarantine::shows_run(running.status),
        };
        if !running.is_sound && is_sound {
            running.is_sound = true;
            self.quarantine.record_sound(now, &active.route.keys);
        }
    }
}
