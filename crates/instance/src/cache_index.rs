//! Actor that indexes the cached blocks that upstreams report.

use std::sync::Arc;

use operator::Response;
use serde_json::json;
use stakker::CX;
use telemetry::Metrics;
use upstream::cache::{Events, Index, Outcome, Snapshot};

use crate::operators::PendingRequest;

/// Owns the index of the blocks in the caches of the upstreams.
pub(crate) struct CacheIndex {
    index: Index,
    metrics: Arc<Metrics>,
}

fn respond(pending: PendingRequest, outcome: Result<Outcome, upstream::Error>) {
    match outcome {
        Ok(outcome) => pending.respond(Response::json(200, &json!({ "outcome": outcome }))),
        Err(error) => {
            pending.respond(Response::error(400, "invalid_cache_events", error.to_string()))
        }
    }
}

impl CacheIndex {
    pub(crate) fn init(_: CX![], metrics: Arc<Metrics>) -> Option<Self> {
        Some(Self { index: Index::default(), metrics })
    }

    /// Applies incremental events of an upstream's cache.
    pub(crate) fn apply_events(&mut self, _: CX![], pending: PendingRequest) {
        let events = Events::try_from(pending.request.body.as_slice());
        let outcome = events.map(|events| self.index.take(events));
        if matches!(outcome, Ok(Outcome::Resync)) {
            self.metrics.cache_resyncs.inc();
        }
        respond(pending, outcome);
    }

    /// Replaces all indexed blocks of an upstream with those of a snapshot.
    pub(crate) fn replace_blocks(&mut self, _: CX![], pending: PendingRequest) {
        let snapshot = Snapshot::try_from(pending.request.body.as_slice());
        let outcome = snapshot.map(|snapshot| self.index.reset(snapshot));
        respond(pending, outcome);
    }
}
