//! Counts and latencies of a group of requests.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::Error;
use crate::client::End;
use crate::load::Sample;

/// Longest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Significant digits of recorded times.
const DIGITS: u8 = 3;

/// A histogram of times in microseconds.
pub(crate) fn histogram() -> Result<Histogram<u64>, Error> {
    Ok(Histogram::new_with_bounds(1, MAX_MICROS, DIGITS)?)
}

/// Gathers a group of requests.
pub(crate) struct Gatherer {
    group: Group,
    first_token: Histogram<u64>,
    whole: Histogram<u64>,
}

/// A group of requests over the whole measured time. Times are in milliseconds from the planned
/// arrival, so that a slow system is not spared.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Requests sent.
    pub offered: u64,
    /// Requests answered whole before their deadlines.
    pub in_time: u64,
    /// Requests answered whole after their deadlines.
    pub late: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that failed otherwise.
    pub failed: u64,
    /// Median time to the first token.
    pub first_token_p50: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95: f64,
    /// 95th percentile of the time to the whole answer.
    pub whole_p95: f64,
}

impl Group {
    /// Part of the requests that was answered in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1)
}

fn millis_at(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

impl Gatherer {
    pub(crate) fn new(name: String) -> Result<Self, Error> {
        Ok(Self {
            group: Group { name, ..Group::default() },
            first_token: histogram()?,
            whole: histogram()?,
        })
    }

    /// Takes a request with the given time to its deadline.
    pub(crate) fn add(&mut self, sample: &Sample, deadline: Duration) {
        self.group.offered += 1;
        let elapsed = sample.seen.ended.saturating_duration_since(sample.due);
        match sample.seen.end {
            End::Refused => self.group.refused += 1,
            End::Failed => self.group.failed += 1,
            End::Answered if elapsed > deadline => self.group.late += 1,
            End::Answered => self.group.in_time += 1,
        }
        if sample.seen.end != End::Answered {
            return;
        }
        self.whole.saturating_record(micros(elapsed));
        if let Some(first) = sample.seen.first_token {
            self.first_token.saturating_record(micros(first.saturating_duration_since(sample.due)));
        }
    }

    pub(crate) fn finish(self) -> Group {
        Group {
            first_token_p50: millis_at(&self.first_token, 0.5),
            first_token_p95: millis_at(&self.first_token, 0.95),
            whole_p95: millis_at(&self.whole, 0.95),
            ..self.group
        }
    }
}

/// Gathers the samples that `is_counted` holds for.
pub(crate) fn gather<F, D>(
    name: &str,
    samples: &[Sample],
    deadline: D,
    is_counted: F,
) -> Result<Group, Error>
where
    F: Fn(&Sample) -> bool,
    D: Fn(&Sample) -> Duration,
{
    let mut gatherer = Gatherer::new(name.to_string())?;
    for sample in samples.iter().filter(|sample| is_counted(sample)) {
        gatherer.add(sample, deadline(sample));
    }
    Ok(gatherer.finish())
}
