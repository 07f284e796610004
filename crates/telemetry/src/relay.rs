//! Metrics of entry instances that choose upstreams themselves, without permits of owners.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::answers::latency_histogram;

/// Labels of the outcome of a completed request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Retry mode of the route: `whole`, `never` or `resumed`.
    pub kind: String,
    /// Verdict: `answered`, `not-run` or `may-have-run`.
    pub verdict: String,
    /// Reason why the request was not answered, or `none` if it was answered.
    pub reason: String,
}

/// Labels of a histogram by retry mode.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: String,
}

/// Labels of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    cause: String,
}

/// Labels of the counter of avoided upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AvoidanceLabels {
    reason: String,
}

/// Labels of the counter of evacuation orders.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    outcome: String,
}

/// Retry modes of requests, which are the values of the label `kind`.
const KINDS: [&str; 3] = ["whole", "never", "resumed"];

/// Verdicts and reasons whose counters are exported at zero from the start.
const INITIAL_OUTCOMES: [(&str, &str); 4] = [
    ("answered", "none"),
    ("not-run", "full"),
    ("may-have-run", "upstream_failed"),
    ("may-have-run", "deadline"),
];

/// Causes of attempts, which are the values of the label `cause`.
const ATTEMPT_CAUSES: [&str; 3] = ["first", "again", "resumed"];

/// Reasons for avoiding an upstream, which are the values of the label `reason`.
const AVOIDANCE_REASONS: [&str; 6] =
    ["failures", "unreachable", "slow", "replaced", "leaving", "asked-to-wait"];

/// Outcomes of evacuation orders, which are the values of the label `outcome`.
const ORDER_OUTCOMES: [&str; 7] =
    ["acknowledged", "left", "outdated", "not-stored", "superseded", "too-many", "no-quorum"];

/// Upper limits of the buckets for the pace, in percent. A usual machine has a pace of 100.
const PACE_BUCKETS: [f64; 8] = [90.0, 110.0, 125.0, 150.0, 200.0, 300.0, 500.0, 1000.0];

type HistogramByKind = Family<KindLabels, Histogram, fn() -> Histogram>;

fn histogram_by_kind() -> HistogramByKind {
    Family::new_with_constructor(latency_histogram as fn() -> Histogram)
}

/// Counters and histograms of forwarded requests.
#[derive(Debug, Clone)]
pub struct RelayMetrics {
    outcomes: Family<OutcomeLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    avoided: Family<AvoidanceLabels, Counter>,
    first_byte: HistogramByKind,
    part_interval: HistogramByKind,
    last_byte: HistogramByKind,
    queueing: HistogramByKind,
    connect: Histogram,
    /// Time until a quorum has committed a document of an operator, in seconds.
    pub commit: Histogram,
    /// Time until enough control instances have stored a leave of an upstream, in seconds.
    pub leave_durable: Histogram,
    /// Number of leaves that too few control instances stored in time.
    pub leaves_not_durable: Counter,
    /// Number of leaves that are kept although they do not tell which announced run ends.
    pub departures: Gauge,
    /// Number of such leaves that were refused because too many are kept.
    pub departures_refused: Counter,
    /// Time until enough control instances have stored a committed document, in seconds.
    pub document_stored: Histogram,
    /// Number of committed documents that too few control instances stored in time.
    pub documents_not_stored: Counter,
    /// Number of data centres whose evacuation is in force at this instance.
    pub evacuated_data_centres: Gauge,
    evacuation_orders: Family<OrderLabels, Counter>,
    /// Time until enough control instances have stored a committed evacuation order, in seconds.
    pub evacuation_stored: Histogram,
    /// Number of requests that wait for an upstream with free capacity.
    pub waiting: Gauge,
    /// Number of requests that waited for the end of the startup of this instance.
    pub startup_waits: Counter,
    /// Number of placements in which an upstream was left out because of its bytes in flight.
    pub bytes_limited: Counter,
    /// Bytes of requests in flight at the upstream that has most.
    pub upstream_bytes: Gauge,
    /// Number of control instances among the live members.
    pub sources: Gauge,
    /// Number of upstreams that are cold, as far as this instance knows.
    pub cold_upstreams: Gauge,
    /// Number of requests that may be sent to a cold upstream, as this instance decided.
    pub cold_granted: Counter,
    /// Number of requests that a cold upstream has no allowance for, as this instance decided.
    pub cold_denied: Counter,
    /// Number of prompt tokens that upstreams have not read, of requests of this instance.
    pub unread_prompt_tokens: Gauge,
    /// Number of requests that were placed at an upstream for its cost.
    pub moved_for_cost: Counter,
    /// Number of requests for which a load tracker said that they are over the share of their account.
    pub over_share: Counter,
    /// Number of requests that were refused at once, since they could not leave a queue in time.
    pub refused_at_once: Counter,
    pace: Histogram,
}

impl RelayMetrics {
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            outcomes: Family::default(),
            attempts: Family::default(),
            avoided: Family::default(),
            first_byte: histogram_by_kind(),
            part_interval: histogram_by_kind(),
            last_byte: histogram_by_kind(),
            queueing: histogram_by_kind(),
            connect: latency_histogram(),
            commit: latency_histogram(),
            leave_durable: latency_histogram(),
            leaves_not_durable: Counter::default(),
            departures: Gauge::default(),
            departures_refused: Counter::default(),
            document_stored: latency_histogram(),
            documents_not_stored: Counter::default(),
            evacuated_data_centres: Gauge::default(),
            evacuation_orders: Family::default(),
            evacuation_stored: latency_histogram(),
            waiting: Gauge::default(),
            startup_waits: Counter::default(),
            bytes_limited: Counter::default(),
            upstream_bytes: Gauge::default(),
            sources: Gauge::default(),
            cold_upstreams: Gauge::default(),
            cold_granted: Counter::default(),
            cold_denied: Counter::default(),
            unread_prompt_tokens: Gauge::default(),
            moved_for_cost: Counter::default(),
            over_share: Counter::default(),
            refused_at_once: Counter::default(),
            pace: Histogram::new(PACE_BUCKETS),
        };
        metrics.initialize();
        let Self { outcomes, attempts, avoided, .. } = &metrics;
        registry.register("forwarded", "Ended requests", outcomes.clone());
        registry.register("attempts", "Attempts at upstreams", attempts.clone());
        registry.register("avoided", "Times that an upstream was avoided", avoided.clone());
        let help = "Time to the first byte of an answer";
        registry.register("answer_first_seconds", help, metrics.first_byte.clone());
        let help = "Mean time between parts of a streamed answer";
        registry.register("answer_between_seconds", help, metrics.part_interval.clone());
        let help = "Time to the last byte of an answer";
        registry.register("answer_whole_seconds", help, metrics.last_byte.clone());
        let help = "Time until a request was first sent to an upstream";
        registry.register("queueing_seconds", help, metrics.queueing.clone());
        let help = "Time to connect to an upstream";
        registry.register("connect_seconds", help, metrics.connect.clone());
        let help = "Time until a document was committed";
        registry.register("commit_seconds", help, metrics.commit.clone());
        let help = "Time until a leave of an upstream was durable";
        registry.register("leave_durable_seconds", help, metrics.leave_durable.clone());
        let help = "Leaves that were not durable in time";
        registry.register("leaves_not_durable", help, metrics.leaves_not_durable.clone());
        let help = "Leaves that are kept and do not tell which announced run ends";
        registry.register("departures", help, metrics.departures.clone());
        let help = "Leaves that were refused because too many are kept";
        registry.register("departures_refused", help, metrics.departures_refused.clone());
        let help = "Time until enough control instances had stored a committed document";
        registry.register("document_stored_seconds", help, metrics.document_stored.clone());
        let help = "Committed documents that were not stored in time";
        registry.register("documents_not_stored", help, metrics.documents_not_stored.clone());
        let help = "Data centres that are evacuated";
        let evacuated = metrics.evacuated_data_centres.clone();
        registry.register("evacuated_data_centres", help, evacuated);
        let help = "Evacuation orders of operators";
        registry.register("evacuation_orders", help, metrics.evacuation_orders.clone());
        let help = "Time until enough control instances had stored an evacuation order";
        registry.register("evacuation_stored_seconds", help, metrics.evacuation_stored.clone());
        registry.register("waiting", "Requests that wait for room", metrics.waiting.clone());
        let help = "Requests that waited for the end of the startup";
        registry.register("startup_waits", help, metrics.startup_waits.clone());
        let help = "Placements that left out an upstream because of its bytes in flight";
        registry.register("bytes_limited", help, metrics.bytes_limited.clone());
        let help = "Most bytes of requests in flight at one upstream";
        registry.register("upstream_request_bytes", help, metrics.upstream_bytes.clone());
        let help = "Control instances that are followed";
        registry.register("followed", help, metrics.sources.clone());
        let help = "Upstreams that are cold";
        registry.register("cold_upstreams", help, metrics.cold_upstreams.clone());
        let help = "Requests granted for cold upstreams";
        registry.register("cold_granted", help, metrics.cold_granted.clone());
        let help = "Requests denied for cold upstreams";
        registry.register("cold_denied", help, metrics.cold_denied.clone());
        let help = "Prompt tokens of requests of this instance that upstreams have not read";
        registry.register("unread_prompt_tokens", help, metrics.unread_prompt_tokens.clone());
        let help = "Requests that were sent to an upstream for its cost";
        registry.register("moved_for_cost", help, metrics.moved_for_cost.clone());
        let help = "Requests over the share of their client account";
        registry.register("over_share", help, metrics.over_share.clone());
        let help = "Requests that could not leave a queue in time";
        registry.register("refused_at_once", help, metrics.refused_at_once.clone());
        let help = "Pace that upstreams named in answers, in percent";
        registry.register("pace_percent", help, metrics.pace.clone());
        metrics
    }

    /// Exports the metrics that alerts use from the start, so that alerts can detect their first
    /// increase.
    fn initialize(&self) {
        for kind in KINDS {
            let kind = kind.to_string();
            for (verdict, reason) in INITIAL_OUTCOMES {
                let (verdict, reason) = (verdict.to_string(), reason.to_string());
                let labels = OutcomeLabels { kind: kind.clone(), verdict, reason };
                drop(self.outcomes.get_or_create(&labels));
            }
            for family in [&self.first_byte, &self.part_interval, &self.last_byte, &self.queueing] {
                drop(family.get_or_create(&KindLabels { kind: kind.clone() }));
            }
        }
        for cause in ATTEMPT_CAUSES {
            drop(self.attempts.get_or_create(&AttemptLabels { cause: cause.to_string() }));
        }
        for outcome in ORDER_OUTCOMES {
            let outcome = outcome.to_string();
            drop(self.evacuation_orders.get_or_create(&OrderLabels { outcome }));
        }
        for reason in AVOIDANCE_REASONS {
            drop(self.avoided.get_or_create(&AvoidanceLabels { reason: reason.to_string() }));
        }
    }

    /// Counts the outcome of a completed request.
    pub fn count_outcome(&self, labels: &OutcomeLabels) {
        self.outcomes.get_or_create(labels).inc();
    }

    /// Counts an attempt with the given cause.
    pub fn count_attempt(&self, cause: &str) {
        self.attempts.get_or_create(&AttemptLabels { cause: cause.to_string() }).inc();
    }

    /// Counts an upstream that is avoided from now on for `reason`.
    pub fn count_avoided(&self, reason: &str) {
        self.avoided.get_or_create(&AvoidanceLabels { reason: reason.to_string() }).inc();
    }

    /// Counts an evacuation order with the given outcome.
    pub fn count_evacuation_order(&self, outcome: &str) {
        let outcome = outcome.to_string();
        self.evacuation_orders.get_or_create(&OrderLabels { outcome }).inc();
    }

    /// Records the time from the arrival of a request to its first attempt.
    pub fn observe_queueing(&self, kind: &str, time: Duration) {
        observe(&self.queueing, kind, time);
    }

    /// Records the times from the arrival of a request to the first and to the last byte of its
    /// complete answer, and the mean interval between its `parts`.
    pub fn observe_answer(
        &self,
        kind: &str,
        first_byte: Duration,
        last_byte: Duration,
        parts: u32,
    ) {
        observe(&self.first_byte, kind, first_byte);
        observe(&self.last_byte, kind, last_byte);
        if let Some(intervals) = parts.checked_sub(1).filter(|intervals| *intervals > 0) {
            observe(&self.part_interval, kind, last_byte.saturating_sub(first_byte) / intervals);
        }
    }

    /// Records the pace in percent that an upstream named in an answer.
    pub fn observe_pace(&self, percent: u16) {
        self.pace.observe(percent.into());
    }

    /// Records the time that connecting to an upstream took.
    pub fn observe_connect(&self, time: Duration) {
        self.connect.observe(time.as_secs_f64());
    }
}

fn observe(histograms: &HistogramByKind, kind: &str, time: Duration) {
    let labels = KindLabels { kind: kind.to_string() };
    histograms.get_or_create(&labels).observe(time.as_secs_f64());
}
