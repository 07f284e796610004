//! Refuses requests with messages that crash upstreams, and reports what their answers show.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dispatch::Listening;
use entry::Problem;
use names::Upstream;
use quarantine::{Admission, BEGINNING, Check, MIN_SOUND_PIECES, Run};
use stakker::{CX, at, call, ret_some_to};
use xxhash_rust::xxh3::xxh3_64;

use super::active_request::{ActiveRequest, Phase};
use super::{Route, Router};
use crate::problem;

/// Time that a check whether an upstream listens may take.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of attempts that may break off at the beginning of the response. A request that upstreams
/// crash under is not sent to a third one.
const MAX_BROKEN_BEGINNINGS: usize = 2;

impl Router {
    /// Checks a new request. Returns whether it is the trial of a quarantined key.
    pub(super) fn admit_keys(&self, now: Instant, route: &Route) -> Result<bool, Problem> {
        match self.quarantine.check(now, &route.keys) {
            Admission::Accept => Ok(false),
            Admission::Try => Ok(true),
            Admission::Refuse { until } => {
                Err(problem::quarantined(until.saturating_duration_since(now)))
            }
        }
    }

    /// Returns whether the request at `index` may be sent. A key may have been quarantined since
    /// the request arrived.
    pub(super) fn may_send_keys(&self, now: Instant, index: usize) -> bool {
        let active = &self.active[index];
        let is_trial = active.is_trial && active.attempts == 0;
        is_trial || self.quarantine.check(now, &active.route.keys) == Admission::Accept
    }

    /// Refuses the request at `index`, a key of which was quarantined.
    pub(super) fn refuse_quarantined(&mut self, now: Instant, index: usize) {
        let check = self.quarantine.check(now, &self.active[index].route.keys);
        let wait = match check {
            Admission::Refuse { until } => until.saturating_duration_since(now),
            Admission::Accept | Admission::Try => Duration::ZERO,
        };
        self.refuse(index, problem::quarantined(wait));
    }

    /// Returns whether another attempt of a request could crash another upstream.
    pub(super) fn is_dangerous(&self, now: Instant, active: &ActiveRequest) -> bool {
        active.broken_beginnings >= MAX_BROKEN_BEGINNINGS
            || self.quarantine.check(now, &active.route.keys) != Admission::Accept
    }

    /// Suspects a crash if the answer to the request at `index` broke off at its beginning.
    pub(super) fn suspect_crash(&mut self, cx: CX![], index: usize) {
        let now = cx.now();
        let active = &mut self.active[index];
        let Phase::Calling(running) = &active.phase else {
            return;
        };
        if running.head_at.is_none_or(|at| now > at + BEGINNING) {
            return;
        }
        let (upstream, address) = (running.permit.upstream.clone(), running.permit.address);
        let short_hash = xxh3_64(upstream.as_str().as_bytes()) as u32;
        let run = Run { upstream: short_hash, born: running.permit.incarnation };
        let has_begun_well = running.parts >= MIN_SOUND_PIECES;
        active.broken_beginnings += usize::from(!has_begun_well);
        if active.route.keys.is_empty() {
            return;
        }
        if let Check::At(at) = self.quarantine.record_broken(now, run, &active.route.keys) {
            at!(at, [cx], check_upstream(run, upstream, address));
        }
    }

    /// Checks whether an upstream whose answer broke off has ended.
    fn check_upstream(&mut self, cx: CX![], run: Run, upstream: Upstream, address: SocketAddr) {
        let deadline = cx.now() + CHECK_TIMEOUT;
        let result = ret_some_to!([cx], finish_check(run, upstream) as (Listening));
        call!([self.client], check_listening(address, deadline, result));
    }

    fn finish_check(&mut self, cx: CX![], run: Run, upstream: Upstream, listening: Listening) {
        self.quarantine.record_check(cx.now(), run, &upstream, listening);
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
        if !running.is_sound && (is_past || is_complete) {
            running.is_sound = true;
            self.quarantine.record_sound(now, &active.route.keys);
        }
    }
}
