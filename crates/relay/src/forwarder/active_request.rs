//! One request that is not answered yet.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use catalogue::{Repeat, Route};
use entry::{Reply, Request};
use forward::{Setback, Tail, Wish};
use names::{Attempt, ClientAccount, Service, Upstream};
use stakker::{FixedTimerKey, Fwd};
use xxhash_rust::xxh3::xxh3_64;

use super::tracker_queries::UpstreamSearch;
use crate::interface::{AttemptMetadata, RequestMetadata};

/// An attempt that runs.
pub(super) struct RunningAttempt {
    pub(super) attempt: Attempt,
    pub(super) upstream: Upstream,
    pub(super) since: Instant,
    /// Prompt tokens that the upstream probably has to read.
    pub(super) tokens: f64,
    pub(super) has_head: bool,
    /// HTTP status of its answer, 0 while there is none.
    pub(super) status: u16,
    /// When its first byte came, and how many parts did.
    pub(super) first: Option<Instant>,
    pub(super) parts: u32,
    pub(super) timer: FixedTimerKey,
    /// When its next event is due, once the head of its answer is there.
    pub(super) event_due: Option<Instant>,
}

/// A request on its link.
pub(super) struct ActiveRequest {
    pub(super) request: Request,
    pub(super) body: Rc<[u8]>,
    pub(super) reply: Fwd<Reply>,
    pub(super) metadata: RequestMetadata,
    pub(super) route: Route,
    pub(super) service: Service,
    pub(super) account: Option<ClientAccount>,
    pub(super) rank: u8,
    pub(super) arrived: Instant,
    /// When the answer must be whole.
    pub(super) deadline: Instant,
    /// Upstreams that it was sent to.
    pub(super) tried: Vec<Upstream>,
    /// Attempts that may have run.
    pub(super) runs: usize,
    /// Attempts that did not run.
    pub(super) refusals: usize,
    pub(super) running: Option<RunningAttempt>,
    /// The search for its next upstream, while keepers are asked.
    pub(super) search: Option<UpstreamSearch>,
    /// Whether the caller has the head of the answer.
    pub(super) is_started: bool,
    pub(super) tail: Option<Tail>,
    /// Upstreams that could be chosen when it was last placed, and those among them that were
    /// avoided.
    pub(super) candidates: usize,
    pub(super) unusable: usize,
    pub(super) timer: FixedTimerKey,
}

impl ActiveRequest {
    pub(super) fn id(&self) -> names::Request {
        self.request.id
    }

    /// What the next upstream has to know.
    pub(super) fn attempt_metadata(
        &self,
        now: Instant,
        upstream: Upstream,
        context_source: Option<SocketAddr>,
    ) -> AttemptMetadata {
        let last_event_id = self.tail.as_ref().and_then(Tail::last).map(str::to_string);
        AttemptMetadata {
            upstream,
            time_left: Some(self.deadline.saturating_duration_since(now)),
            account: self.account.clone(),
            rank: self.rank,
            context_source,
            last_event_id: last_event_id.or_else(|| self.metadata.last_event_id.clone()),
            body_bytes: self.body.len(),
        }
    }

    /// What the request wants of its upstream: to be where the shared part of its prompt is.
    pub(super) fn wish(&self) -> Wish {
        let parts = self.metadata.prompt.as_ref().map(|prompt| prompt.parts.as_slice());
        let shared = parts.and_then(|parts| match parts {
            [.., shared, _] => Some(shared.id),
            [only] => Some(only.id),
            [] => None,
        });
        let key = shared.map(|id| xxh3_64(&id.to_le_bytes()));
        Wish { key, lot: self.request.id.0 }
    }

    /// Prompt tokens of the request's own, which every upstream has to read.
    pub(super) fn own_tokens(&self) -> f64 {
        let parts = self.metadata.prompt.as_ref().and_then(|prompt| prompt.parts.last());
        parts.map_or(0.0, |part| part.tokens as f64)
    }

    /// How the request stands after an attempt failed with `verdict`.
    pub(super) fn setback(&self, now: Instant, verdict: dispatch::Verdict) -> Setback {
        Setback {
            verdict,
            is_idempotent: self.route.repeat.is_idempotent(),
            has_started: self.is_started,
            can_resume: self.tail.is_some() && self.route.repeat == Repeat::Resumed,
            runs: self.runs,
            refusals: self.refusals,
            attempts: self.route.attempts.max(1),
            has_time: now < self.deadline,
        }
    }
}
