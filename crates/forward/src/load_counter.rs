//! Counts the requests at an upstream at one instance.
//!
//! Each upstream has a load tracker: an entry instance of the data centre of the upstream. Every
//! instance that sends requests to the upstream reports its total number of requests there to the
//! load tracker. A report holds the total rather than a change, so that the next report corrects a
//! lost one and no request stays counted for ever. The load tracker only counts and grants nothing;
//! upstreams are used without it when it fails.

use std::time::{Duration, Instant};

use names::Instance;
use serde::{Deserialize, Serialize};

/// Interval at which an instance repeats its numbers of requests at upstreams.
pub const COUNT_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long a reported number is valid. Two repeats may be lost.
const REPORT_TTL: Duration = Duration::from_millis(3200);

/// Work at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UpstreamWork {
    /// Number of requests at the upstream.
    pub requests: u32,
    /// Number of these requests that are urgent.
    pub urgent: u32,
    /// Number of prompt tokens that the upstream has not read yet.
    pub unread_tokens: u32,
}

impl UpstreamWork {
    /// Returns the work of `requests` requests, of whose prompts nothing is known.
    pub fn of_requests(requests: u32) -> Self {
        Self { requests, ..Self::default() }
    }

    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            urgent: self.urgent.saturating_add(other.urgent),
            unread_tokens: self.unread_tokens.saturating_add(other.unread_tokens),
        }
    }
}

/// Report of one instance about one upstream.
#[derive(Debug, Clone)]
struct Reported {
    upstream: u32,
    sender: Instance,
    /// Work of the sender at the upstream.
    work: UpstreamWork,
    /// Number of the message with the report.
    number: u64,
    until: Instant,
}

/// The reports that a load tracker received.
#[derive(Debug, Clone, Default)]
pub struct LoadCounter {
    /// Sorted by upstream and sender.
    reports: Vec<Reported>,
}

impl LoadCounter {
    /// Records the report of `sender`, in its message `number`, that it has `work` at an upstream. A
    /// report that arrives after a newer one is ignored.
    pub fn report(
        &mut self,
        now: Instant,
        sender: &Instance,
        number: u64,
        upstream: u32,
        work: UpstreamWork,
    ) {
        let found = self
            .reports
            .binary_search_by(|report| (report.upstream, &report.sender).cmp(&(upstream, sender)));
        let until = now + REPORT_TTL;
        match found {
            Ok(index) if self.reports[index].number > number && now < self.reports[index].until => {
            }
            Ok(index) => {
                let reported = &mut self.reports[index];
                (reported.work, reported.number, reported.until) = (work, number, until);
            }
            Err(index) => {
                let sender = sender.clone();
                self.reports.insert(index, Reported { upstream, sender, work, number, until });
            }
        }
    }

    /// Returns the number of requests of all instances at an upstream.
    pub fn requests(&self, now: Instant, upstream: u32) -> u32 {
        self.work(now, upstream).requests
    }

    /// Returns the work of all instances at an upstream.
    pub fn work(&self, now: Instant, upstream: u32) -> UpstreamWork {
        let first = self.reports.partition_point(|report| report.upstream < upstream);
        let of_upstream =
            self.reports[first..].iter().take_while(|report| report.upstream == upstream);
        let valid = of_upstream.filter(|report| now < report.until);
        valid.map(|report| report.work).fold(UpstreamWork::default(), UpstreamWork::add)
    }

    /// Drops expired reports.
    pub fn expire(&mut self, now: Instant) {
        self.reports.retain(|report| now < report.until);
    }
}

/// Weight of a new sample in a [`MeanInFlight`]. A dozen samples, which arrive within two seconds
/// in a busy fleet, give the mean over all instances to within a tenth.
const SAMPLE_WEIGHT: f64 = 1.0 / 12.0;

/// Moving average of the number of requests of one service that an instance has in flight.
///
/// The samples come from load trackers, which are chosen independently of their requests in flight.
/// Samples of the asking instances would overestimate the mean, since instances with many requests
/// ask more often.
#[derive(Debug, Clone, Copy, Default)]
pub struct MeanInFlight {
    mean: Option<f64>,
}

impl MeanInFlight {
    /// Adds the number of requests in flight of one instance.
    pub fn sample(&mut self, in_flight: u32) {
        let sample = f64::from(in_flight);
        let mean = self.mean.unwrap_or(sample);
        self.mean = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
    }

    /// Returns the mean over all instances, or `None` without a sample.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }
}
