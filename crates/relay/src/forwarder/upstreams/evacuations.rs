//! Keeps new requests from the upstreams of data centres that operators evacuated.

use std::time::Instant;

use names::Service;

use super::{TableEntry, UpstreamTable};

impl UpstreamTable {
    /// Returns whether the data centre of an upstream is evacuated.
    pub(super) fn is_evacuated(&self, entry: &TableEntry) -> bool {
        self.evacuations.is_evacuated(&entry.announcement.data_centre)
    }

    /// Returns whether `service` has upstreams that would get requests, and all of them are in
    /// evacuated data centres.
    pub(in crate::forwarder) fn is_service_evacuated(&self, service: &Service) -> bool {
        let of_service = self.entries.iter().filter(|entry| entry.announcement.service == *service);
        let mut in_service = of_service.filter(|entry| self.is_in_service(entry)).peekable();
        in_service.peek().is_some() && in_service.all(|entry| self.is_evacuated(entry))
    }

    /// Returns the time at which the slow start of an upstream began.
    pub(super) fn slow_start_since(&self, entry: &TableEntry) -> Instant {
        self.evacuations.slow_start_since(&entry.announcement.data_centre, entry.known_since)
    }
}
