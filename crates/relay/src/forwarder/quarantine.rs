//! Refuses requests with parts of prompts that crash upstreams, and reports what their answers show.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dispatch::Listening;
use entry::{Problem, Request};
use names::{ClientAccount, Upstream};
use quarantine::{Admission, BEGINNING, Check, Key, MIN_SOUND_PIECES, Run};
use roster::short_hash;
use stakker::{CX, at, call, ret_some_to};

use super::{Forwarder, problems};
use crate::interface::{Prompt, RequestMetadata};

/// Time that a check whether an upstream listens may take.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns the keys of a request with `prompt`: the parts. The last part comes first, because
/// only a limited number of keys is looked at: a request that is sent again and again crashes
/// upstreams although sound requests share all of its other parts.
pub(super) fn crash_keys(prompt: Option<&Prompt>) -> Vec<Key> {
    let parts = prompt.map_or(&[][..], |prompt| prompt.parts.as_slice());
    let (last, shared) =
        parts.split_last().map_or((None, &[][..]), |(last, rest)| (Some(last), rest));
    last.into_iter().chain(shared).map(|part| Key(part.id)).collect()
}

/// Returns the key of a whole request of `account`: all that is the same when a caller sends the
/// request again.
pub(super) fn request_key(
    request: &Request,
    metadata: &RequestMetadata,
    account: Option<&ClientAccount>,
) -> Key {
    let method: &str = request.method.into();
    let caller = account.map(ClientAccount::as_str).or(metadata.api_key.as_deref());
    Key::of_request(&[
        method.as_bytes(),
        metadata.host.as_bytes(),
        request.path.as_bytes(),
        caller.unwrap_or_default().as_bytes(),
        &request.body,
    ])
}

impl Forwarder {
    /// Checks a new request with `keys`. Returns whether it is the trial of a quarantined key.
    ///
    /// # Errors
    ///
    /// The refusal, if a key is quarantined.
    pub(super) fn admit_keys(&self, now: Instant, keys: &[Key]) -> Result<bool, Problem> {
        match self.quarantine.check(now, keys) {
            Admission::Accept => Ok(false),
            Admission::Try => Ok(true),
            Admission::Refuse { until } => Err(problems::quarantined(now, until)),
        }
    }

    /// Returns whether a key of a request is quarantined.
    pub(super) fn is_quarantined(&self, now: Instant, id: names::Request) -> bool {
        let Ok(index) = self.find(id) else {
            return false;
        };
        self.quarantine.check(now, &self.requests[index].keys) != Admission::Accept
    }

    /// Returns whether the request at `index` may be sent. A key may have been quarantined since
    /// the request arrived.
    pub(super) fn may_send_keys(&self, now: Instant, index: usize) -> bool {
        let active = &self.requests[index];
        let is_trial = active.is_trial && active.tried.is_empty();
        is_trial || self.quarantine.check(now, &active.keys) == Admission::Accept
    }

    /// Ends a request that is not sent because one of its keys is quarantined. A request in progress
    /// goes on.
    pub(super) fn refuse_quarantined(&mut self, cx: CX![], id: names::Request) {
        let now = cx.now();
        let Some(active) = self.active(id).filter(|active| active.running.is_none()) else {
            return;
        };
        let keys = active.keys.clone();
        let (is_started, has_run) = (active.is_started, active.runs > 0);
        match (is_started, has_run, self.quarantine.check(now, &keys)) {
            (true, _, _) => self.abort_response(now, id, "quarantined"),
            (false, false, Admission::Refuse { until }) => {
                self.refuse(now, id, problems::quarantined(now, until));
            }
            (false, false, _) => self.refuse(now, id, problems::quarantined(now, now)),
            (false, true, _) => self.refuse(now, id, problems::failed()),
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
        let keys = active.keys.clone();
        if keys.is_empty() {
            return;
        }
        if let Check::At(at) = self.quarantine.record_broken(now, run, &keys) {
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
        let keys = active.keys.clone();
        self.quarantine.record_sound(now, &keys);
    }
}
