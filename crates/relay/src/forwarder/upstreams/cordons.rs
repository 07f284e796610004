//! Keeps new requests from upstreams that want none.

use std::time::Instant;

use names::{Service, Upstream};
use roster::{Announcement, Status};

use super::{TableEntry, UpstreamTable};

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

    /// Returns whether `upstream` is known and wants no new requests.
    pub(in crate::forwarder) fn is_cordoned(&self, upstream: &Upstream) -> bool {
        let found = self.entries.iter().find(|entry| entry.announcement.upstream == *upstream);
        found.is_some_and(|entry| self.is_leaving(entry))
    }

    /// Returns whether any upstream of `service` takes new requests.
    pub(in crate::forwarder) fn has_ready(&self, service: &Service) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| entry.announcement.service == *service && self.is_ready(entry))
    }

    /// Returns whether an upstream takes new requests, as far as its announcement and its responses
    /// say.
    pub(super) fn is_ready(&self, entry: &TableEntry) -> bool {
        let is_announced = entry.announcement.standing == Status::Ready;
        is_announced && !entry.is_replaced && !self.is_leaving(entry)
    }

    fn is_leaving(&self, entry: &TableEntry) -> bool {
        let Announcement { upstream, born, .. } = &entry.announcement;
        self.cordons.is_leaving(upstream, *born)
    }
}
