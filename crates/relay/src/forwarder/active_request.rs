//! A request that is not answered yet.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use catalogue::{Repeat, Route};
use entry::{Hold, Reply, Request, Unsent};
use forward::{EventBoundary, FailedAttempt, Pace, RoutingKey, StreamTracker, stall_timeout};
use names::{Attempt, ClientAccount, Service, Upstream};
use quarantine::{Key, Run};
use roster::short_hash;
use stakker::{FixedTimerKey, Fwd};
use xxhash_rust::xxh3::xxh3_64;

use super::prompt_costs::PlacementBasis;
use super::tracker_queries::UpstreamSearch;
use crate::interface::{AttemptMetadata, RequestMetadata};

/// Largest number of parts of a prompt that are logged.
const MAX_LOGGED_PARTS: usize = 8;

/// Number of attempts that may break off at the beginning of the response. A request that upstreams
/// crash under is not sent to a third one.
const MAX_BROKEN_BEGINNINGS: usize = 2;

/// What an upstream has not sent for so long that the request may move to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub(super) enum Silence {
    /// The upstream has sent nothing at all, for any request.
    #[strum(to_string = "the upstream sent nothing")]
    Upstream,
    /// The upstream has sent no complete event of the stream.
    #[strum(to_string = "the upstream sent no event")]
    Stream,
    /// The upstream has not begun its response.
    #[strum(to_string = "the upstream did not respond within the time for an attempt")]
    Response,
}

/// An attempt in progress.
pub(super) struct RunningAttempt {
    pub(super) attempt: Attempt,
    pub(super) upstream: Upstream,
    /// Start of the run of the upstream.
    pub(super) born: u64,
    /// Evidence that no earlier attempt of the request has run.
    pub(super) unsent: Option<Unsent>,
    pub(super) started_at: Instant,
    /// Number of bytes of the request.
    pub(super) size: u64,
    /// Number of prompt tokens that the upstream probably has to process.
    pub(super) tokens: f64,
    /// Time of the head of the response.
    pub(super) head_at: Option<Instant>,
    /// Pace that the upstream named in the head of the response.
    pub(super) pace: Option<Pace>,
    /// HTTP status of the response, or 0 before the response starts.
    pub(super) status: u16,
    /// Time of the first byte of the body.
    pub(super) first_byte_at: Option<Instant>,
    /// Number of body parts received.
    pub(super) parts: u32,
    pub(super) timer: FixedTimerKey,
    /// Whether the response has got past its beginning.
    pub(super) is_sound: bool,
    /// Position in the events of the response.
    pub(super) boundary: EventBoundary,
    /// Why the attempt broke off, while it is checked whether the upstream has ended.
    pub(super) broken: Option<String>,
    /// Whether the upstream has closed the connection, and the end of the response is held back.
    pub(super) is_closed: bool,
    /// Time at which the next event is due, once the head of the response has arrived.
    pub(super) event_due: Option<Instant>,
    /// Time from which the request may move because the response has not begun. `None` if it never
    /// does.
    pub(super) response_due: Option<Instant>,
    /// Whether the log already says that the upstream is silent.
    pub(super) is_stall_logged: bool,
}

/// Address that a request was sent to.
pub(super) struct SentTo {
    address: SocketAddr,
    /// Time of the first attempt there.
    first_at: Instant,
}

/// A request in progress.
pub(super) struct ActiveRequest {
    pub(super) request: Request,
    pub(super) body: Rc<[u8]>,
    /// Memory that is reserved for the request, which is held until its end.
    pub(super) _hold: Hold,
    pub(super) reply: Fwd<Reply>,
    pub(super) metadata: RequestMetadata,
    pub(super) route: Route,
    pub(super) service: Service,
    /// Maximum number of connections to one upstream when the request was accepted. It applies once
    /// the service is no longer in the catalogue.
    pub(super) connections: Option<usize>,
    pub(super) account: Option<ClientAccount>,
    pub(super) rank: u8,
    pub(super) arrived_at: Instant,
    /// Time by which the response must be complete.
    pub(super) deadline: Instant,
    /// Time until which the request may wait for an upstream with capacity.
    pub(super) queue_until: Instant,
    /// Whether the request was queued before.
    pub(super) has_waited: bool,
    /// Upstreams that the request was sent to.
    pub(super) tried: Vec<Upstream>,
    /// Sorted by address.
    pub(super) sent_to: Vec<SentTo>,
    /// Evidence that the request has not run, unless the attempt in progress holds it.
    pub(super) unsent: Option<Unsent>,
    /// Number of attempts that may have run.
    pub(super) runs: usize,
    /// Number of attempts that did not run.
    pub(super) refusals: usize,
    /// Number of attempts whose response broke off within its first pieces.
    pub(super) broken_beginnings: usize,
    /// Keys under which crashes of upstreams are recorded, the most specific first.
    pub(super) keys: Vec<Key>,
    /// Whether the request is the trial of a quarantined key.
    pub(super) is_trial: bool,
    pub(super) running: Option<RunningAttempt>,
    /// What the last placement was based on, if it depended on costs.
    pub(super) basis: Option<PlacementBasis>,
    /// Search for the next upstream while load trackers are asked.
    pub(super) search: Option<UpstreamSearch>,
    /// Whether the head of the response was sent to the caller.
    pub(super) is_started: bool,
    pub(super) stream_tracker: Option<StreamTracker>,
    /// Number of upstreams that could be chosen at the last placement.
    pub(super) candidates: usize,
    /// Number of these upstreams that were avoided.
    pub(super) unusable: usize,
    /// Whether an upstream was left out at the last placement because it has too many bytes.
    pub(super) lacks_room: bool,
    pub(super) timer: FixedTimerKey,
}

impl RunningAttempt {
    pub(super) fn run(&self) -> Run {
        Run { upstream: short_hash(&self.upstream), born: self.born }
    }
}

impl ActiveRequest {
    /// Returns whether only the end of the response is held back.
    pub(super) fn is_closed(&self) -> bool {
        self.running.as_ref().is_some_and(|running| running.is_closed)
    }

    pub(super) fn id(&self) -> names::Request {
        self.request.id
    }

    /// Returns the parts of the prompt for the log.
    pub(super) fn prompt_text(&self) -> String {
        let parts = self.metadata.prompt.iter().flat_map(|prompt| &prompt.parts);
        let parts = parts.take(MAX_LOGGED_PARTS).map(|part| format!("{:016x}", part.id));
        parts.collect::<Vec<_>>().join(",")
    }

    /// Returns the key that the same request has whenever it is sent again, for the log.
    pub(super) fn key_text(&self) -> String {
        self.keys.first().map_or(String::new(), Key::to_string)
    }

    /// Returns whether a part of the response was sent to the caller, and another upstream can
    /// continue it.
    pub(super) fn can_resume(&self) -> bool {
        self.is_started && self.stream_tracker.is_some()
    }

    /// Prepares a stream whose attempt has ended for its resumption. The stream may wait for an
    /// upstream while its caller waits for the next event.
    pub(super) fn resume_later(&mut self, now: Instant) {
        if let Some(stream_tracker) = &mut self.stream_tracker {
            stream_tracker.restart();
        }
        self.queue_until = now + stall_timeout(self.route.objective, self.route.pause);
    }

    /// Records that the request is sent to `address`. Returns the time at which it was first sent
    /// there, if it was sent there before.
    pub(super) fn record_sent(&mut self, now: Instant, address: SocketAddr) -> Option<Instant> {
        match self.sent_to.binary_search_by_key(&address, |sent_to| sent_to.address) {
            Ok(index) => Some(self.sent_to[index].first_at),
            Err(index) => {
                self.sent_to.insert(index, SentTo { address, first_at: now });
                None
            }
        }
    }

    /// Returns the metadata of the next attempt, which is sent to `upstream`.
    pub(super) fn attempt_metadata(
        &self,
        now: Instant,
        upstream: Upstream,
        context_source: Option<SocketAddr>,
    ) -> AttemptMetadata {
        let last_event_id =
            self.stream_tracker.as_ref().and_then(StreamTracker::last_event_id).map(str::to_string);
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

    /// Returns the routing key of the request. Requests with the same shared part of the prompt
    /// have the same affinity key, so that they prefer the same upstream.
    pub(super) fn routing_key(&self) -> RoutingKey {
        let parts = self.metadata.prompt.as_ref().map(|prompt| prompt.parts.as_slice());
        let shared = parts.and_then(|parts| match parts {
            [.., shared, _] => Some(shared.id),
            [only] => Some(only.id),
            [] => None,
        });
        let key = shared.map(|id| xxh3_64(&id.to_le_bytes()));
        RoutingKey { affinity_key: key, random: self.request.id.0 }
    }

    /// Returns the number of prompt tokens that are specific to the request, which every upstream
    /// has to process.
    pub(super) fn own_tokens(&self) -> f64 {
        let parts = self.metadata.prompt.as_ref().and_then(|prompt| prompt.parts.last());
        parts.map_or(0.0, |part| part.tokens as f64)
    }

    /// Returns the number of prompt tokens that other requests may share, which an upstream with the
    /// context of the request does not process.
    pub(super) fn shared_tokens(&self) -> f64 {
        let parts = self.metadata.prompt.as_ref().map_or(&[][..], |prompt| &prompt.parts);
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.tokens as f64).sum()
    }

    /// Returns the state of the request after an attempt failed with `verdict`.
    /// `is_dangerous` says whether another attempt could crash another upstream.
    pub(super) fn failed_attempt(
        &self,
        now: Instant,
        verdict: dispatch::Verdict,
        is_dangerous: bool,
    ) -> FailedAttempt {
        FailedAttempt {
            verdict,
            is_idempotent: self.route.repeat.is_idempotent(),
            has_started: self.is_started,
            can_resume: self.stream_tracker.is_some() && self.route.repeat == Repeat::Resumed,
            runs: self.runs,
            refusals: self.refusals,
            attempts: self.route.attempts.max(1),
            has_time: now < self.deadline,
            is_dangerous: is_dangerous || self.broken_beginnings >= MAX_BROKEN_BEGINNINGS,
        }
    }
}
