//! Outcome counts and latencies of groups of requests.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::Error;
use crate::client::Outcome;
use crate::generator::Sample;

/// Upper limit of recorded latencies, in microseconds (10 minutes); longer ones count as this.
const MAX_RECORDED_MICROS: u64 = 600_000_000;

/// Number of significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Creates a histogram of latencies in microseconds.
pub(crate) fn latency_histogram() -> Result<Histogram<u64>, Error> {
    Ok(Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)?)
}

/// Running totals of the outcomes and latencies of a group of requests.
pub(crate) struct Tally {
    group: Group,
    first_token: Histogram<u64>,
    complete_response: Histogram<u64>,
}

/// Statistics of a group of requests over the measured time.
///
/// Latencies are in milliseconds from the planned arrival, so that requests sent late by a slow
/// system count in full (no coordinated omission).
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Group {
    /// Name of the group.
    pub name: String,
    /// Number of requests sent.
    pub offered: u64,
    /// Number of requests whose complete response arrived within the deadline.
    pub in_time: u64,
    /// Number of requests whose complete response arrived after the deadline.
    pub late: u64,
    /// Number of requests that the server refused.
    pub refused: u64,
    /// Number of requests that failed otherwise.
    pub failed: u64,
    /// Median time to the first token.
    pub first_token_p50: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95: f64,
    /// 95th percentile of the time to the complete response.
    pub whole_p95: f64,
}

impl Group {
    /// Returns the fraction of the requests that were answered in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }
}

fn recorded_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX).max(1)
}

fn millis_at_quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

impl Tally {
    /// Creates a tally without requests.
    pub(crate) fn new(name: String) -> Result<Self, Error> {
        Ok(Self {
            group: Group { name, ..Group::default() },
            first_token: latency_histogram()?,
            complete_response: latency_histogram()?,
        })
    }

    /// Adds a request whose deadline is `deadline` after its planned arrival.
    pub(crate) fn add(&mut self, sample: &Sample, deadline: Duration) {
        self.group.offered += 1;
        let elapsed = sample.observation.ended_at.saturating_duration_since(sample.due_at);
        match sample.observation.outcome {
            Outcome::Refused => self.group.refused += 1,
            Outcome::Failed => self.group.failed += 1,
            Outcome::Answered if elapsed > deadline => self.group.late += 1,
            Outcome::Answered => self.group.in_time += 1,
        }
        if sample.observation.outcome != Outcome::Answered {
            return;
        }
        self.complete_response.saturating_record(recorded_micros(elapsed));
        if let Some(first_token_at) = sample.observation.first_token_at {
            self.first_token.saturating_record(recorded_micros(
                first_token_at.saturating_duration_since(sample.due_at),
            ));
        }
    }

    /// Returns the statistics of all requests added.
    pub(crate) fn finish(self) -> Group {
        Group {
            first_token_p50: millis_at_quantile(&self.first_token, 0.5),
            first_token_p95: millis_at_quantile(&self.first_token, 0.95),
            whole_p95: millis_at_quantile(&self.complete_response, 0.95),
            ..self.group
        }
    }
}

/// Returns the statistics of the samples for which `is_counted` returns true.
pub(crate) fn tally<F, D>(
    name: &str,
    samples: &[Sample],
    deadline: D,
    is_counted: F,
) -> Result<Group, Error>
where
    F: Fn(&Sample) -> bool,
    D: Fn(&Sample) -> Duration,
{
    let mut totals = Tally::new(name.to_string())?;
    for sample in samples.iter().filter(|sample| is_counted(sample)) {
        totals.add(sample, deadline(sample));
    }
    Ok(totals.finish())
}
