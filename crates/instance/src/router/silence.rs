//! Attempts whose upstream is silent: they go on until another upstream has a permit for the
//! request.

use std::time::Instant;

use admission::Tokens;
use dispatch::{SilenceAction, SilentAttempt, Verdict};
use names::Attempt;
use stakker::{CX, at, call, ret_some_to};

use super::Router;
use super::active_request::Phase;
use crate::placer::{Permit, PermitRequest, PlacementOutcome};

impl Router {
    /// Asks for a permit at another upstream if the attempt is silent and another one may follow.
    pub(super) fn check_silence(&mut self, cx: CX![], attempt: Attempt) {
        let Some(index) = self.find_attempt(attempt) else {
            return;
        };
        let Some(silent) = self.silent_attempt(cx.now(), index, false) else {
            return;
        };
        match silent.next_step(cx.now(), &mut self.budget) {
            SilenceAction::Seek => self.seek_upstream(cx, index, attempt),
            SilenceAction::Wait | SilenceAction::Move => self.keep_attempt(cx, index),
        }
    }

    /// Returns the state of the running attempt for a check of its silence.
    fn silent_attempt(
        &self,
        now: Instant,
        index: usize,
        has_permit: bool,
    ) -> Option<SilentAttempt> {
        let Phase::Calling(running) = &self.active[index].phase else {
            return None;
        };
        let failure = self.failed_attempt(now, index, Verdict::MayHaveRun);
        Some(SilentAttempt { failure, last_progress: running.last_progress, has_permit })
    }

    fn seek_upstream(&mut self, cx: CX![], index: usize, attempt: Attempt) {
        let active = &mut self.active[index];
        let mut excluded = active.tried.clone();
        excluded.extend(self.health.avoided_upstreams(&active.route.service, cx.now()));
        let permit_request = PermitRequest::new(active.id, &active.route, excluded);
        if let Some(running) = active.running_attempt() {
            running.is_seeking = true;
        }
        let placed = ret_some_to!([cx], on_other_placed(attempt) as (PlacementOutcome));
        call!([self.placer], place(permit_request, placed));
    }

    /// Keeps the running attempt and schedules the next check of its silence.
    fn keep_attempt(&mut self, cx: CX![], index: usize) {
        let Some(silent) = self.silent_attempt(cx.now(), index, false) else {
            return;
        };
        if let Some(running) = self.active[index].running_attempt() {
            running.is_seeking = false;
            let attempt = running.attempt;
            at!(silent.next_check(cx.now()), [cx], check_silence(attempt));
        }
    }

    /// Ends the search for another upstream, if there is one, since the attempt has made progress.
    pub(super) fn end_search(&mut self, cx: CX![], index: usize) {
        if self.is_seeking(index) {
            call!([self.placer], withdraw(self.active[index].id));
            self.keep_attempt(cx, index);
        }
    }

    fn is_seeking(&self, index: usize) -> bool {
        matches!(&self.active[index].phase, Phase::Calling(running) if running.is_seeking)
    }

    fn on_other_placed(&mut self, cx: CX![], attempt: Attempt, placed: PlacementOutcome) {
        let seeking = self.find_attempt(attempt).filter(|index| self.is_seeking(*index));
        match (seeking, placed) {
            (Some(index), PlacementOutcome::Granted(permit)) => self.use_permit(cx, index, permit),
            (Some(index), _) => self.keep_attempt(cx, index),
            (None, PlacementOutcome::Granted(permit)) => self.return_unused(permit),
            (None, _) => {}
        }
    }

    /// Moves the request to the upstream of `permit`, or returns the permit.
    fn use_permit(&mut self, cx: CX![], index: usize, permit: Permit) {
        let silent = self.silent_attempt(cx.now(), index, true);
        match silent.map(|silent| silent.next_step(cx.now(), &mut self.budget)) {
            Some(SilenceAction::Move) => self.move_request(cx, index, permit),
            _ => {
                self.return_unused(permit);
                self.keep_attempt(cx, index);
            }
        }
    }

    /// Returns a permit under which no work was done.
    fn return_unused(&self, permit: Permit) {
        call!([self.placer], release(Permit { cost: Tokens(0), ..permit }));
    }

    fn move_request(&mut self, cx: CX![], index: usize, permit: Permit) {
        self.record_outcome(cx, index, false);
        let active = &mut self.active[index];
        let has_started = active.has_started;
        if let Phase::Calling(running) = &active.phase {
            let (from, to) = (&running.permit.upstream, &permit.upstream);
            log::debug!("request {}: upstream {from} is silent; moving to {to}", active.id);
            active.left.push(from.clone());
        }
        self.metrics.count_refused(if has_started { "resume" } else { "retry" });
        call!([self.placer], withdraw(active.id));
        self.release(index);
        self.call_upstream(cx, index, permit);
    }
}
