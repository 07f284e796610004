//! Latency metrics of streamed answers.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Upper bound of the first bucket of a latency histogram, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;

/// Number of buckets of a latency histogram. Each upper bound is twice the previous one.
const BUCKET_COUNT: u16 = 16;

/// Labels of a latency histogram.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RankLabels {
    rank: String,
}

type HistogramByRank = Family<RankLabels, Histogram>;

/// Latencies of streamed answers as callers see them, by rank, in seconds.
#[derive(Debug)]
pub struct AnswerMetrics {
    first_token: HistogramByRank,
    between_tokens: HistogramByRank,
}

/// Creates a histogram of seconds whose buckets range from 1 ms to about half a minute.
pub(crate) fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}

fn observe(histograms: &HistogramByRank, rank: &str, seconds: f64) {
    histograms.get_or_create(&RankLabels { rank: rank.to_string() }).observe(seconds);
}

impl AnswerMetrics {
    /// Creates and registers the histograms, without any observation.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let first_token = HistogramByRank::new_with_constructor(latency_histogram);
        let help = "Time from arrival to the first token of a streamed answer";
        registry.register("first_token_seconds", help, first_token.clone());
        let between_tokens = HistogramByRank::new_with_constructor(latency_histogram);
        let help = "Time between two parts of a streamed answer";
        registry.register("between_tokens_seconds", help, between_tokens.clone());
        Self { first_token, between_tokens }
    }

    /// Creates the empty histograms of `rank`, so that they are exported before the first request
    /// of that rank.
    pub fn initialize(&self, rank: &str) {
        for histograms in [&self.first_token, &self.between_tokens] {
            drop(histograms.get_or_create(&RankLabels { rank: rank.to_string() }));
        }
    }

    /// Records the time from the arrival of a request to the first token of its answer.
    pub fn observe_first_token(&self, rank: &str, seconds: f64) {
        observe(&self.first_token, rank, seconds);
    }

    /// Records the time between two consecutive parts of an answer.
    pub fn observe_between_tokens(&self, rank: &str, seconds: f64) {
        observe(&self.between_tokens, rank, seconds);
    }
}
