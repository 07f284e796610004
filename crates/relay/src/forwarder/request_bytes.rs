//! Limits the bytes of requests that this instance has in flight at one upstream.

use forward::Candidate;
use names::Upstream;
use roster::short_hash;
use telemetry::Event;

use super::Forwarder;
use super::active_request::{ActiveRequest, RunningAttempt};

/// Bytes of a header line beside its name and value.
const HEADER_LINE_BYTES: usize = 4;

impl ActiveRequest {
    /// Returns the size of the request as its caller sent it, which is about what its upstream holds.
    pub(super) fn size(&self) -> u64 {
        let headers = self.request.headers.iter();
        let headers: usize =
            headers.map(|header| header.name.len() + header.value.len() + HEADER_LINE_BYTES).sum();
        (self.request.path.len() + headers + self.body.len()) as u64
    }
}

impl Forwarder {
    /// Removes the candidates that have too many bytes in flight for the request at `index`.
    pub(super) fn retain_with_room(&mut self, index: usize, candidates: &mut Vec<Candidate>) {
        let size = self.requests[index].size();
        self.requests[index].lacks_room = false;
        if self.request_bytes.admits_everywhere(size) {
            return;
        }
        let before = candidates.len();
        candidates.retain(|candidate| self.has_room(&candidate.upstream, size));
        if candidates.len() < before {
            self.requests[index].lacks_room = true;
            self.metrics.relay.bytes_limited.inc();
        }
    }

    /// Returns whether `upstream` may get a request of `size` bytes. Reports the first time that it
    /// may not.
    pub(super) fn has_room(&mut self, upstream: &Upstream, size: u64) -> bool {
        let Some(born) = self.table.endpoint(upstream).map(|endpoint| endpoint.born) else {
            return true;
        };
        let hash = short_hash(upstream);
        let has_room = self.request_bytes.admits(hash, born, size);
        if !has_room && let Some(bytes) = self.request_bytes.record_denied(hash, born) {
            let limit = self.settings.direct.upstream_bytes.as_bytes() as u64;
            Event::BytesLimited { upstream: upstream.to_string(), bytes, limit, size }.write();
        }
        has_room
    }

    /// Counts the bytes of an attempt that begins.
    pub(super) fn count_bytes(&mut self, upstream: &Upstream, born: u64, size: u64) {
        self.request_bytes.begin(short_hash(upstream), born, size);
        self.export_bytes();
    }

    /// Removes the bytes of an attempt that has ended.
    pub(super) fn release_bytes(&mut self, running: &RunningAttempt) {
        self.request_bytes.end(short_hash(&running.upstream), running.born, running.size);
        self.export_bytes();
    }

    fn export_bytes(&self) {
        let largest = i64::try_from(self.request_bytes.largest()).unwrap_or(i64::MAX);
        self.metrics.relay.upstream_bytes.set(largest);
    }
}
