//! Keeps new requests from upstreams that want none.

use std::time::{Duration, Instant};

use names::{Service, Upstream};
use roster::{Announcement, Status};

use super::{TableEntry, UpstreamTable};

/// Longest time for which an upstream can ask for no requests.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 3600);

/// Time that is added to a pause, since a response may arrive some time after the start of the
/// current turn of the event loop, which is what `now` is.
const PAUSE_MARGIN: Duration = Duration::from_millis(20);

impl UpstreamTable {
    /// Records that a run of an upstream leaves, as it says in a response. Returns whether that is
    /// news.
    pub(in crate::forwarder) fn record_leaving(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        born: u64,
    ) -> bool {
        let is_news = self.cordons.record_leaving(now, upstream, born);
        if let Some(entry) = self.entry(upstream).filter(|_| is_news) {
            let service = entry.announcement.service.clone();
            self.log_avoided(&service, upstream, "leaving");
        }
        is_news
    }

    /// Records that a run of an upstream wants no requests for `wait`, as it says in a refusal.
    pub(in crate::forwarder) fn record_pause(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        born: u64,
        wait: Duration,
    ) {
        if wait.is_zero() {
            return;
        }
        let until = now + wait.min(MAX_PAUSE) + PAUSE_MARGIN;
        let begins = self.cordons.record_pause(now, upstream, born, until);
        if let Some(entry) = self.entry(upstream).filter(|_| begins) {
            let service = entry.announcement.service.clone();
            self.log_avoided(&service, upstream, "asked-to-wait");
        }
    }

    /// Returns whether `upstream` is known and wants no new requests at the moment.
    pub(in crate::forwarder) fn is_cordoned(&self, now: Instant, upstream: &Upstream) -> bool {
        let found = self.entries.iter().find(|entry| entry.announcement.upstream == *upstream);
        found.is_some_and(|entry| {
            self.is_leaving(entry)
                || self.is_evacuated(entry)
                || self.closed_until(now, entry).is_some()
        })
    }

    /// Returns whether any upstream of `service` takes new requests at the moment.
    pub(in crate::forwarder) fn has_open(&self, now: Instant, service: &Service) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| entry.announcement.service == *service && self.is_open(now, entry))
    }

    /// Returns the time at which the first upstream of `service` takes requests again, if all of
    /// them that have not left asked to wait or for fewer requests.
    pub(in crate::forwarder) fn pause_end(
        &self,
        now: Instant,
        service: &Service,
    ) -> Option<Instant> {
        let of_service = |entry: &&TableEntry| entry.announcement.service == *service;
        let ready = self.entries.iter().filter(of_service).filter(|entry| self.is_ready(entry));
        // `None`, an upstream that takes requests now, is the minimum.
        ready.map(|entry| self.closed_until(now, entry)).min().flatten()
    }

    /// Returns whether an upstream takes new requests at the moment.
    pub(super) fn is_open(&self, now: Instant, entry: &TableEntry) -> bool {
        self.is_ready(entry) && self.closed_until(now, entry).is_none()
    }

    /// Returns whether an upstream gets new requests, now or after a pause.
    pub(super) fn is_ready(&self, entry: &TableEntry) -> bool {
        self.is_in_service(entry) && !self.is_evacuated(entry)
    }

    /// Returns whether an upstream takes new requests, now or after a pause, or would do so without
    /// the evacuation of its data centre.
    pub(super) fn is_in_service(&self, entry: &TableEntry) -> bool {
        let is_announced = entry.announcement.standing == Status::Ready;
        is_announced && !entry.is_replaced && !self.is_leaving(entry)
    }

    fn is_leaving(&self, entry: &TableEntry) -> bool {
        let Announcement { upstream, born, .. } = &entry.announcement;
        self.cordons.is_leaving(upstream, *born)
    }

    /// Returns the time from which an upstream takes a request of this instance, or `None` if it
    /// does now: after a pause that it asked for, and within the rate limit that it names.
    fn closed_until(&self, now: Instant, entry: &TableEntry) -> Option<Instant> {
        self.paused_until(now, entry).max(self.limited_until(now, entry))
    }

    fn paused_until(&self, now: Instant, entry: &TableEntry) -> Option<Instant> {
        let Announcement { upstream, born, .. } = &entry.announcement;
        self.cordons.paused_until(now, upstream, *born)
    }
}
