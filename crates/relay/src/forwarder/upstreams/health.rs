//! Records successes and failures of upstreams.

use std::time::{Duration, Instant};

use names::{Service, Upstream};

use super::UpstreamTable;

impl UpstreamTable {
    /// Records that another upstream answered at the address of `upstream`.
    pub(in crate::forwarder) fn record_replaced(&mut self, upstream: &Upstream) {
        if let Some(entry) = self.entry(upstream) {
            entry.is_replaced = true;
            let service = entry.announcement.service.clone();
            self.log_avoided(&service, upstream, "replaced");
        }
    }

    /// Records a successful response.
    pub(in crate::forwarder) fn record_success(&mut self, service: &Service, upstream: &Upstream) {
        self.health.record_success(service, upstream);
    }

    /// Records a failure. If `is_lost` is set, the upstream could not be reached and is avoided
    /// immediately.
    pub(in crate::forwarder) fn record_failure(
        &mut self,
        now: Instant,
        service: &Service,
        upstream: &Upstream,
        is_lost: bool,
    ) {
        let data_centre = self.entry(upstream).map(|entry| entry.announcement.data_centre.clone());
        if let Some(data_centre) = data_centre.filter(|_| is_lost) {
            self.link(&data_centre).last_lost = Some(now);
        }
        let health_change = match is_lost {
            true => self.health.record_unreachable(service, upstream, now),
            false => self.health.record_failure(service, upstream, now),
        };
        if health_change == dispatch::HealthChange::Avoided {
            let reason = if is_lost { "unreachable" } else { "failures" };
            self.log_avoided(service, upstream, reason);
        }
    }

    /// Records the time that one unit of a response took.
    pub(in crate::forwarder) fn record_latency(
        &mut self,
        now: Instant,
        service: &Service,
        upstream: &Upstream,
        latency: Duration,
    ) {
        if self.health.record_latency(service, upstream, latency, now)
            == dispatch::HealthChange::Avoided
        {
            self.log_avoided(service, upstream, "slow");
        }
    }

    pub(super) fn log_avoided(
        &mut self,
        service: &Service,
        upstream: &Upstream,
        reason: &'static str,
    ) {
        let own = self.entry(upstream).map_or(0, |entry| entry.estimate.own());
        let (upstream, service) = (upstream.to_string(), service.to_string());
        telemetry::Event::Avoided { upstream, service, reason, own }.write();
        self.metrics.relay.count_avoided(reason);
    }
}
