//! Prompts of this instance at upstreams, and the pace of upstreams.

use std::time::Instant;

use forward::{EngineCost, EngineWork, Pace, UpstreamWork};
use names::{Service, Upstream};

use super::{TableEntry, UpstreamTable};

impl UpstreamTable {
    /// Returns whether an upstream of `service` has named its pace in this run.
    pub(in crate::forwarder) fn names_pace(&self, service: &Service) -> bool {
        let mut of_service =
            self.entries.iter().filter(|entry| entry.announcement.service == *service);
        of_service.any(|entry| entry.prompt_work.pace().is_reported())
    }

    /// Counts a request that is placed at `upstream` with the prompt in `cost`.
    pub(in crate::forwarder) fn begin_prompt(
        &mut self,
        request: names::Request,
        upstream: &Upstream,
        cost: EngineCost,
    ) {
        if let Some(entry) = self.entry(upstream) {
            entry.prompt_work.begin(request, &cost);
        }
        self.update_unread_metric();
    }

    /// Records that `upstream` has read the prompt of a request.
    pub(in crate::forwarder) fn record_prompt_read(
        &mut self,
        request: names::Request,
        upstream: &Upstream,
    ) {
        if let Some(entry) = self.entry(upstream) {
            entry.prompt_work.record_read(request);
        }
        self.update_unread_metric();
    }

    /// Removes the prompt of a request that ended at `upstream` or is not sent there.
    pub(in crate::forwarder) fn end_prompt(
        &mut self,
        request: names::Request,
        upstream: &Upstream,
    ) {
        if let Some(entry) = self.entry(upstream) {
            entry.prompt_work.end(request);
        }
        self.update_unread_metric();
    }

    /// Records the pace of an upstream that another instance received at `now`.
    pub(in crate::forwarder) fn receive_pace(&mut self, now: Instant, short_hash: u32, pace: Pace) {
        let mut entries = self.entries.iter_mut();
        if let Some(entry) = entries.find(|entry| entry.short_hash == short_hash) {
            entry.prompt_work.record_pace(now, pace);
        }
    }

    /// Returns the pace of an upstream in percent, or `None` if it named none in this run.
    pub(in crate::forwarder) fn pace_percent(&self, now: Instant, short_hash: u32) -> Option<f64> {
        let entry = self.entries.iter().find(|entry| entry.short_hash == short_hash)?;
        let pace = entry.prompt_work.pace();
        pace.is_reported().then(|| pace.percent(now))
    }

    /// Returns the work at `upstream` as this instance knows it, apart from `request`.
    pub(in crate::forwarder) fn engine_work(
        &self,
        now: Instant,
        request: names::Request,
        upstream: &Upstream,
    ) -> Option<EngineWork> {
        let entry = self.entries.iter().find(|entry| entry.announcement.upstream == *upstream)?;
        Some(entry.prompt_work.work(now, request))
    }

    fn update_unread_metric(&self) {
        let unread: f64 = self.entries.iter().map(|entry| entry.prompt_work.unread_tokens()).sum();
        self.metrics.relay.unread_prompt_tokens.set(unread as i64);
    }
}

impl TableEntry {
    /// Returns the work of this instance at the upstream.
    pub(super) fn upstream_work(&self) -> UpstreamWork {
        UpstreamWork {
            requests: self.estimate.own(),
            urgent: self.prompt_work.urgent(),
            unread_tokens: self.prompt_work.unread_tokens() as u32,
        }
    }
}
