//! Keeps to the rate limits that upstreams name in their responses.

use std::time::Instant;

use forward::{InvalidRate, LimitChange, LimitReport, NamedLimit, RequestRate};
use names::{Instance, Upstream};
use telemetry::Event;

use super::{TableEntry, UpstreamTable};

impl UpstreamTable {
    /// Sets the other instances, and the number of instances among which limits are divided.
    pub(in crate::forwarder) fn set_instances(&mut self, peers: Vec<Instance>, instances: usize) {
        self.rate_limits.set_instances(peers, instances);
    }

    /// Sets the other instances among which the allowances of cold upstreams are divided. `tracked`
    /// has the short hashes of the names of the upstreams whose load tracker this instance is.
    pub(in crate::forwarder) fn set_senders(
        &mut self,
        now: Instant,
        peers: Vec<Instance>,
        tracked: &[u32],
    ) {
        self.rate_limits.set_senders(now, peers, |upstream| tracked.contains(&upstream));
    }

    /// Records what a response says about the limit of a run of an upstream.
    pub(in crate::forwarder) fn record_limit(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        born: u64,
        limit: Option<Result<RequestRate, InvalidRate>>,
    ) {
        let short_hash = roster::short_hash(upstream);
        match limit.transpose() {
            Ok(limit) => {
                let change = self.rate_limits.record(now, short_hash, born, limit);
                log_change(change, upstream, limit, "itself");
            }
            Err(error) => {
                if self.rate_limits.record_invalid(now, short_hash, born) {
                    log::warn!("ignored the rate limit that upstream {upstream} named: {error}");
                }
            }
        }
    }

    /// Takes over the limits that another instance told of.
    pub(in crate::forwarder) fn merge_limits(
        &mut self,
        now: Instant,
        sender: &Instance,
        reports: &[LimitReport],
    ) {
        for report in reports {
            let is_run = |entry: &&TableEntry| {
                entry.short_hash == report.upstream && entry.announcement.born == report.born
            };
            let Some(entry) = self.entries.iter().find(is_run) else {
                continue;
            };
            let change = self.rate_limits.merge(now, *report);
            log_change(change, &entry.announcement.upstream, report.limit, sender.as_str());
        }
    }

    /// Returns the limits that other instances have to be told of.
    pub(in crate::forwarder) fn limits_to_send(&mut self, now: Instant) -> Vec<LimitReport> {
        let entries = &self.entries;
        self.rate_limits.take_reports(now, |upstream, born| {
            let mut listed = entries.iter();
            listed.any(|entry| entry.short_hash == upstream && entry.announcement.born == born)
        })
    }

    /// Counts a request that is sent to a run of an upstream.
    pub(in crate::forwarder) fn count_sent(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        born: u64,
    ) {
        self.rate_limits.count_request(now, roster::short_hash(upstream), born);
    }

    /// Returns what is known about the rate limit of an upstream.
    pub(super) fn named_limit(&self, now: Instant, entry: &TableEntry) -> NamedLimit {
        self.rate_limits.named(now, entry.short_hash, entry.announcement.born)
    }

    /// Returns the time at which this instance may send the next request to an upstream, or `None`
    /// if it may send one now.
    pub(super) fn limited_until(&self, now: Instant, entry: &TableEntry) -> Option<Instant> {
        self.rate_limits.next_request(now, entry.short_hash, entry.announcement.born)
    }
}

fn log_change(
    change: Option<LimitChange>,
    upstream: &Upstream,
    limit: Option<RequestRate>,
    source: &str,
) {
    if let Some(change) = change {
        Event::RateLimit {
            upstream: upstream.to_string(),
            change: change.to_string(),
            per_second: limit.map(f64::from),
            source: source.to_string(),
        }
        .write();
    }
}
