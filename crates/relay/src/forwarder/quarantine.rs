//! Refuses requests that crash upstreams, and reports what the ends of their attempts show.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dispatch::{Listening, Verdict};
use entry::{Problem, Request, Unsent};
use instance::CheckResult;
use names::{ClientAccount, Service, Upstream};
use quarantine::{Admission, BEGINNING, Check, Key, MIN_SOUND_PIECES, Run, shows_run};
use stakker::{CX, at, call, ret_some_to};

use super::active_request::{ActiveRequest, RunningAttempt};
use super::{Forwarder, problems};
use crate::interface::{Prompt, RequestMetadata};

/// Time that a check whether an upstream listens may take.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Time that a request whose attempt broke off waits for the check of its upstream. A host that does
/// not respond is no sign of a crash.
const MAX_BREAK_WAIT: Duration = Duration::from_millis(150);

/// Number of upstreams of a service that have to be able to take requests before a request that may
/// crash one of them is sent.
const MIN_WORKING: usize = 3;

/// Returns the parts of a prompt as keys. The last part comes first, because only a limited number
/// of keys is looked at: a request that is sent again and again crashes upstreams although sound
/// requests share all of its other parts.
fn prompt_keys(prompt: Option<&Prompt>) -> Vec<Key> {
    let parts = prompt.map_or(&[][..], |prompt| prompt.parts.as_slice());
    let (last, shared) =
        parts.split_last().map_or((None, &[][..]), |(last, rest)| (Some(last), rest));
    last.into_iter().chain(shared).map(|part| Key(part.id)).collect()
}

/// Returns the keys under which crashes are recorded: the parts of the prompt, or the whole request
/// if it has no prompt.
pub(super) fn crash_keys(
    request: &Request,
    metadata: &RequestMetadata,
    account: Option<&ClientAccount>,
) -> Vec<Key> {
    let keys = prompt_keys(metadata.prompt.as_ref());
    if keys.is_empty() { vec![request_key(request, metadata, account)] } else { keys }
}

/// Returns the key of a whole request of `account`: all that is the same when a caller sends the
/// request again.
fn request_key(
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

/// Returns the keys of a request whose attempt broke off that may have crashed the upstream, or
/// `None` if it is not suspected. Requests with a prompt crash an upstream at the beginning of their
/// answer. Before that hundreds may wait at an engine, too many to suspect each of them.
fn suspected_keys<'a>(
    now: Instant,
    active: &'a ActiveRequest,
    running: &RunningAttempt,
) -> Option<&'a [Key]> {
    let is_suspected = match running.head_at {
        None => active.metadata.prompt.is_none(),
        Some(_) if active.metadata.prompt.is_none() && !active.route.is_streaming => true,
        Some(at) => now <= at + BEGINNING,
    };
    is_suspected.then_some(&active.keys)
}

impl Forwarder {
    /// Checks a new request with `keys`. Returns whether it is the trial of a quarantined key.
    ///
    /// # Errors
    ///
    /// The refusal, if a key is quarantined.
    pub(super) fn admit_keys(
        &self,
        unsent: &Unsent,
        now: Instant,
        keys: &[Key],
    ) -> Result<bool, Problem> {
        match self.quarantine.check(now, keys) {
            Admission::Accept => Ok(false),
            Admission::Try => Ok(true),
            Admission::Refuse { until } => Err(problems::quarantined(unsent, now, until)),
        }
    }

    /// Returns whether a request with `keys` has to wait, because it may crash one of the few
    /// upstreams of `service` that are there.
    fn is_held(&self, now: Instant, service: &Service, keys: &[Key]) -> bool {
        let hazard = self.quarantine.hazard(now, keys).filter(|hazard| now < hazard.until);
        let Some(hazard) = hazard else {
            return false;
        };
        let working = self.table.working(now, service, |run| !self.quarantine.has_ended(run));
        let is_small = self.table.address_count(service) < MIN_WORKING;
        working < MIN_WORKING && (hazard.crashes > 1 || !is_small)
    }

    /// Checks a new request with `keys` for `service`, none of which is quarantined.
    ///
    /// # Errors
    ///
    /// The refusal, if the request has to wait for upstreams that it may have crashed.
    pub(super) fn admit_hazard(
        &self,
        unsent: &Unsent,
        now: Instant,
        deadline: Instant,
        service: &Service,
        keys: &[Key],
    ) -> Result<(), Problem> {
        match self.is_held(now, service, keys) {
            true => Err(problems::suspected(unsent, now, deadline)),
            false => Ok(()),
        }
    }

    /// Returns whether another attempt of a request could crash another upstream.
    pub(super) fn is_dangerous(&self, now: Instant, id: names::Request) -> bool {
        let Ok(index) = self.find(id) else {
            return false;
        };
        let active = &self.requests[index];
        let is_quarantined = self.quarantine.check(now, &active.keys) != Admission::Accept;
        let has_crashed_before =
            || self.quarantine.hazard(now, &active.keys).is_some_and(|hazard| hazard.crashes > 1);
        is_quarantined
            || (!active.is_started
                && (has_crashed_before() || self.is_held(now, &active.service, &active.keys)))
    }

    /// Returns whether the request at `index` may be sent. Upstreams may have crashed under one of
    /// its keys since the request arrived.
    pub(super) fn may_send_keys(&self, now: Instant, index: usize) -> bool {
        let active = &self.requests[index];
        let is_trial = active.is_trial && active.tried.is_empty();
        let is_quarantined = || self.quarantine.check(now, &active.keys) != Admission::Accept;
        let is_held = || !active.is_started && self.is_held(now, &active.service, &active.keys);
        is_trial || !(is_quarantined() || is_held())
    }

    /// Ends a request that is not sent because upstreams crashed under one of its keys. A request in
    /// progress goes on.
    pub(super) fn refuse_quarantined(&mut self, cx: CX![], id: names::Request) {
        let now = cx.now();
        let Some(active) = self.active(id).filter(|active| active.running.is_none()) else {
            return;
        };
        let (keys, deadline) = (active.keys.clone(), active.deadline);
        if active.is_started {
            self.abort_response(now, id, "quarantined");
        } else {
            let check = self.quarantine.check(now, &keys);
            let unsent = self.active(id).and_then(|active| active.unsent.as_ref());
            let problem = match (unsent, check) {
                (None, _) => problems::failed(),
                (Some(unsent), Admission::Refuse { until }) => {
                    problems::quarantined(unsent, now, until)
                }
                (Some(unsent), _) => problems::suspected(unsent, now, deadline),
            };
            self.refuse(now, id, problem);
        }
        self.finish(cx, id);
    }

    /// Suspects a crash if the answer to a request broke off at its beginning. Returns whether the
    /// upstream is checked for that.
    pub(super) fn suspect_crash(&mut self, cx: CX![], id: names::Request) -> bool {
        let now = cx.now();
        let Some(active) = self.active(id) else {
            return false;
        };
        let Some(running) = &active.running else {
            return false;
        };
        let Some(keys) = suspected_keys(now, active, running) else {
            return false;
        };
        let (run, upstream, keys) = (running.run(), running.upstream.clone(), keys.to_vec());
        if running.head_at.is_some() && running.parts < MIN_SOUND_PIECES {
            active.broken_beginnings += 1;
        }
        if let Check::At(at) = self.quarantine.record_broken(now, run, &keys) {
            at!(at, [cx], check_upstream(run, upstream));
        }
        true
    }

    /// Handles an attempt that broke off. Its request goes on once it is known whether the upstream
    /// has ended, so that it crashes no second one before.
    pub(super) fn receive_break(
        &mut self,
        cx: CX![],
        id: names::Request,
        verdict: Verdict,
        reason: String,
    ) {
        let is_checked = verdict == Verdict::MayHaveRun && self.suspect_crash(cx, id);
        self.record_failure(cx, id, verdict);
        let waiting = self.active(id).filter(|active| is_checked && !active.can_resume());
        match waiting.and_then(|active| active.running.as_mut()) {
            Some(running) => {
                running.broken = Some(reason);
                let run = running.run();
                at!(cx.now() + MAX_BREAK_WAIT, [cx], continue_broken(run));
            }
            None => self.end_failed_attempt(cx, id, verdict, &reason),
        }
    }

    /// Continues the requests whose attempts at `run` broke off.
    fn continue_broken(&mut self, cx: CX![], run: Run) {
        let is_broken = |active: &&mut ActiveRequest| {
            active.running.as_ref().is_some_and(|running| running.run() == run)
        };
        let broken = self.requests.iter_mut().filter(is_broken).filter_map(|active| {
            let reason = active.running.as_mut()?.broken.take()?;
            Some((active.id(), reason))
        });
        let broken: Vec<(names::Request, String)> = broken.collect();
        for (id, reason) in broken {
            self.end_failed_attempt(cx, id, Verdict::MayHaveRun, &reason);
        }
    }

    /// Checks whether an upstream whose answer broke off has ended.
    fn check_upstream(&mut self, cx: CX![], run: Run, upstream: Upstream) {
        match self.table.expected_address(&upstream, run.born) {
            Some(address) => self.begin_check(cx, run, upstream, address),
            None => {
                self.quarantine.drop_suspicion(run);
                self.continue_broken(cx, run);
            }
        }
    }

    fn begin_check(&mut self, cx: CX![], run: Run, upstream: Upstream, address: SocketAddr) {
        let deadline = cx.now() + CHECK_TIMEOUT;
        let result = ret_some_to!([cx], finish_check(run, upstream) as (Listening));
        call!([self.client], check_listening(address, deadline, result));
    }

    fn finish_check(&mut self, cx: CX![], run: Run, upstream: Upstream, listening: Listening) {
        let result = self.quarantine.record_check(cx.now(), run, &upstream, listening);
        if let CheckResult::CheckAgain(at) = result {
            at!(at, [cx], check_upstream(run, upstream));
        }
        self.continue_broken(cx, run);
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
        let is_sound = match active.metadata.prompt.is_some() || active.route.is_streaming {
            true => running.status == 200 && (is_past || is_complete),
            false => shows_run(running.status) && is_complete,
        };
        if running.is_sound || !is_sound {
            return;
        }
        running.is_sound = true;
        let keys = active.keys.clone();
        self.quarantine.record_sound(now, &keys);
    }
}
