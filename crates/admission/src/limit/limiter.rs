//! One instance's side of account limits.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::{
    AccountKey, BASE_SHARE, Demand, GRANT_LIFETIME, Grants, Hourly, Limit, REPORT_PERIOD, Report,
    find_limit, sorted,
};

/// Time over which a share may gather unused requests.
const BURST: Duration = Duration::from_secs(1);

/// Requests that an account may always make at once at one instance.
const MIN_BURST: f64 = 2.0;

/// Weight of a period's arrivals in a falling demand.
const DECAY: f64 = 0.75;

/// Demand, in requests a second, below which an account counts as idle.
const IDLE: f64 = 0.01;

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Whether a request passes the limit of its account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Passage {
    /// It passes.
    Pass,
    /// The account has used up its share of the limit.
    Refuse {
        /// When to ask again.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Lease {
    sequence: u64,
    per_second: f64,
    deadline: Instant,
}

#[derive(Debug)]
struct Bucket {
    account: AccountKey,
    tokens: f64,
    filled_at: Instant,
    arrivals: u32,
    demand: f64,
    lease: Option<Lease>,
    measured_at: Instant,
    report_at: Instant,
    has_reported: bool,
}

impl Bucket {
    /// Requests a second that may pass at `now`.
    fn rate(&self, now: Instant, base: f64) -> f64 {
        let lease = self.lease.as_ref().filter(|lease| now < lease.deadline);
        base + lease.map_or(0.0, |lease| lease.per_second)
    }

    fn fill(&mut self, now: Instant, base: f64) {
        let rate = self.rate(now, base);
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed).min(capacity(rate));
        self.filled_at = now;
    }

    /// Whether the base share alone may not do for the account.
    fn is_short(&self, now: Instant) -> bool {
        self.tokens < 1.0 || self.lease.as_ref().is_some_and(|lease| now < lease.deadline)
    }

    fn is_idle(&self, rate: f64) -> bool {
        self.arrivals == 0 && self.demand < IDLE && self.tokens >= capacity(rate)
    }

    /// Updates the demand: at once when it rises, by and by when it falls.
    fn measure(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.measured_at).max(REPORT_PERIOD);
        let newest = f64::from(self.arrivals) / elapsed.as_secs_f64();
        self.demand = newest.max(self.demand + DECAY * (newest - self.demand));
        self.arrivals = 0;
        self.measured_at = now;
        self.report_at = now + REPORT_PERIOD;
    }
}

fn capacity(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(MIN_BURST)
}

/// Passes or refuses the requests of limited accounts at one instance.
///
/// Over any time the fleet passes at most the limit and a burst at each instance: what its share
/// gathers in one second, or two requests.
#[derive(Debug)]
pub struct Limiter {
    limits: Vec<Limit>,
    instances: f64,
    buckets: Vec<Bucket>,
    sequence: u64,
    sent: VecDeque<(u64, Instant)>,
}

impl Limiter {
    /// A limiter of one of `instances` instances, living or not, without limits.
    pub fn new(instances: u32) -> Self {
        Self {
            limits: Vec::new(),
            instances: f64::from(instances.max(1)),
            buckets: Vec::new(),
            sequence: 0,
            sent: VecDeque::new(),
        }
    }

    /// Sets the number of instances, living or not, that share limits.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = f64::from(instances.max(1));
    }

    /// Sets the declared limits.
    pub fn set_limits(&mut self, limits: Vec<Limit>) {
        self.limits = sorted(limits);
        let limits = &self.limits;
        self.buckets.retain(|bucket| find_limit(limits, bucket.account).is_some());
    }

    /// Number of accounts remembered.
    pub fn active(&self) -> usize {
        self.buckets.len()
    }

    fn base(&self, account: AccountKey) -> Option<f64> {
        find_limit(&self.limits, account).map(|limit| limit * BASE_SHARE / self.instances)
    }

    fn find(&self, account: AccountKey) -> Result<usize, usize> {
        self.buckets.binary_search_by(|bucket| bucket.account.cmp(&account))
    }

    /// Takes a request of `account` that arrived at `now`.
    pub fn pass(&mut self, now: Instant, account: AccountKey) -> Passage {
        let Some(base) = self.base(account) else {
            return Passage::Pass;
        };
        let index = self.find(account).unwrap_or_else(|index| {
            let bucket = Bucket {
                account,
                tokens: MIN_BURST,
                filled_at: now,
                arrivals: 0,
                demand: 0.0,
                lease: None,
                measured_at: now,
                report_at: now + REPORT_PERIOD,
                has_reported: false,
            };
            self.buckets.insert(index, bucket);
            index
        });
        let bucket = &mut self.buckets[index];
        bucket.fill(now, base);
        bucket.arrivals = bucket.arrivals.saturating_add(1);
        let passes = bucket.tokens >= 1.0;
        if passes {
            bucket.tokens -= 1.0;
        }
        if !bucket.has_reported && bucket.is_short(now) {
            bucket.report_at = now;
        }
        if passes {
            return Passage::Pass;
        }
        let rate = bucket.rate(now, base);
        let retry_after = Duration::try_from_secs_f64((1.0 - bucket.tokens) / rate)
            .unwrap_or(MAX_RETRY_AFTER)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Passage::Refuse { retry_after }
    }

    /// Requests of `account` a second that may pass at `now`; none when it has no limit.
    pub fn rate(&self, now: Instant, account: AccountKey) -> Option<f64> {
        let base = self.base(account)?;
        let bucket = self.find(account).ok().map(|index| &self.buckets[index]);
        Some(bucket.map_or(base, |bucket| bucket.rate(now, base)))
    }

    /// The demands that are due at `now`: of accounts that asked since the last report and for
    /// which the base share may not do. Forgets idle accounts. The caller sends each to the
    /// account's coordinator, in a [`Limiter::report`].
    pub fn due(&mut self, now: Instant) -> Vec<Demand> {
        let mut due = Vec::new();
        let (limits, instances) = (&self.limits, self.instances);
        self.buckets.retain_mut(|bucket| {
            if bucket.report_at > now {
                return true;
            }
            let limit = find_limit(limits, bucket.account).unwrap_or_default();
            let base = limit * BASE_SHARE / instances;
            bucket.fill(now, base);
            let is_reported = bucket.arrivals > 0 && bucket.is_short(now);
            bucket.measure(now);
            if !is_reported {
                return !bucket.is_idle(bucket.rate(now, base));
            }
            bucket.has_reported = true;
            let rate = Hourly::from_per_second(bucket.demand);
            let held = bucket.lease.as_ref().map_or(0, |lease| lease.sequence);
            due.push(Demand { account: bucket.account, rate, held });
            true
        });
        due
    }

    /// Puts demands into a report that is sent at `now`.
    pub fn report(&mut self, now: Instant, demands: Vec<Demand>) -> Report {
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        while self.sent.front().is_some_and(|(_, sent)| *sent + GRANT_LIFETIME <= now) {
            self.sent.pop_front();
        }
        Report { sequence: self.sequence, demands }
    }

    /// Takes the answer to a report; one that comes too late is ignored.
    pub fn take(&mut self, now: Instant, grants: Grants) {
        let sent = self.sent.iter().find(|(sequence, _)| *sequence == grants.sequence);
        let Some(deadline) = sent.map(|(_, sent)| *sent + GRANT_LIFETIME) else {
            return;
        };
        for grant in grants.grants {
            let (Ok(index), Some(base)) = (self.find(grant.account), self.base(grant.account))
            else {
                continue;
            };
            let bucket = &mut self.buckets[index];
            bucket.fill(now, base);
            if bucket.lease.as_ref().is_none_or(|lease| lease.deadline < deadline) {
                let per_second = grant.rate.as_per_second();
                bucket.lease = Some(Lease { sequence: grants.sequence, per_second, deadline });
            }
        }
    }
}
