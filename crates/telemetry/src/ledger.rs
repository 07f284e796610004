//! Metrics of the ledger of idempotency keys.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use strum::IntoEnumIterator;

/// Decision of the ledger on a request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum LedgerOutcome {
    /// The key was claimed and the request runs.
    Claimed,
    /// The answer to the request was recorded.
    Recorded,
    /// The recorded answer to an earlier request with the key was sent again.
    Replayed,
    /// The key was already used for a different request.
    Conflict,
    /// An earlier request with the key may have run.
    Unknown,
    /// An earlier request with the key is still running.
    StillRunning,
    /// No quorum can be reached.
    NoQuorum,
    /// The client account has reached its maximum number of keys in use.
    Full,
    /// The attempt was already withdrawn, so the request does not run.
    Withdrawn,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: String,
}

impl From<LedgerOutcome> for OutcomeLabels {
    fn from(outcome: LedgerOutcome) -> Self {
        Self { outcome: outcome.to_string() }
    }
}

/// Counters of the decisions of the ledger at one instance.
#[derive(Debug, Default)]
pub struct LedgerMetrics {
    outcomes: Family<OutcomeLabels, Counter>,
}

impl LedgerMetrics {
    /// Registers the counters of all outcomes at zero.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        for outcome in LedgerOutcome::iter() {
            drop(metrics.outcomes.get_or_create(&outcome.into()));
        }
        registry.register("ledger", "Decisions on idempotency keys", metrics.outcomes.clone());
        metrics
    }

    /// Counts one decision with the given outcome.
    pub fn count(&self, outcome: LedgerOutcome) {
        self.outcomes.get_or_create(&outcome.into()).inc();
    }
}
