//! Upstreams that are cold, which sustain fewer requests than usual.

use std::time::{Duration, Instant};

use catalogue::Catalogue;
use forward::{ColdLimits, PromptLength};
use names::{DataCentre, Service, Upstream};
use telemetry::Event;

use super::{TableEntry, UpstreamTable};

/// Bounds of the settings on the requests that arrive at a cold upstream in a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in crate::forwarder) struct ColdBounds {
    /// Multiple of the rate that the upstream sustains.
    pub(in crate::forwarder) excess: f64,
    /// Number of requests in addition.
    pub(in crate::forwarder) slack: f64,
}

impl ColdBounds {
    /// Returns the bounds, or `None` unless the settings name both.
    pub(in crate::forwarder) fn new(direct: &settings::Direct) -> Option<Self> {
        Some(Self { excess: direct.cold_excess?, slack: direct.cold_slack? })
    }
}

/// Limits of the cold upstreams of a service.
struct ServiceLimits {
    service: Service,
    limits: ColdLimits,
    per_second: f64,
    /// Time for which an upstream is cold.
    duration: Duration,
}

/// What is declared about cold upstreams.
#[derive(Default)]
pub(super) struct ColdServices {
    bounds: Option<ColdBounds>,
    services: Vec<ServiceLimits>,
}

impl ColdServices {
    pub(super) fn new(bounds: Option<ColdBounds>) -> Self {
        Self { bounds, services: Vec::new() }
    }

    fn find(&self, service: &Service) -> Option<&ServiceLimits> {
        self.services.iter().find(|limits| limits.service == *service)
    }
}

/// An upstream that is cold.
pub(in crate::forwarder) struct ColdUpstream {
    pub(in crate::forwarder) short_hash: u32,
    pub(in crate::forwarder) upstream: Upstream,
    pub(in crate::forwarder) data_centre: DataCentre,
    /// Whether the upstream has an allowance already.
    pub(in crate::forwarder) has_allowance: bool,
}

impl UpstreamTable {
    /// Sets the limits of cold upstreams from the services of a catalogue.
    pub(in crate::forwarder) fn set_cold_services(&mut self, catalogue: &Catalogue) {
        let Some(ColdBounds { excess, slack }) = self.cold_services.bounds else {
            return;
        };
        let limits = |service: &catalogue::Service| {
            let cold = service.cold?;
            Some(ServiceLimits {
                service: service.name.clone(),
                limits: ColdLimits::new(cold.per_second, excess, slack)?,
                per_second: cold.per_second,
                duration: cold.duration,
            })
        };
        self.cold_services.services = catalogue.services().iter().filter_map(limits).collect();
    }

    /// Makes the upstreams of a data centre whose evacuation ends at `now` count as cold, until they
    /// have had the time to announce that they are not.
    pub(super) fn mark_cold_after_evacuation(&mut self, now: Instant, data_centre: &DataCentre) {
        let entries = self.entries.iter_mut();
        for entry in entries.filter(|entry| entry.announcement.data_centre == *data_centre) {
            entry.cold_time.end_evacuation(now);
        }
    }

    /// Returns the upstreams that are cold or have an allowance.
    pub(in crate::forwarder) fn cold_upstreams(&self, now: Instant) -> Vec<ColdUpstream> {
        if self.cold_services.services.is_empty() {
            return Vec::new();
        }
        let is_cold = |entry: &&TableEntry| entry.is_cold || self.cold_until(now, entry).is_some();
        let cold = self.entries.iter().filter(is_cold);
        let upstream = |entry: &TableEntry| ColdUpstream {
            short_hash: entry.short_hash,
            upstream: entry.announcement.upstream.clone(),
            data_centre: entry.announcement.data_centre.clone(),
            has_allowance: entry.is_cold,
        };
        cold.map(upstream).collect()
    }

    /// Applies the allowances of cold upstreams. `tracked` has the short hashes of the names of those
    /// without an allowance whose load tracker this instance is. Returns whether any upstream has
    /// become warm.
    pub(in crate::forwarder) fn apply_cold(&mut self, now: Instant, tracked: &[u32]) -> bool {
        let mut has_warmed = false;
        let mut count = 0;
        for index in 0..self.entries.len() {
            let entry = &self.entries[index];
            let until = self.cold_until(now, entry);
            let run = (entry.short_hash, entry.announcement.born);
            let limits = self.cold_services.find(&entry.announcement.service);
            if let (Some(until), Some(limits)) = (until, limits) {
                let is_tracker = tracked.contains(&run.0);
                self.rate_limits.set_cold(now, run, limits.limits, until, is_tracker);
                count += 1;
            } else if entry.is_cold {
                self.rate_limits.clear_cold(run.0, run.1);
            }
            if until.is_some() != entry.is_cold {
                has_warmed |= entry.is_cold;
                let remaining = until.map(|until| until.saturating_duration_since(now));
                Event::Cold {
                    upstream: entry.announcement.upstream.to_string(),
                    is_cold: until.is_some(),
                    remaining_ms: remaining.map_or(0, crate::forwarder::millis),
                    per_second: limits.map(|limits| limits.per_second),
                }
                .write();
                self.entries[index].is_cold = until.is_some();
            }
        }
        self.metrics.relay.cold_upstreams.set(count);
        has_warmed
    }

    /// Returns whether any upstream was cold when the allowances were last applied.
    pub(in crate::forwarder) fn has_cold(&self) -> bool {
        self.entries.iter().any(|entry| entry.is_cold)
    }

    /// Returns the time at which the first cold upstream of `service` takes a request of this
    /// instance, among those that take none now.
    pub(in crate::forwarder) fn cold_opens_at(
        &self,
        now: Instant,
        service: &Service,
    ) -> Option<Instant> {
        let of_service = self.entries.iter().filter(|entry| entry.announcement.service == *service);
        let cold = of_service.filter(|entry| entry.is_cold && self.is_ready(entry));
        cold.filter_map(|entry| self.limited_until(now, entry)).min()
    }

    /// Returns whether `upstream` was cold when the allowances were last applied.
    pub(in crate::forwarder) fn is_cold(&self, upstream: &Upstream) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| entry.announcement.upstream == *upstream && entry.is_cold)
    }

    /// Returns whether the upstream whose name has the short hash `short_hash` may get a request of
    /// any instance, and counts it. `prompt` is the length of the prompt if the upstream is cold as
    /// far as the instance knows that asks.
    pub(in crate::forwarder) fn grant(
        &mut self,
        now: Instant,
        short_hash: u32,
        prompt: Option<PromptLength>,
    ) -> bool {
        let length = prompt.unwrap_or(PromptLength::Short);
        let is_granted = self.rate_limits.grant_prompt(now, short_hash, length, prompt.is_some());
        let is_cold =
            self.entries.iter().any(|entry| entry.short_hash == short_hash && entry.is_cold);
        if is_cold || prompt.is_some() {
            let relay = &self.metrics.relay;
            let counter = if is_granted { &relay.cold_granted } else { &relay.cold_denied };
            counter.inc();
        }
        is_granted
    }

    /// Returns the time until which an upstream is cold, if it is cold at `now` and its service has
    /// limits for that.
    fn cold_until(&self, now: Instant, entry: &TableEntry) -> Option<Instant> {
        let limits = self.cold_services.find(&entry.announcement.service)?;
        entry.cold_time.until(now, limits.duration, entry.last_heard)
    }
}
