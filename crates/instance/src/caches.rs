//! The actor that keeps what upstreams say of their caches.

use std::sync::Arc;

use operator::Response;
use serde_json::json;
use stakker::CX;
use telemetry::Metrics;
use upstream::cache::{Events, Index, Outcome, Snapshot};

use crate::operators::Ask;

/// Keeps the index of cached context.
pub(crate) struct Caches {
    index: Index,
    metrics: Arc<Metrics>,
}

fn answer(ask: Ask, outcome: Result<Outcome, upstream::Error>) {
    match outcome {
        Ok(outcome) => ask.answer(Response::json(200, &json!({ "outcome": outcome }))),
        Err(error) => ask.answer(Response::error(400, "invalid_cache_events", error.to_string())),
    }
}

impl Caches {
    pub(crate) fn init(_: CX![], metrics: Arc<Metrics>) -> Option<Self> {
        Some(Self { index: Index::default(), metrics })
    }

    /// Takes changes of an upstream's cache.
    pub(crate) fn take(&mut self, _: CX![], ask: Ask) {
        let events = Events::try_from(ask.request.body.as_slice());
        let outcome = events.map(|events| self.index.take(events));
        if matches!(outcome, Ok(Outcome::Resync)) {
            self.metrics.cache_resyncs.inc();
        }
        answer(ask, outcome);
    }

    /// Takes all blocks of an upstream's cache.
    pub(crate) fn reset(&mut self, _: CX![], ask: Ask) {
        let snapshot = Snapshot::try_from(ask.request.body.as_slice());
        let outcome = snapshot.map(|snapshot| self.index.reset(snapshot));
        answer(ask, outcome);
    }
}
