//! Requests that are not answered yet.

use std::time::{Duration, Instant};

use dispatch::Progress;
use entry::Reply;
use names::{Attempt, Upstream};
use stakker::Fwd;

use super::answer::Answer;
use super::route::Route;
use crate::placer::Permit;

/// Fewest parts of an answer that tell its pace.
const MIN_PARTS: u32 = 4;

/// The attempt that is running.
pub(super) struct Calling {
    pub(super) attempt: Attempt,
    pub(super) permit: Permit,
    /// When the upstream was last heard of.
    pub(super) heard: Instant,
    /// Parts of the answer that have arrived, and when the first one did.
    pub(super) parts: u32,
    pub(super) first_part: Instant,
}

/// What a request is doing.
pub(super) enum Phase {
    /// Waits for its idempotency key.
    Claiming,
    /// Waits for a permit, or for the time of the next attempt.
    Placing,
    /// Has a permit, and waits for the context of its conversation.
    Preparing(Permit),
    /// An upstream has it.
    Calling(Calling),
    /// Has its answer, which waits until it is recorded.
    Recording(Reply),
}

/// One request that is not answered yet.
pub(super) struct Active {
    pub(super) id: names::Request,
    pub(super) arrived: Instant,
    pub(super) route: Route,
    pub(super) reply: Fwd<Reply>,
    pub(super) phase: Phase,
    pub(super) answer: Answer,
    pub(super) tried: Vec<Upstream>,
    pub(super) attempts: usize,
    /// Attempts since the caller last received anything.
    pub(super) fruitless: usize,
    /// Whether upstreams that fail or lag are left out.
    pub(super) avoids_unhealthy: bool,
    /// The attempt under which its idempotency key is claimed.
    pub(super) fence: Option<Attempt>,
    pub(super) has_started: bool,
    /// When the caller last got a part of a stream.
    pub(super) last_part: Option<Instant>,
    /// Whether no earlier request with the same idempotency key can have run.
    pub(super) is_first: bool,
    /// Whether an earlier attempt may have run.
    pub(super) may_have_run: bool,
}

impl Calling {
    pub(super) fn new(attempt: Attempt, permit: Permit, now: Instant) -> Self {
        Self { attempt, permit, heard: now, parts: 0, first_part: now }
    }

    /// Takes note that `progress` has arrived.
    pub(super) fn hear(&mut self, progress: &Progress, now: Instant) {
        self.heard = now;
        if matches!(progress, Progress::Part(_)) {
            if self.parts == 0 {
                self.first_part = now;
            }
            self.parts += 1;
        }
    }
}

impl Active {
    pub(super) fn new(
        id: names::Request,
        arrived: Instant,
        route: Route,
        reply: Fwd<Reply>,
    ) -> Self {
        let answer = Answer::new(route.streams, route.adapter);
        let is_first = route.ticket.is_none() || route.is_first;
        Self {
            id,
            arrived,
            route,
            reply,
            phase: Phase::Placing,
            answer,
            tried: Vec::new(),
            attempts: 0,
            fruitless: 0,
            avoids_unhealthy: true,
            fence: None,
            has_started: false,
            last_part: None,
            is_first,
            may_have_run: false,
        }
    }

    /// The running attempt.
    pub(super) fn calling(&mut self) -> Option<&mut Calling> {
        match &mut self.phase {
            Phase::Calling(calling) => Some(calling),
            _ => None,
        }
    }

    /// Mean time between the parts of the running attempt's answer; none while there are few.
    pub(super) fn pace(&self, now: Instant) -> Option<Duration> {
        match &self.phase {
            Phase::Calling(calling) if calling.parts >= MIN_PARTS => {
                let elapsed = now.saturating_duration_since(calling.first_part);
                Some(elapsed / (calling.parts - 1))
            }
            _ => None,
        }
    }
}
