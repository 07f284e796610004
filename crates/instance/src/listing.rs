//! Upstreams in operator responses and metrics.

use declare::Declarations;
use names::{Instance, Upstream};
use permit::Usage;
use serde::Serialize;
use telemetry::{OwnerSample, UpstreamSample};
use upstream::{Announcement, Entry, Registry};

/// An upstream in the response of `GET /upstreams`.
#[derive(Serialize)]
pub(crate) struct UpstreamListing<'a> {
    #[serde(flatten)]
    announcement: &'a Announcement,
    /// Instance that grants the permits for the upstream.
    owner: Option<&'a Instance>,
    /// Number of requests from this instance in flight at the upstream.
    in_flight: usize,
    /// Number of running requests in the latest load report.
    running: Option<u32>,
    /// Number of waiting requests in the latest load report.
    waiting: Option<u32>,
    /// Whether a declared drain stops new requests to the upstream.
    is_drained: bool,
}

impl<'a> UpstreamListing<'a> {
    pub(crate) fn new(entry: &'a Entry, in_flight: usize, declarations: &Declarations) -> Self {
        Self {
            announcement: &entry.announcement,
            owner: None,
            in_flight,
            running: entry.load.as_ref().map(|load| load.running),
            waiting: entry.load.as_ref().map(|load| load.waiting),
            is_drained: declarations.is_drained(&entry.announcement.labels),
        }
    }

    /// Sets the instance that grants the permits for the upstream.
    pub(crate) fn with_owner(self, owner: Option<&'a Instance>) -> Self {
        Self { owner, ..self }
    }
}

/// Returns the metric samples of all upstreams that are not gone. `usage` must be sorted by name.
pub(crate) fn upstream_samples(registry: &Registry, usage: &[Usage<'_>]) -> Vec<UpstreamSample> {
    let owned = |upstream: &Upstream| {
        let index = usage.binary_search_by(|used| used.upstream.cmp(upstream)).ok()?;
        let Usage { in_flight, bound, waiting, .. } = usage[index];
        Some(OwnerSample { in_flight, bound, waiting })
    };
    let entries = registry.iter().map(|entry| {
        let upstream = &entry.announcement.upstream;
        let load = entry.load.as_ref();
        UpstreamSample {
            upstream: upstream.to_string(),
            cached_blocks: load.map_or(0, |load| load.cached_blocks),
            computed_blocks: load.map_or(0, |load| load.computed_blocks),
            owned: owned(upstream),
        }
    });
    entries.collect()
}
