//! Requests that are not answered yet.

use std::time::Instant;

use dispatch::Handle;
use entry::Reply;
use names::{Attempt, Upstream};
use stakker::Fwd;

use super::answer::Answer;
use super::route::Route;
use crate::placer::Permit;

/// The attempt that is running.
pub(super) struct Calling {
    pub(super) attempt: Attempt,
    pub(super) permit: Permit,
    pub(super) handle: Handle,
    /// When the upstream was last heard of.
    pub(super) heard: Instant,
}

/// What a request is doing.
pub(super) enum Phase {
    /// Waits for its idempotency key.
    Claiming,
    /// Waits for a permit, or for the time of the next attempt.
    Placing,
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
    /// The attempt under which its idempotency key is claimed.
    pub(super) fence: Option<Attempt>,
    pub(super) has_started: bool,
}

impl Active {
    pub(super) fn new(
        id: names::Request,
        arrived: Instant,
        route: Route,
        reply: Fwd<Reply>,
    ) -> Self {
        let answer = Answer::new(route.streams, route.adapter);
        Self {
            id,
            arrived,
            route,
            reply,
            phase: Phase::Placing,
            answer,
            tried: Vec::new(),
            attempts: 0,
            fence: None,
            has_started: false,
        }
    }

    /// The running attempt.
    pub(super) fn calling(&mut self) -> Option<&mut Calling> {
        match &mut self.phase {
            Phase::Calling(calling) => Some(calling),
            _ => None,
        }
    }

    /// Whether the running attempt is `attempt`.
    pub(super) fn is_calling(&self, attempt: Attempt) -> bool {
        matches!(&self.phase, Phase::Calling(calling) if calling.attempt == attempt)
    }
}
