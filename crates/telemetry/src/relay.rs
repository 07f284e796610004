//! Metrics of entry instances that choose upstreams by themselves.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::answers::seconds;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    /// What of it may be repeated: `whole`, `never` or `resumed`.
    pub kind: String,
    /// `answered`, `not-run` or `may-have-run`.
    pub verdict: String,
    /// Why it was not answered; `none` if it was.
    pub reason: String,
}

/// Labels of what differs by kind of request alone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: String,
}

/// Labels of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    cause: String,
}

/// Labels of an upstream that is avoided; the reasons are few.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AvoidLabels {
    reason: String,
}

/// What may be repeated of a request.
const KINDS: [&str; 3] = ["whole", "never", "resumed"];

/// Verdicts and reasons that are shown at zero from the start.
const ENDS: [(&str, &str); 4] = [
    ("answered", "none"),
    ("not-run", "full"),
    ("may-have-run", "upstream_failed"),
    ("may-have-run", "deadline"),
];

/// Causes of attempts.
const CAUSES: [&str; 3] = ["first", "again", "resumed"];

/// Why upstreams are avoided.
const AVOIDANCES: [&str; 4] = ["failures", "unreachable", "slow", "replaced"];

type ByKind = Family<KindLabels, Histogram, fn() -> Histogram>;

fn histograms() -> ByKind {
    Family::new_with_constructor(seconds as fn() -> Histogram)
}

/// Counters and histograms of forwarded requests.
#[derive(Debug, Clone)]
pub struct RelayMetrics {
    ends: Family<EndLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    avoided: Family<AvoidLabels, Counter>,
    first: ByKind,
    between: ByKind,
    whole: ByKind,
    queueing: ByKind,
    connect: Histogram,
    /// Time until a quorum has committed an operator's document.
    pub commit: Histogram,
    /// Requests that wait for an upstream with room.
    pub waiting: Gauge,
    /// Control instances that were heard lately.
    pub sources: Gauge,
}

impl RelayMetrics {
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            ends: Family::default(),
            attempts: Family::default(),
            avoided: Family::default(),
            first: histograms(),
            between: histograms(),
            whole: histograms(),
            queueing: histograms(),
            connect: seconds(),
            commit: seconds(),
            waiting: Gauge::default(),
            sources: Gauge::default(),
        };
        metrics.show();
        let Self { ends, attempts, avoided, .. } = &metrics;
        registry.register("forwarded", "Ended requests", ends.clone());
        registry.register("attempts", "Attempts at upstreams", attempts.clone());
        registry.register("avoided", "Times that an upstream was avoided", avoided.clone());
        let first = "Time to the first byte of an answer";
        registry.register("answer_first_seconds", first, metrics.first.clone());
        let between = "Mean time between parts of a streamed answer";
        registry.register("answer_between_seconds", between, metrics.between.clone());
        let whole = "Time to the last byte of an answer";
        registry.register("answer_whole_seconds", whole, metrics.whole.clone());
        let queueing = "Time until a request was first sent to an upstream";
        registry.register("queueing_seconds", queueing, metrics.queueing.clone());
        let connect = "Time to connect to an upstream";
        registry.register("connect_seconds", connect, metrics.connect.clone());
        let commit = "Time until a document was committed";
        registry.register("commit_seconds", commit, metrics.commit.clone());
        registry.register("waiting", "Requests that wait for room", metrics.waiting.clone());
        let sources = "Control instances that are followed";
        registry.register("followed", sources, metrics.sources.clone());
        metrics
    }

    /// Shows what alerts look at, from the start.
    fn show(&self) {
        for kind in KINDS {
            let kind = kind.to_string();
            for (verdict, reason) in ENDS {
                let (verdict, reason) = (verdict.to_string(), reason.to_string());
                let labels = EndLabels { kind: kind.clone(), verdict, reason };
                drop(self.ends.get_or_create(&labels));
            }
            for family in [&self.first, &self.between, &self.whole, &self.queueing] {
                drop(family.get_or_create(&KindLabels { kind: kind.clone() }));
            }
        }
        for cause in CAUSES {
            drop(self.attempts.get_or_create(&AttemptLabels { cause: cause.to_string() }));
        }
        for reason in AVOIDANCES {
            drop(self.avoided.get_or_create(&AvoidLabels { reason: reason.to_string() }));
        }
    }

    /// Counts a request that ended.
    pub fn count_end(&self, labels: &EndLabels) {
        self.ends.get_or_create(labels).inc();
    }

    /// Counts an attempt that is made for `cause`.
    pub fn count_attempt(&self, cause: &str) {
        self.attempts.get_or_create(&AttemptLabels { cause: cause.to_string() }).inc();
    }

    /// Counts an upstream that is avoided from now on.
    pub fn count_avoided(&self, reason: &str) {
        self.avoided.get_or_create(&AvoidLabels { reason: reason.to_string() }).inc();
    }

    /// Records how long a request waited for its first attempt.
    pub fn observe_queueing(&self, kind: &str, time: Duration) {
        observe(&self.queueing, kind, time);
    }

    /// Records the times of a whole answer.
    pub fn observe_answer(&self, kind: &str, first: Duration, whole: Duration, parts: u32) {
        observe(&self.first, kind, first);
        observe(&self.whole, kind, whole);
        if let Some(pauses) = parts.checked_sub(1).filter(|pauses| *pauses > 0) {
            observe(&self.between, kind, whole.saturating_sub(first) / pauses);
        }
    }

    /// Records how long connecting to an upstream took.
    pub fn observe_connect(&self, time: Duration) {
        self.connect.observe(time.as_secs_f64());
    }
}

fn observe(by_kind: &ByKind, kind: &str, time: Duration) {
    let labels = KindLabels { kind: kind.to_string() };
    by_kind.get_or_create(&labels).observe(time.as_secs_f64());
}
