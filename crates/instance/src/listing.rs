//! Upstreams as operators see them.

use declare::Declarations;
use names::{Instance, Upstream};
use permit::Usage;
use serde::Serialize;
use telemetry::{Owned, UpstreamSample};
use upstream::{Announcement, Entry, Registry};

/// An upstream as one instance knows it.
#[derive(Serialize)]
pub(crate) struct Listed<'a> {
    #[serde(flatten)]
    announcement: &'a Announcement,
    /// The instance that gives permits to call it.
    owner: Option<&'a Instance>,
    /// Requests of this instance that it works on.
    in_flight: usize,
    /// Requests that it reported to work on.
    running: Option<u32>,
    /// Requests that it reported to wait inside it.
    waiting: Option<u32>,
    /// Whether a declared drain keeps new work from it.
    is_drained: bool,
}

impl<'a> Listed<'a> {
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

    /// Names the instance that gives permits to call it.
    pub(crate) fn with_owner(self, owner: Option<&'a Instance>) -> Self {
        Self { owner, ..self }
    }
}

/// What the metrics show of the upstreams that are not gone. `usage` is sorted by name.
pub(crate) fn samples(registry: &Registry, usage: &[Usage<'_>]) -> Vec<UpstreamSample> {
    let owned = |upstream: &Upstream| {
        let index = usage.binary_search_by(|used| used.upstream.cmp(upstream)).ok()?;
        let Usage { in_flight, bound, waiting, .. } = usage[index];
        Some(Owned { in_flight, bound, waiting })
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
