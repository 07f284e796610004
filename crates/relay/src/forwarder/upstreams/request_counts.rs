//! Counts the requests of this instance at upstreams.

use forward::UpstreamWork;
use names::{DataCentre, Service, Upstream};
use roster::Announcement;

use super::{TableEntry, UpstreamTable};

/// Number of requests of this instance at an upstream, with the names of the upstream.
#[derive(Debug, Clone, Copy)]
pub(in crate::forwarder) struct RequestCount<'a> {
    pub(in crate::forwarder) upstream: &'a Upstream,
    pub(in crate::forwarder) service: &'a Service,
    pub(in crate::forwarder) data_centre: &'a DataCentre,
    pub(in crate::forwarder) short_hash: u32,
    /// Number of requests that the upstream processes concurrently.
    pub(in crate::forwarder) slots: u32,
    pub(in crate::forwarder) requests: u32,
    /// These requests and their prompts, for the load tracker.
    pub(in crate::forwarder) work: UpstreamWork,
}

impl UpstreamTable {
    /// Returns the request count of `upstream`.
    pub(in crate::forwarder) fn request_count(
        &self,
        upstream: &Upstream,
    ) -> Option<RequestCount<'_>> {
        let found = self.entries.iter().find(|entry| entry.announcement.upstream == *upstream);
        found.map(TableEntry::request_count)
    }

    /// Returns the request count of the upstream whose name has the short hash `short_hash`.
    pub(in crate::forwarder) fn request_count_by_short_hash(
        &self,
        short_hash: u32,
    ) -> Option<RequestCount<'_>> {
        self.entries
            .iter()
            .find(|entry| entry.short_hash == short_hash)
            .map(TableEntry::request_count)
    }

    /// Returns the short hashes of the names of all upstreams of `service`.
    pub(in crate::forwarder) fn service_upstreams(
        &self,
        service: &Service,
    ) -> impl Iterator<Item = u32> {
        let service_entries =
            self.entries.iter().filter(|entry| entry.announcement.service == *service);
        service_entries.map(|entry| entry.short_hash)
    }

    /// Returns the request counts of all upstreams that have requests of this instance.
    pub(in crate::forwarder) fn request_counts(&self) -> impl Iterator<Item = RequestCount<'_>> {
        self.entries.iter().filter(|entry| entry.estimate.own() > 0).map(TableEntry::request_count)
    }

    /// Returns the number of requests of this instance at all upstreams of `service`.
    pub(in crate::forwarder) fn in_flight(&self, service: &Service) -> u32 {
        let service_entries =
            self.entries.iter().filter(|entry| entry.announcement.service == *service);
        service_entries.map(|entry| entry.estimate.own()).sum()
    }

    /// Returns the number of requests that the ready upstreams of `service` process concurrently.
    pub(in crate::forwarder) fn slots(&self, service: &Service) -> u32 {
        let service_entries =
            self.entries.iter().filter(|entry| entry.announcement.service == *service);
        service_entries
            .filter(|entry| self.is_ready(entry))
            .map(|entry| entry.announcement.slots.max(1))
            .fold(0, u32::saturating_add)
    }
}

impl TableEntry {
    fn request_count(&self) -> RequestCount<'_> {
        let Announcement { upstream, service, data_centre, slots, .. } = &self.announcement;
        RequestCount {
            upstream,
            service,
            data_centre,
            short_hash: self.short_hash,
            slots: *slots,
            requests: self.estimate.own(),
            work: self.upstream_work(),
        }
    }
}
