//! Instance side of account limits.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::{
    AccountKey, BASE_SHARE, Demand, GRANT_LIFETIME, Grants, Limit, REPORT_INTERVAL, Report,
    RequestsPerHour, find_limit, sort_limits,
};

/// Time for which unused requests of a share accumulate.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// Smallest burst, in requests, of an account at one instance.
const MIN_BURST: f64 = 2.0;

/// Weight of the latest interval in a decreasing demand.
const DEMAND_SMOOTHING: f64 = 0.75;

/// Demand, in requests per second, below which an account counts as idle.
const IDLE_DEMAND: f64 = 0.01;

/// Shortest retry delay for the caller of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest retry delay for the caller of a refused request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Result of checking a request against the limit of its account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitDecision {
    /// The request is admitted.
    Pass,
    /// The account has exhausted its share of the limit.
    Refuse {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// Grant of a coordinator.
#[derive(Debug)]
struct Lease {
    sequence: u64,
    per_second: f64,
    deadline: Instant,
}

/// Token bucket and demand of one account.
#[derive(Debug)]
struct Bucket {
    account: AccountKey,
    tokens: f64,
    refilled_at: Instant,
    arrivals: u32,
    /// Smoothed demand in requests per second.
    demand: f64,
    lease: Option<Lease>,
    measured_at: Instant,
    report_at: Instant,
    has_reported: bool,
}

impl Bucket {
    /// Returns the rate in requests per second that is allowed at `now`.
    fn rate(&self, now: Instant, base_rate: f64) -> f64 {
        let lease = self.lease.as_ref().filter(|lease| now < lease.deadline);
        base_rate + lease.map_or(0.0, |lease| lease.per_second)
    }

    fn refill(&mut self, now: Instant, base_rate: f64) {
        let rate = self.rate(now, base_rate);
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed).min(capacity(rate));
        self.refilled_at = now;
    }

    /// Returns whether the base share may be insufficient for the account.
    fn needs_grant(&self, now: Instant) -> bool {
        self.tokens < 1.0 || self.lease.as_ref().is_some_and(|lease| now < lease.deadline)
    }

    fn is_idle(&self, rate: f64) -> bool {
        self.arrivals == 0 && self.demand < IDLE_DEMAND && self.tokens >= capacity(rate)
    }

    /// Updates the demand: an increase takes effect immediately, a decrease is smoothed.
    fn update_demand(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.measured_at).max(REPORT_INTERVAL);
        let latest_demand = f64::from(self.arrivals) / elapsed.as_secs_f64();
        self.demand =
            latest_demand.max(self.demand + DEMAND_SMOOTHING * (latest_demand - self.demand));
        self.arrivals = 0;
        self.measured_at = now;
        self.report_at = now + REPORT_INTERVAL;
    }
}

fn capacity(rate: f64) -> f64 {
    (rate * BURST_WINDOW.as_secs_f64()).max(MIN_BURST)
}

/// Rate limiter for the requests of limited accounts at one instance.
///
/// Over any period, the fleet admits at most the limit plus one burst at each instance. A burst is
/// what the share of the instance accumulates in one second, but at least two requests.
#[derive(Debug)]
pub struct Limiter {
    limits: Vec<Limit>,
    instances: f64,
    /// Sorted by account.
    buckets: Vec<Bucket>,
    sequence: u64,
    /// Sequence numbers and send times of the latest reports.
    sent_reports: VecDeque<(u64, Instant)>,
}

impl Limiter {
    /// Creates a limiter without limits for one of `instances` instances, alive or not.
    pub fn new(instances: u32) -> Self {
        Self {
            limits: Vec::new(),
            instances: f64::from(instances.max(1)),
            buckets: Vec::new(),
            sequence: 0,
            sent_reports: VecDeque::new(),
        }
    }

    /// Sets the number of instances, alive or not, that share limits.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = f64::from(instances.max(1));
    }

    /// Sets the declared limits.
    pub fn set_limits(&mut self, limits: Vec<Limit>) {
        self.limits = sort_limits(limits);
        let limits = &self.limits;
        self.buckets.retain(|bucket| find_limit(limits, bucket.account).is_some());
    }

    /// Returns the number of tracked accounts.
    pub fn account_count(&self) -> usize {
        self.buckets.len()
    }

    fn base_rate(&self, account: AccountKey) -> Option<f64> {
        find_limit(&self.limits, account).map(|limit| limit * BASE_SHARE / self.instances)
    }

    fn find(&self, account: AccountKey) -> Result<usize, usize> {
        self.buckets.binary_search_by(|bucket| bucket.account.cmp(&account))
    }

    /// Checks a request of `account` that arrived at `now` against the limit.
    pub fn check(&mut self, now: Instant, account: AccountKey) -> LimitDecision {
        let Some(base_rate) = self.base_rate(account) else {
            return LimitDecision::Pass;
        };
        let index = self.find(account).unwrap_or_else(|index| {
            let bucket = Bucket {
                account,
                tokens: MIN_BURST,
                refilled_at: now,
                arrivals: 0,
                demand: 0.0,
                lease: None,
                measured_at: now,
                report_at: now + REPORT_INTERVAL,
                has_reported: false,
            };
            self.buckets.insert(index, bucket);
            index
        });
        let bucket = &mut self.buckets[index];
        bucket.refill(now, base_rate);
        bucket.arrivals = bucket.arrivals.saturating_add(1);
        let is_admitted = bucket.tokens >= 1.0;
        if is_admitted {
            bucket.tokens -= 1.0;
        }
        if !bucket.has_reported && bucket.needs_grant(now) {
            bucket.report_at = now;
        }
        if is_admitted {
            return LimitDecision::Pass;
        }
        let rate = bucket.rate(now, base_rate);
        let retry_after = Duration::try_from_secs_f64((1.0 - bucket.tokens) / rate)
            .unwrap_or(MAX_RETRY_AFTER)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        LimitDecision::Refuse { retry_after }
    }

    /// Returns the rate in requests per second that is allowed for `account` at `now`, or none if
    /// the account has no limit.
    pub fn rate(&self, now: Instant, account: AccountKey) -> Option<f64> {
        let base_rate = self.base_rate(account)?;
        let bucket = self.find(account).ok().map(|index| &self.buckets[index]);
        Some(bucket.map_or(base_rate, |bucket| bucket.rate(now, base_rate)))
    }

    /// Returns the demands to report at `now`: those of accounts with requests since the last
    /// report for which the base share may be insufficient. Removes idle accounts. The caller sends
    /// each demand to the account's coordinator in a [`Limiter::report`].
    pub fn due(&mut self, now: Instant) -> Vec<Demand> {
        let mut due = Vec::new();
        let (limits, instances) = (&self.limits, self.instances);
        self.buckets.retain_mut(|bucket| {
            if bucket.report_at > now {
                return true;
            }
            let limit = find_limit(limits, bucket.account).unwrap_or_default();
            let base_rate = limit * BASE_SHARE / instances;
            bucket.refill(now, base_rate);
            let is_reported = bucket.arrivals > 0 && bucket.needs_grant(now);
            bucket.update_demand(now);
            if !is_reported {
                return !bucket.is_idle(bucket.rate(now, base_rate));
            }
            bucket.has_reported = true;
            let rate = RequestsPerHour::from_per_second(bucket.demand);
            let held_sequence = bucket.lease.as_ref().map_or(0, |lease| lease.sequence);
            due.push(Demand { account: bucket.account, rate, held_sequence });
            true
        });
        due
    }

    /// Creates a report with `demands` that is sent at `now`.
    pub fn report(&mut self, now: Instant, demands: Vec<Demand>) -> Report {
        self.sequence += 1;
        self.sent_reports.push_back((self.sequence, now));
        while self.sent_reports.front().is_some_and(|(_, sent_at)| *sent_at + GRANT_LIFETIME <= now)
        {
            self.sent_reports.pop_front();
        }
        Report { sequence: self.sequence, demands }
    }

    /// Applies the response to a report. A response that arrives too late is ignored.
    pub fn apply_grants(&mut self, now: Instant, grants: Grants) {
        let report = self.sent_reports.iter().find(|(sequence, _)| *sequence == grants.sequence);
        let Some(deadline) = report.map(|(_, sent_at)| *sent_at + GRANT_LIFETIME) else {
            return;
        };
        for grant in grants.grants {
            let (Ok(index), Some(base_rate)) =
                (self.find(grant.account), self.base_rate(grant.account))
            else {
                continue;
            };
            let bucket = &mut self.buckets[index];
            bucket.refill(now, base_rate);
            if bucket.lease.as_ref().is_none_or(|lease| lease.deadline < deadline) {
                let per_second = grant.rate.as_per_second();
                bucket.lease = Some(Lease { sequence: grants.sequence, per_second, deadline });
            }
        }
    }
}
