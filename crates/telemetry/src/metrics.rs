//! Registry of all metrics of an instance.

use http1::Rule;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use strum::IntoEnumIterator;

use crate::answers::latency_histogram;
use crate::{
    AnswerMetrics, ContextMetrics, LedgerMetrics, MembershipMetrics, RelayMetrics, ReplicaMetrics,
    UpstreamMetrics,
};

/// Refusal reasons whose counters are exported at zero from the start, so that alerts can detect
/// their first increase.
const INITIAL_REASONS: [&str; 19] = [
    "caller_left",
    "damaged_revision",
    "deadline",
    "diverged_revision",
    "invalid_api_key",
    "invalid_revision",
    "ledger_full",
    "memory",
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
    /// Rank of the kind of work of the request.
    pub rank: String,
    /// Kind of work of the request.
    pub kind: String,
    /// Whether the request was answered, did not run, or may have run.
    pub verdict: String,
}

/// Labels of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: String,
}

/// Labels of a malformed answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RuleLabels {
    rule: String,
}

impl From<Rule> for RuleLabels {
    fn from(rule: Rule) -> Self {
        let name: &'static str = rule.into();
        Self { rule: name.to_string() }
    }
}

/// All metrics of an instance, shared between its threads.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    refusals: Family<ReasonLabels, Counter>,
    malformed: Family<RuleLabels, Counter>,
    first_byte: Histogram,
    /// Metrics of the replicated log.
    pub replica: ReplicaMetrics,
    /// Revision of the active declarations.
    pub revision: Gauge,
    /// Number of requests in progress.
    pub active_requests: Gauge,
    /// Number of upstreams that may receive new requests.
    pub available_upstreams: Gauge,
    /// Number of cache snapshots requested because events of the cache were missing.
    pub cache_resyncs: Counter,
    /// Latencies of streamed answers.
    pub answers: AnswerMetrics,
    /// Decisions of the ledger on idempotency keys.
    pub ledger: LedgerMetrics,
    /// Metrics of individual upstreams.
    pub by_upstream: UpstreamMetrics,
    /// Metrics of cached context that is moved between engines.
    pub context: ContextMetrics,
    /// Metrics of members and permits.
    pub membership: MembershipMetrics,
    /// Number of parts of prompts that are quarantined.
    pub quarantined: Gauge,
    /// Size in bytes of the memory budget for callers, operators and upstreams.
    pub memory_budget: Gauge,
    /// Number of bytes of the memory budget that are reserved.
    pub memory_reserved: Gauge,
    /// Metrics of requests that entry instances forward without permits of owners.
    pub relay: RelayMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("turmericrelay");
        let requests = Family::default();
        registry.register("requests", "Finished requests", requests.clone());
        let refusals = Family::<ReasonLabels, Counter>::default();
        for reason in INITIAL_REASONS {
            drop(refusals.get_or_create(&ReasonLabels { reason: reason.to_string() }));
        }
        registry.register("refused", "Refused connections and requests", refusals.clone());
        let malformed = Family::<RuleLabels, Counter>::default();
        for rule in Rule::iter() {
            drop(malformed.get_or_create(&rule.into()));
        }
        let help = "Answers of upstreams that break a rule of HTTP/1.1";
        registry.register("malformed_answers", help, malformed.clone());
        let first_byte = latency_histogram();
        registry.register(
            "first_byte_seconds",
            "Time to the head of a streamed answer",
            first_byte.clone(),
        );
        let replica = ReplicaMetrics::new(&mut registry);
        let revision = Gauge::default();
        registry.register("revision", "Revision in force", revision.clone());
        let active_requests = Gauge::default();
        registry.register("active_requests", "Requests not answered yet", active_requests.clone());
        let available_upstreams = Gauge::default();
        registry.register(
            "upstreams",
            "Upstreams that may get new work",
            available_upstreams.clone(),
        );
        let cache_resyncs = Counter::default();
        registry.register(
            "cache_resyncs",
            "Caches whose events were missing",
            cache_resyncs.clone(),
        );
        let quarantined = Gauge::default();
        let help = "Parts of prompts that are quarantined";
        registry.register("quarantined", help, quarantined.clone());
        let memory_budget = Gauge::default();
        registry.register("memory_budget_bytes", "Memory budget", memory_budget.clone());
        let memory_reserved = Gauge::default();
        let help = "Bytes of the memory budget that are reserved";
        registry.register("memory_reserved_bytes", help, memory_reserved.clone());
        let answers = AnswerMetrics::register(&mut registry);
        let ledger = LedgerMetrics::register(&mut registry);
        let by_upstream = UpstreamMetrics::default();
        registry.register_collector(Box::new(by_upstream.clone()));
        let context = ContextMetrics::register(&mut registry);
        let membership = MembershipMetrics::register(&mut registry);
        let relay = RelayMetrics::register(&mut registry);
        Self {
            registry,
            requests,
            refusals,
            malformed,
            first_byte,
            replica,
            answers,
            ledger,
            by_upstream,
            context,
            membership,
            relay,
            revision,
            active_requests,
            available_upstreams,
            cache_resyncs,
            quarantined,
            memory_budget,
            memory_reserved,
        }
    }

    /// Exports the counter with these labels at zero, so that alerts can detect its first increase,
    /// and the latency histograms of the rank.
    pub fn initialize_request(&self, labels: &RequestLabels) {
        drop(self.requests.get_or_create(labels));
        self.answers.initialize(&labels.rank);
    }

    /// Counts a finished request.
    pub fn count_request(&self, labels: &RequestLabels) {
        self.requests.get_or_create(labels).inc();
    }

    /// Counts a refusal for `reason`.
    pub fn count_refused(&self, reason: &str) {
        self.refusals.get_or_create(&ReasonLabels { reason: reason.to_string() }).inc();
    }

    /// Counts an answer of an upstream that breaks `rule`.
    pub fn count_malformed(&self, rule: Rule) {
        self.malformed.get_or_create(&rule.into()).inc();
    }

    /// Records the time from the arrival of a request to the first byte of its answer, in seconds.
    pub fn observe_first_byte(&self, seconds: f64) {
        self.first_byte.observe(seconds);
    }

    /// Adds a collector, whose metrics are computed at each scrape.
    pub fn add_collector(&mut self, collector: Box<dyn Collector>) {
        self.registry.register_collector(collector);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut output = String::new();
        match text::encode(&mut output, &self.registry) {
            Ok(()) => output,
            Err(error) => format!("# metrics cannot be encoded: {error}\n"),
        }
    }
}
