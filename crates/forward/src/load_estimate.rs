//! Estimates the load of an upstream from the reports of the upstream and the requests of this
//! instance.

use std::time::{Duration, Instant};

use crate::Pace;

/// How long a load report has full weight. Requests last about as long.
const FULL_WEIGHT_DURATION: Duration = Duration::from_secs(2);

/// Weight of the mean of the other upstreams in the estimate of an upstream without a report, in
/// requests. Upstreams differ from each other by about as much as their mean.
const PRIOR_WEIGHT_REQUESTS: f64 = 1.0;

/// Minimum share of upstreams with a recent report for their mean to be used.
const MIN_REPORTED_SHARE: f64 = 0.5;

/// The load that an upstream reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Number of requests that the upstream processes.
    pub running: u32,
    /// Number of requests that are queued at the upstream.
    pub waiting: u32,
    /// Number of requests that the upstream processes concurrently at most.
    pub slots: u32,
    /// Pace of the machine of the upstream, if the upstream names a valid one.
    pub pace: Option<Pace>,
}

impl Report {
    /// Returns the number of all requests at the upstream.
    pub fn requests(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

#[derive(Debug, Clone, Copy)]
struct Reported {
    /// Requests of all instances at the upstream.
    requests: f64,
    /// Requests of this instance that are included in `requests`.
    own: f64,
    at: Instant,
}

impl Reported {
    /// Returns the weight of the report at `now`, from 1 for a recent report to 0 for an old one.
    fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        let faded_part = age.as_secs_f64() / FULL_WEIGHT_DURATION.as_secs_f64() - 1.0;
        1.0 - faded_part.clamp(0.0, 1.0)
    }

    /// Returns the number of requests of other instances.
    fn others(&self) -> f64 {
        (self.requests - self.own).max(0.0)
    }
}

/// Returns the likely load of an upstream at which this instance has `own` requests, if `instances`
/// instances each have as many requests there. The requests of one instance among many say little,
/// so the mean load of all upstreams, `prior`, is weighed in.
fn load_without_report(own: f64, instances: f64, prior: Option<f64>) -> f64 {
    match prior {
        Some(mean) if mean > 0.0 => {
            (own + PRIOR_WEIGHT_REQUESTS) / (1.0 / instances + PRIOR_WEIGHT_REQUESTS / mean)
        }
        _ => own * instances,
    }
}

/// Returns the mean load of the upstreams with these estimates, or `None` if fewer than half of
/// them reported recently.
pub fn mean_load<'a, I>(estimates: I, now: Instant) -> Option<f64>
where
    I: Iterator<Item = &'a LoadEstimate>,
{
    let (mut total, mut reporting, mut requests) = (0.0, 0.0, 0.0);
    for estimate in estimates {
        total += 1.0;
        if let Some(reported) = estimate.reported.filter(|report| report.weight(now) >= 1.0) {
            reporting += 1.0;
            requests += f64::from(estimate.own) + reported.others();
        }
    }
    (reporting > 0.0 && reporting >= total * MIN_REPORTED_SHARE).then(|| requests / reporting)
}

/// Estimate of the load of one upstream.
#[derive(Debug, Clone, Default)]
pub struct LoadEstimate {
    own: u32,
    reported: Option<Reported>,
    backlog: f64,
}

impl LoadEstimate {
    /// Returns the number of requests of this instance at the upstream.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Counts a request that is sent with `tokens` prompt tokens to prefill.
    pub fn begin(&mut self, tokens: f64) {
        self.own += 1;
        self.backlog += tokens;
    }

    /// Removes `tokens` of a request from the backlog: the upstream has prefilled them, since the
    /// response has begun, or the tokens are no longer needed.
    pub fn remove_backlog(&mut self, tokens: f64) {
        self.backlog = (self.backlog - tokens).max(0.0);
    }

    /// Counts the end of a request.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Records a load report of the upstream.
    pub fn report(&mut self, now: Instant, report: Report) {
        self.reported = Some(Reported {
            requests: f64::from(report.requests()),
            own: f64::from(self.own),
            at: now,
        });
    }

    /// Records that the upstream had `requests` requests at `at`, as another instance reported,
    /// unless a newer report is known.
    pub fn merge_report(&mut self, at: Instant, requests: u32) {
        let is_outdated = self.reported.is_some_and(|last| at <= last.at);
        if !is_outdated {
            self.report(at, Report { running: requests, waiting: 0, slots: 0, pace: None });
        }
    }

    /// Returns the prompt tokens of this instance that the upstream has probably not prefilled yet.
    pub fn backlog(&self) -> f64 {
        self.backlog
    }

    /// Returns the estimated number of requests at `now`: the requests of this instance, and those
    /// of other instances in the last report.
    ///
    /// Without a recent report the load is extrapolated from the requests of this instance, as if
    /// `instances` instances each had as many requests there, and from `prior`, the mean load of
    /// all upstreams, if known.
    pub fn load(&self, now: Instant, instances: u32, prior: Option<f64>) -> f64 {
        let own = f64::from(self.own);
        let extrapolated = load_without_report(own, f64::from(instances.max(1)), prior);
        match self.reported {
            Some(reported) => {
                let weight = reported.weight(now);
                (own + reported.others()) * weight + extrapolated * (1.0 - weight)
            }
            None => extrapolated,
        }
    }

    /// Drops the last report and the backlog because the upstream has restarted. Requests of this
    /// instance stay counted.
    pub fn reset(&mut self) {
        *self = Self { own: self.own, ..Self::default() };
    }
}
