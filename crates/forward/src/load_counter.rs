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

use crate::AccountCounts;

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
    /// Requests of the sender at the upstream by client account. Empty if the sender names none.
    accounts: AccountCounts,
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
        self.report_accounts(now, sender, number, upstream, work, AccountCounts::default());
    }

    /// Records a report like [`Self::report`] that also names the accounts of the requests.
    pub fn report_accounts(
        &mut self,
        now: Instant,
        sender: &Instance,
        number: u64,
        upstream: u32,
        work: UpstreamWork,
        accounts: AccountCounts,
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
                (reported.work, reported.accounts) = (work, accounts);
                (reported.number, reported.until) = (number, until);
            }
            Err(index) => {
                let sender = sender.clone();
                let reported = Reported { upstream, sender, work, accounts, number, until };
                self.reports.insert(index, reported);
            }
        }
    }

    /// Removes a request of `sender` that is not sent to an upstream, because the load tracker has
    /// refused it. Until the sender's next report, it would take a place of other requests.
    pub fn withdraw(&mut self, sender: &Instance, upstream: u32, account: Option<u32>) {
        let found = self
            .reports
            .binary_search_by(|report| (report.upstream, &report.sender).cmp(&(upstream, sender)));
        if let Ok(index) = found {
            let reported = &mut self.reports[index];
            reported.work.requests = reported.work.requests.saturating_sub(1);
            reported.accounts.remove(account);
        }
    }

    /// Returns the number of requests of all instances at an upstream.
    pub fn requests(&self, now: Instant, upstream: u32) -> u32 {
        self.work(now, upstream).requests
    }

    /// Returns the work of all instances at an upstream.
    pub fn work(&self, now: Instant, upstream: u32) -> UpstreamWork {
        let valid = self.valid(now, upstream);
        valid.map(|report| report.work).fold(UpstreamWork::default(), UpstreamWork::add)
    }

    /// Returns the requests of all instances at an upstream by client account.
    pub fn accounts(&self, now: Instant, upstream: u32) -> AccountCounts {
        let mut accounts = AccountCounts::default();
        self.valid(now, upstream).for_each(|report| accounts.add_all(&report.accounts));
        accounts
    }

    /// Returns the reports about an upstream that have not expired.
    fn valid(&self, now: Instant, upstream: u32) -> impl Iterator<Item = &Reported> {
        let first = self.reports.partition_point(|report| report.upstream < upstream);
        let of_upstream =
            self.reports[first..].iter().take_while(move |report| report.upstream == upstream);
        of_upstream.filter(move |report| now < report.until)
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
