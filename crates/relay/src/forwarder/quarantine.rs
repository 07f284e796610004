//! Refuses requests with parts of prompts that crash upstreams, and reports what their answers show.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dispatch::Listening;
use entry::{Problem, Unsent};
use names::Upstream;
use quarantine::{Admission, BEGINNING, Check, MIN_SOUND_PIECES, Part, Run};
use roster::short_hash;
use stakker::{CX, at, call, ret_some_to};

use super::{Forwarder, problems};
use crate::interface::Prompt;

/// Time that a check whether an upstream listens may take.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns the parts of a prompt that may crash an upstream. The last part comes first, because
/// only a limited number of parts is looked at: a request that is sent again and again crashes
/// upstreams although sound requests share all of its other parts.
pub(super) fn crash_parts(prompt: Option<&Prompt>) -> Vec<Part> {
    let parts = prompt.map_or(&[][..], |prompt| prompt.parts.as_slice());
    let (last, shared) =
        parts.split_last().map_or((None, &[][..]), |(last, rest)| (Some(last), rest));
    last.into_iter().chain(shared).map(|part| Part(part.id)).collect()
}

impl Forwarder {
    /// Checks a new request with `parts`. Returns whether it is the trial of a quarantined part.
    ///
    /// # Errors
    ///
    /// The refusal, if a part is quarantined.
    pub(super) fn admit_parts(
        &self,
        unsent: &Unsent,
        now: Instant,
        parts: &[Part],
    ) -> Result<bool, Problem> {
        match self.quarantine.check(now, parts) {
            Admission::Accept => Ok(false),
            Admission::Try => Ok(true),
            Admission::Refuse { until } => Err(problems::quarantined(unsent, now, until)),
        }
    }

    /// Returns whether a part of the prompt of a request is quarantined.
    pub(super) fn is_quarantined(&self, now: Instant, id: names::Request) -> bool {
        let Ok(index) = self.find(id) else {
            return false;
        };
        let parts = crash_parts(self.requests[index].metadata.prompt.as_ref());
        self.quarantine.check(now, &parts) != Admission::Accept
    }

    /// Returns whether the request at `index` may be sent. A part may have been quarantined since
    /// the request arrived.
    pub(super) fn may_send_parts(&self, now: Instant, index: usize) -> bool {
        let active = &self.requests[index];
        let is_trial = active.is_trial && active.tried.is_empty();
        let parts = crash_parts(active.metadata.prompt.as_ref());
        is_trial || self.quarantine.check(now, &parts) == Admission::Accept
    }

    /// Ends a request that is not sent because a part of its prompt is quarantined. A request in
    /// progress goes on.
    pub(super) fn refuse_quarantined(&mut self, cx: CX![], id: names::Request) {
        let now = cx.now();
        let Some(active) = self.active(id).filter(|active| active.running.is_none()) else {
            return;
        };
        let parts = crash_parts(active.metadata.prompt.as_ref());
        if active.is_started {
            self.abort_response(now, id, "quarantined");
        } else {
            let until = match self.quarantine.check(now, &parts) {
                Admission::Refuse { until } => until,
                Admission::Accept | Admission::Try => now,
            };
            let unsent = self.active(id).and_then(|active| active.unsent.as_ref());
            let problem = match unsent {
                Some(unsent) => problems::quarantined(unsent, now, until),
                None => problems::failed(),
            };
            self.refuse(now, id, problem);
        }
        self.finish(cx, id);
    }

    /// Suspects a crash if the answer to a request broke off at its beginning.
    pub(super) fn suspect_crash(&mut self, cx: CX![], id: names::Request) {
        let now = cx.now();
        let Some(active) = self.active(id) else {
            return;
        };
        let Some(running) = &active.running else {
            return;
        };
        if running.head_at.is_none_or(|at| now > at + BEGINNING) {
            return;
        }
        let upstream = running.upstream.clone();
        let run = Run { upstream: short_hash(&upstream), born: running.born };
        let has_begun_well = running.parts >= MIN_SOUND_PIECES;
        active.broken_beginnings += usize::from(!has_begun_well);
        let parts = crash_parts(active.metadata.prompt.as_ref());
        if parts.is_empty() {
            return;
        }
        if let Check::At(at) = self.quarantine.record_broken(now, run, &parts) {
            at!(at, [cx], check_upstream(run, upstream));
        }
    }

    /// Checks whether an upstream whose answer broke off has ended.
    fn check_upstream(&mut self, cx: CX![], run: Run, upstream: Upstream) {
        match self.table.expected_address(&upstream, run.born) {
            Some(address) => self.begin_check(cx, run, upstream, address),
            None => self.quarantine.drop_suspicion(run),
        }
    }

    fn begin_check(&mut self, cx: CX![], run: Run, upstream: Upstream, address: SocketAddr) {
        let deadline = cx.now() + CHECK_TIMEOUT;
        let result = ret_some_to!([cx], finish_check(run, upstream) as (Listening));
        call!([self.client], check_listening(address, deadline, result));
    }

    fn finish_check(&mut self, cx: CX![], run: Run, upstream: Upstream, listening: Listening) {
        self.quarantine.record_check(cx.now(), run, &upstream, listening);
    }

    /// Records that the answer to a request has got past its beginning, once for each attempt.
    /// `is_complete` says that it has ended, and that its end is known to be complete.
    pub(super) fn record_sound(&mut self, now: Instant, id: names::Request, is_complete: bool) {
        let Some(active) = self.active(id) else {
            return;
        };
        let Some(running) = &mut active.running else {
            return;
        };
        let is_past = running.parts >= MIN_SOUND_PIECES
            && running.head_at.is_some_and(|at| now >= at + BEGINNING);
        if running.is_sound || running.status != 200 || !(is_past || is_complete) {
            return;
        }
        running.is_sound = true;
        let parts = crash_parts(active.metadata.prompt.as_ref());
        self.quarantine.record_sound(now, &parts);
    }
}
