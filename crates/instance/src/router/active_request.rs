//! State of requests that have no final response yet.

use std::time::{Duration, Instant};

use dispatch::Progress;
use entry::{Hold, Reply, Unsent};
use names::{Attempt, Upstream};
use stakker::Fwd;

use super::response::UpstreamResponse;
use super::route::Route;
use crate::placer::Permit;

/// Minimum number of parts of a stream from which its pace is computed.
const MIN_PARTS_FOR_PACE: u32 = 4;

/// The running attempt of a request.
pub(super) struct RunningAttempt {
    pub(super) attempt: Attempt,
    pub(super) permit: Permit,
    /// Evidence that no earlier attempt of the request has run.
    pub(super) unsent: Option<Unsent>,
    /// Time of the last progress from the upstream.
    pub(super) last_progress: Instant,
    /// Number of parts of the response that have arrived.
    pub(super) parts: u32,
    /// Time at which the first part arrived.
    pub(super) first_part: Instant,
    /// Time at which the head of the response arrived.
    pub(super) head_at: Option<Instant>,
    /// HTTP status of the response, or 0 before the response starts.
    pub(super) status: u16,
    /// Whether the response has got past its beginning.
    pub(super) is_sound: bool,
    /// Whether a permit at another upstream is sought because the upstream is silent.
    pub(super) is_seeking: bool,
}

/// Processing phase of a request.
pub(super) enum Phase {
    /// Waits for the claim of the idempotency key.
    Claiming,
    /// Waits for a permit or for the backoff before the next attempt.
    Placing,
    /// Has a permit and waits for the transfer of cached context.
    Preparing(Permit),
    /// Has been sent to an upstream.
    Calling(RunningAttempt),
    /// Has a response, which is held until the ledger has recorded it.
    Recording(Reply),
}

/// A request that has no final response yet.
pub(super) struct ActiveRequest {
    pub(super) id: names::Request,
    pub(super) arrived: Instant,
    pub(super) route: Route,
    /// Memory that is reserved for the request, which is held until its end.
    pub(super) _hold: Hold,
    pub(super) reply: Fwd<Reply>,
    pub(super) phase: Phase,
    pub(super) response: UpstreamResponse,
    pub(super) tried: Vec<Upstream>,
    /// Upstreams that the request left only because they were silent.
    pub(super) left: Vec<Upstream>,
    pub(super) attempts: usize,
    /// Number of attempts since the caller last received data.
    pub(super) attempts_without_progress: usize,
    /// Whether placement excludes upstreams that are failing or slow.
    pub(super) avoids_unhealthy: bool,
    /// Fencing token under which the idempotency key is claimed.
    pub(super) fence: Option<Attempt>,
    /// Whether the caller has received the start of the response.
    pub(super) has_started: bool,
    /// Time at which the caller last received a part of a stream.
    pub(super) last_part: Option<Instant>,
    /// Whether it is certain that no earlier request with the same idempotency key has run.
    pub(super) is_first: bool,
    /// Evidence that the request has not run, unless the running attempt holds it.
    pub(super) unsent: Option<Unsent>,
    /// Number of attempts whose response broke off within its first pieces.
    pub(super) broken_beginnings: usize,
    /// Time before which the request is not placed again, because it is checked whether an upstream
    /// has ended under it.
    pub(super) checked_until: Instant,
    /// Whether the request is the trial of a quarantined key.
    pub(super) is_trial: bool,
}

impl RunningAttempt {
    pub(super) fn new(
        attempt: Attempt,
        permit: Permit,
        unsent: Option<Unsent>,
        now: Instant,
    ) -> Self {
        Self {
            attempt,
            permit,
            unsent,
            last_progress: now,
            parts: 0,
            first_part: now,
            head_at: None,
            status: 0,
            is_sound: false,
            is_seeking: false,
        }
    }

    /// Records the arrival of `progress`.
    pub(super) fn record_progress(&mut self, progress: &Progress, now: Instant) {
        self.last_progress = now;
        if let Progress::Head { status, .. } = progress {
            self.head_at = Some(now);
            self.status = *status;
        }
        if matches!(progress, Progress::Body(_)) {
            if self.parts == 0 {
                self.first_part = now;
            }
            self.parts += 1;
        }
    }
}

impl ActiveRequest {
    pub(super) fn new(
        id: names::Request,
        unsent: Unsent,
        arrived: Instant,
        (route, hold): (Route, Hold),
        reply: Fwd<Reply>,
        is_trial: bool,
    ) -> Self {
        let response = UpstreamResponse::new(route.streams, route.is_idempotent, route.adapter);
        let is_first = route.claim_identity.is_none() || route.is_first;
        Self {
            id,
            arrived,
            route,
            _hold: hold,
            reply,
            phase: Phase::Placing,
            response,
            tried: Vec::new(),
            left: Vec::new(),
            attempts: 0,
            attempts_without_progress: 0,
            avoids_unhealthy: true,
            fence: None,
            has_started: false,
            last_part: None,
            is_first,
            unsent: Some(unsent),
            broken_beginnings: 0,
            checked_until: arrived,
            is_trial,
        }
    }

    /// Returns the evidence that neither this request nor an earlier one with the same idempotency
    /// key has run, if there is any.
    pub(super) fn unsent(&self) -> Option<&Unsent> {
        self.unsent.as_ref().filter(|_| self.is_first)
    }

    /// Returns the running attempt, if there is one.
    pub(super) fn running_attempt(&mut self) -> Option<&mut RunningAttempt> {
        match &mut self.phase {
            Phase::Calling(running) => Some(running),
            _ => None,
        }
    }

    /// Returns the mean time between the parts of the running attempt, or `None` while fewer than
    /// [`MIN_PARTS_FOR_PACE`] parts have arrived.
    pub(super) fn pace(&self, now: Instant) -> Option<Duration> {
        match &self.phase {
            Phase::Calling(running) if running.parts >= MIN_PARTS_FOR_PACE => {
                let elapsed = now.saturating_duration_since(running.first_part);
                Some(elapsed / (running.parts - 1))
            }
            _ => None,
        }
    }
}
