//! Keeps the requests to cold upstreams within their allowance.

use std::time::Instant;

use forward::{Candidate, NamedLimit, PromptLength};
use names::Service;
use stakker::CX;

use super::Forwarder;
use super::active_request::ActiveRequest;
use super::upstreams::ColdUpstream;

/// Number of prompt tokens from which a prompt is long at a cold upstream, which has no context and
/// reads all of it. Engines read some 65 tokens in a millisecond, so that a long prompt takes more
/// than a quarter of the shortest objective.
const LONG_PROMPT_TOKENS: u64 = 4096;

impl Forwarder {
    /// Applies the allowances of cold upstreams. Returns whether any upstream has become warm.
    pub(super) fn apply_cold(&mut self, now: Instant) -> bool {
        let cold = self.table.cold_upstreams(now);
        if cold.is_empty() && self.metrics.relay.cold_upstreams.get() == 0 {
            return false;
        }
        let new: Vec<ColdUpstream> = cold.into_iter().filter(|cold| !cold.has_allowance).collect();
        let tracked = self.tracked(&new);
        self.table.apply_cold(now, &tracked)
    }

    /// Sets the instances among which the allowances of cold upstreams are divided.
    pub(super) fn set_cold_senders(&mut self, now: Instant) {
        let tracked = self.tracked(&self.table.cold_upstreams(now));
        let peers = self.peers.iter().map(|peer| peer.instance.clone()).collect();
        self.table.set_senders(now, peers, &tracked);
    }

    /// Returns the short hashes of the names of the upstreams whose load tracker this instance is.
    fn tracked(&self, cold: &[ColdUpstream]) -> Vec<u32> {
        let is_tracked =
            |cold: &&ColdUpstream| self.tracker(&cold.upstream, &cold.data_centre).is_none();
        cold.iter().filter(is_tracked).map(|cold| cold.short_hash).collect()
    }

    /// Applies the ends of cold times, and serves the requests that waited for them.
    pub(super) fn check_cold(&mut self, cx: CX![]) {
        if self.apply_cold(cx.now()) {
            self.serve_queues(cx);
        }
    }

    /// Sends queued requests after a pause, and waits for the next allowance of a cold upstream.
    pub(super) fn serve_after_pause(&mut self, cx: CX![]) {
        self.serve_queues(cx);
        if self.table.has_cold() {
            self.update_queue_timer(cx);
        }
    }

    /// Removes cold upstreams from the candidates of a long prompt while a short one waits.
    pub(super) fn withhold_cold(&mut self, index: usize, candidates: &mut Vec<Candidate>) {
        let is_any_cold = candidates.iter().any(|candidate| candidate.limit == NamedLimit::Cold);
        if is_any_cold && self.gives_way(index) {
            candidates.retain(|candidate| candidate.limit != NamedLimit::Cold);
        }
    }

    /// Returns whether the request at `index` leaves cold upstreams to shorter prompts that wait.
    pub(super) fn gives_way(&mut self, index: usize) -> bool {
        let active = &self.requests[index];
        if !self.table.has_cold() || active.prompt_length() == PromptLength::Short {
            return false;
        }
        let (id, service) = (active.id(), active.service.clone());
        let waiting = self.traffic(&service).queue.items();
        let mut others = waiting.into_iter().filter(|other| *other != id);
        others.any(|other| {
            self.active(other).is_some_and(|other| other.prompt_length() == PromptLength::Short)
        })
    }

    /// Counts a request that was not placed although a cold upstream of its service has no allowance
    /// for it. In a large fleet the load trackers count.
    pub(super) fn count_cold_denial(&self, now: Instant, service: &Service) {
        let is_small_fleet = !forward::is_large_fleet(self.entry_count);
        if is_small_fleet && self.table.cold_opens_at(now, service).is_some() {
            self.metrics.relay.cold_denied.inc();
        }
    }
}

impl ActiveRequest {
    /// Returns the length of the prompt for an upstream that has read no part of it.
    pub(super) fn prompt_length(&self) -> PromptLength {
        let parts = self.metadata.prompt.iter().flat_map(|prompt| &prompt.parts);
        let tokens = parts.map(|part| part.tokens).fold(0, u64::saturating_add);
        if tokens >= LONG_PROMPT_TOKENS { PromptLength::Long } else { PromptLength::Short }
    }
}
