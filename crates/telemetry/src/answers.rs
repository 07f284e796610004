//! Metrics of streamed answers.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Upper end of the first bucket, in seconds.
const FIRST_BUCKET: f64 = 0.001;

/// Buckets of a histogram, each twice as wide as the one before.
const BUCKETS: u16 = 16;

/// Labels of a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RankLabels {
    rank: String,
}

type Times = Family<RankLabels, Histogram>;

/// How fast streamed answers reach callers, by rank, in seconds.
#[derive(Debug)]
pub struct Answers {
    first_token: Times,
    between_tokens: Times,
}

/// A histogram of seconds that are told apart from a millisecond to half a minute.
pub(crate) fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS))
}

fn observe(times: &Times, rank: &str, seconds: f64) {
    times.get_or_create(&RankLabels { rank: rank.to_string() }).observe(seconds);
}

impl Answers {
    /// Histograms without a request, registered.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let first_token = Times::new_with_constructor(seconds);
        let help = "Time from arrival to the first token of a streamed answer";
        registry.register("first_token_seconds", help, first_token.clone());
        let between_tokens = Times::new_with_constructor(seconds);
        let help = "Time between two parts of a streamed answer";
        registry.register("between_tokens_seconds", help, between_tokens.clone());
        Self { first_token, between_tokens }
    }

    /// Shows the histograms of `rank` from now on, also before its first request.
    pub fn show(&self, rank: &str) {
        for times in [&self.first_token, &self.between_tokens] {
            drop(times.get_or_create(&RankLabels { rank: rank.to_string() }));
        }
    }

    /// Records the time from a request's arrival to the first token of its answer.
    pub fn observe_first_token(&self, rank: &str, seconds: f64) {
        observe(&self.first_token, rank, seconds);
    }

    /// Records the time between two parts of an answer.
    pub fn observe_between_tokens(&self, rank: &str, seconds: f64) {
        observe(&self.between_tokens, rank, seconds);
    }
}
