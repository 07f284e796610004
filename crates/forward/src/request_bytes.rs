//! Bytes of requests in flight at upstreams, which have to hold them in memory.

use std::collections::BTreeMap;

/// Requests of this instance that one run of an upstream holds.
#[derive(Debug, Clone, Copy, Default)]
struct Held {
    bytes: u64,
    requests: u32,
    /// Whether it was reported that the upstream takes no further requests.
    is_reported: bool,
}

/// Bytes of the requests that one instance has in flight at each upstream, and their limit. An
/// upstream is identified by the short hash of its name and the start of its run.
#[derive(Debug, Clone)]
pub struct RequestBytes {
    limit: u64,
    /// Runs of upstreams that have requests.
    runs: BTreeMap<(u32, u64), Held>,
}

impl RequestBytes {
    /// Creates the counts of an instance that may have `limit` bytes in flight at one upstream.
    pub fn new(limit: u64) -> Self {
        Self { limit, runs: BTreeMap::new() }
    }

    /// Returns whether every upstream takes a request of `bytes` bytes.
    pub fn admits_everywhere(&self, bytes: u64) -> bool {
        self.runs.values().all(|held| self.fits(held, bytes))
    }

    /// Returns whether the run of an upstream takes a request of `bytes` bytes. A request above the
    /// limit is taken while the upstream has no other one.
    pub fn admits(&self, upstream: u32, born: u64, bytes: u64) -> bool {
        self.runs.get(&(upstream, born)).is_none_or(|held| self.fits(held, bytes))
    }

    /// Records that the run of an upstream did not take a request. Returns the bytes that it has if
    /// that was not reported since it last had no request.
    pub fn record_denied(&mut self, upstream: u32, born: u64) -> Option<u64> {
        let held = self.runs.get_mut(&(upstream, born))?;
        (!std::mem::replace(&mut held.is_reported, true)).then_some(held.bytes)
    }

    /// Counts a request of `bytes` bytes that is sent to the run of an upstream.
    pub fn begin(&mut self, upstream: u32, born: u64, bytes: u64) {
        let held = self.runs.entry((upstream, born)).or_default();
        held.bytes = held.bytes.saturating_add(bytes);
        held.requests += 1;
    }

    /// Removes a request of `bytes` bytes, which has ended.
    pub fn end(&mut self, upstream: u32, born: u64, bytes: u64) {
        let Some(held) = self.runs.get_mut(&(upstream, born)) else {
            return;
        };
        held.bytes = held.bytes.saturating_sub(bytes);
        held.requests = held.requests.saturating_sub(1);
        if held.requests == 0 {
            self.runs.remove(&(upstream, born));
        }
    }

    /// Returns the bytes at the upstream that has most.
    pub fn largest(&self) -> u64 {
        self.runs.values().map(|held| held.bytes).max().unwrap_or(0)
    }

    fn fits(&self, held: &Held, bytes: u64) -> bool {
        held.bytes.checked_add(bytes).is_some_and(|sum| sum <= self.limit)
    }
}
