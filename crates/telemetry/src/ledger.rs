//! Metrics of the ledger of idempotency keys.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use strum::IntoEnumIterator;

/// What the ledger decided on a request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum LedgerOutcome {
    /// The key was claimed; the request runs.
    Claimed,
    /// The answer of the request is recorded.
    Recorded,
    /// The answer of an earlier request was given again.
    Replayed,
    /// The key was used for another request.
    Conflict,
    /// An earlier request with the key may have run.
    Unknown,
    /// An earlier request with the key is still running.
    StillRunning,
    /// The quorum is out of reach.
    NoQuorum,
    /// The account has as many keys in use as it may.
    Full,
    /// The request was given up before.
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

/// Decisions of the ledger at one instance.
#[derive(Debug, Default)]
pub struct LedgerMetrics {
    outcomes: Family<OutcomeLabels, Counter>,
}

impl LedgerMetrics {
    /// All outcomes at zero, registered.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        for outcome in LedgerOutcome::iter() {
            drop(metrics.outcomes.get_or_create(&outcome.into()));
        }
        registry.register("ledger", "Decisions on idempotency keys", metrics.outcomes.clone());
        metrics
    }

    /// Counts a decision.
    pub fn count(&self, outcome: LedgerOutcome) {
        self.outcomes.get_or_create(&outcome.into()).inc();
    }
}
