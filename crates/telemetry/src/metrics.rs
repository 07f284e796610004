//! The metrics of an instance.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::answers::seconds;
use crate::{
    Answers, ContextMetrics, LedgerMetrics, Membership, RelayMetrics, ReplicaMetrics,
    UpstreamMetrics,
};

/// Reasons that are shown at zero from the start, so that an alert sees their first increase.
const SHOWN_REASONS: [&str; 18] = [
    "caller_left",
    "damaged_revision",
    "deadline",
    "diverged_revision",
    "invalid_api_key",
    "invalid_revision",
    "ledger_full",
    "no_quorum",
    "no_upstream",
    "operator",
    "outcome_unknown",
    "over_limit",
    "overloaded",
    "resume",
    "retry",
    "revision_not_stored",
    "stopping",
    "upstream_failed",
];

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Rank of its kind of work.
    pub rank: String,
    /// Its kind of work.
    pub kind: String,
    /// Whether it was answered, did not run, or may have run.
    pub verdict: String,
}

/// Labels of something that happened for a reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: String,
}

/// The metrics of an instance, shared between its threads.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    refused: Family<ReasonLabels, Counter>,
    first_byte: Histogram,
    /// The replicated log.
    pub replica: ReplicaMetrics,
    /// Revision of the declarations in force.
    pub revision: Gauge,
    /// Requests that are not answered yet.
    pub active: Gauge,
    /// Upstreams that may receive new work.
    pub upstreams: Gauge,
    /// Snapshots of caches asked for since events were missing.
    pub cache_resyncs: Counter,
    /// How fast streamed answers are.
    pub answers: Answers,
    /// Decisions on idempotency keys.
    pub ledger: LedgerMetrics,
    /// Single upstreams.
    pub by_upstream: UpstreamMetrics,
    /// Moves of cached context.
    pub context: ContextMetrics,
    /// Members and permits.
    pub membership: Membership,
    /// Requests that are forwarded without owners of upstreams.
    pub relay: RelayMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// All metrics at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("turmericrelay");
        let requests = Family::default();
        registry.register("requests", "Finished requests", requests.clone());
        let refused = Family::<ReasonLabels, Counter>::default();
        for reason in SHOWN_REASONS {
            drop(refused.get_or_create(&ReasonLabels { reason: reason.to_string() }));
        }
        registry.register("refused", "Refused connections and requests", refused.clone());
        let first_byte = seconds();
        registry.register(
            "first_byte_seconds",
            "Time to the head of a streamed answer",
            first_byte.clone(),
        );
        let replica = ReplicaMetrics::new(&mut registry);
        let revision = Gauge::default();
        registry.register("revision", "Revision in force", revision.clone());
        let active = Gauge::default();
        registry.register("active_requests", "Requests not answered yet", active.clone());
        let upstreams = Gauge::default();
        registry.register("upstreams", "Upstreams that may get new work", upstreams.clone());
        let cache_resyncs = Counter::default();
        registry.register(
            "cache_resyncs",
            "Caches whose events were missing",
            cache_resyncs.clone(),
        );
        let answers = Answers::register(&mut registry);
        let ledger = LedgerMetrics::register(&mut registry);
        let by_upstream = UpstreamMetrics::default();
        registry.register_collector(Box::new(by_upstream.clone()));
        let context = ContextMetrics::register(&mut registry);
        let membership = Membership::register(&mut registry);
        let relay = RelayMetrics::register(&mut registry);
        Self {
            registry,
            requests,
            refused,
            first_byte,
            replica,
            answers,
            ledger,
            by_upstream,
            context,
            membership,
            relay,
            revision,
            active,
            upstreams,
            cache_resyncs,
        }
    }

    /// Shows the counter at zero, so that an alert sees its first increase.
    pub fn show_request(&self, labels: &RequestLabels) {
        drop(self.requests.get_or_create(labels));
        self.answers.show(&labels.rank);
    }

    /// Counts a finished request.
    pub fn count_request(&self, labels: &RequestLabels) {
        self.requests.get_or_create(labels).inc();
    }

    /// Counts something that was refused for `reason`.
    pub fn count_refused(&self, reason: &str) {
        self.refused.get_or_create(&ReasonLabels { reason: reason.to_string() }).inc();
    }

    /// Records the time from a request's arrival to the first byte of its answer, in seconds.
    pub fn observe_first_byte(&self, seconds: f64) {
        self.first_byte.observe(seconds);
    }

    /// Adds metrics that are read only when all metrics are asked for.
    pub fn add_collector(&mut self, collector: Box<dyn Collector>) {
        self.registry.register_collector(collector);
    }

    /// All metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        match text::encode(&mut out, &self.registry) {
            Ok(()) => out,
            Err(error) => format!("# metrics cannot be encoded: {error}\n"),
        }
    }
}
