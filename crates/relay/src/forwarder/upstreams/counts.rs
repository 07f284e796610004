//! How many requests of this instance upstreams have.

use names::{DataCentre, Service, Upstream};
use roster::Announcement;

use super::{Entry, Table};

/// How many requests of this instance an upstream has.
#[derive(Debug, Clone, Copy)]
pub(in crate::forwarder) struct Counted<'a> {
    pub(in crate::forwarder) upstream: &'a Upstream,
    pub(in crate::forwarder) service: &'a Service,
    pub(in crate::forwarder) data_centre: &'a DataCentre,
    pub(in crate::forwarder) short: u32,
    pub(in crate::forwarder) own: u32,
}

impl Table {
    /// Short name and service of `upstream`, the data centre that it runs in, and how many requests
    /// this instance has there.
    pub(in crate::forwarder) fn count(&self, upstream: &Upstream) -> Option<Counted<'_>> {
        let found = self.entries.iter().find(|one| one.announcement.upstream == *upstream);
        found.map(Entry::counted)
    }

    /// The same of the upstream with this short name.
    pub(in crate::forwarder) fn count_of(&self, short: u32) -> Option<Counted<'_>> {
        self.entries.iter().find(|one| one.short == short).map(Entry::counted)
    }

    /// Short names of all upstreams of `service`.
    pub(in crate::forwarder) fn kin(&self, service: &Service) -> impl Iterator<Item = u32> {
        let of_service = self.entries.iter().filter(|one| one.announcement.service == *service);
        of_service.map(|entry| entry.short)
    }

    /// The same of all upstreams that have requests of this instance.
    pub(in crate::forwarder) fn counts(&self) -> impl Iterator<Item = Counted<'_>> {
        self.entries.iter().filter(|one| one.gauge.own() > 0).map(Entry::counted)
    }

    /// Requests of this instance at upstreams of `service`.
    pub(in crate::forwarder) fn in_flight(&self, service: &Service) -> u32 {
        let of_service = self.entries.iter().filter(|one| one.announcement.service == *service);
        of_service.map(|entry| entry.gauge.own()).sum()
    }

    /// Requests that the ready upstreams of `service` work on at once.
    pub(in crate::forwarder) fn slots(&self, service: &Service) -> u32 {
        let of_service = self.entries.iter().filter(|one| one.announcement.service == *service);
        of_service.filter(|one| one.is_ready()).map(|one| one.announcement.slots.max(1)).sum()
    }
}

impl Entry {
    fn counted(&self) -> Counted<'_> {
        let Announcement { upstream, service, data_centre, .. } = &self.announcement;
        Counted { upstream, service, data_centre, short: self.short, own: self.gauge.own() }
    }
}
