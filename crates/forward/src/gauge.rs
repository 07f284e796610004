//! How much an upstream holds, from what it says now and then and what this instance sends it.

use std::time::{Duration, Instant};

/// How long a report of an upstream counts in full. Requests last about as long.
const REPORT_SPAN: Duration = Duration::from_secs(2);

/// For how many requests the mean of the others counts against what this instance has at an
/// upstream without a report: upstreams differ about as much as their mean.
const PRIOR_REQUESTS: f64 = 1.0;

/// Share of upstreams that must have reported lately for their mean to say something.
const REPORTED_SHARE: f64 = 0.5;

/// What an upstream said of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

#[derive(Debug, Clone, Copy)]
struct Reported {
    held: f64,
    /// Requests of this instance that were among them.
    own: f64,
    at: Instant,
}

impl Reported {
    /// How much the report counts at `now`, from 1 to 0.
    fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        let faded = age.as_secs_f64() / REPORT_SPAN.as_secs_f64() - 1.0;
        1.0 - faded.clamp(0.0, 1.0)
    }

    /// Requests of other instances.
    fn others(&self) -> f64 {
        (self.held - self.own).max(0.0)
    }
}

/// The likely load of an upstream where this instance has `own` requests. What is seen of one
/// instance among many says little, so the mean of all counts beside it.
fn guess(own: f64, sharers: f64, prior: Option<f64>) -> f64 {
    match prior {
        Some(mean) if mean > 0.0 => {
            (own + PRIOR_REQUESTS) / (1.0 / sharers + PRIOR_REQUESTS / mean)
        }
        _ => own * sharers,
    }
}

/// The mean load of upstreams with these gauges, if enough of them reported lately.
pub fn prior<'a, I>(gauges: I, now: Instant) -> Option<f64>
where
    I: Iterator<Item = &'a Gauge>,
{
    let (mut all, mut known, mut held) = (0.0, 0.0, 0.0);
    for gauge in gauges {
        all += 1.0;
        if let Some(reported) = gauge.reported.filter(|one| one.weight(now) >= 1.0) {
            known += 1.0;
            held += f64::from(gauge.own) + reported.others();
        }
    }
    (known > 0.0 && known >= all * REPORTED_SHARE).then(|| held / known)
}

/// The estimated load of one upstream.
#[derive(Debug, Clone, Default)]
pub struct Gauge {
    own: u32,
    reported: Option<Reported>,
    backlog: f64,
}

impl Gauge {
    /// Requests of this instance that are there.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Notes a request that is sent with `tokens` that have to be read.
    pub fn begin(&mut self, tokens: f64) {
        self.own += 1;
        self.backlog += tokens;
    }

    /// Notes that `tokens` of a request were read, since its answer has begun, or are no more
    /// needed.
    pub fn read(&mut self, tokens: f64) {
        self.backlog = (self.backlog - tokens).max(0.0);
    }

    /// Notes the end of a request.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes a report of the upstream.
    pub fn report(&mut self, now: Instant, report: Report) {
        self.reported = Some(Reported {
            held: f64::from(report.running + report.waiting),
            own: f64::from(self.own),
            at: now,
        });
    }

    /// Takes what another instance heard of the upstream at `at`, unless something newer is known.
    pub fn hear(&mut self, at: Instant, held: u32) {
        let is_known = self.reported.is_some_and(|last| at <= last.at);
        if !is_known {
            self.report(at, Report { running: held, waiting: 0, slots: 0 });
        }
    }

    /// Prompt tokens of this instance that the upstream has probably not read yet.
    pub fn backlog(&self) -> f64 {
        self.backlog
    }

    /// The estimate at `now`: what this instance has there, and the part of the last report that is
    /// not its own. As the report ages, and without one, it is a guess, with `sharers` instances
    /// that are taken to send alike, and `prior` as the mean of all upstreams where that is known.
    pub fn load(&self, now: Instant, sharers: u32, prior: Option<f64>) -> f64 {
        let own = f64::from(self.own);
        let guessed = guess(own, f64::from(sharers.max(1)), prior);
        match self.reported {
            Some(reported) => {
                let weight = reported.weight(now);
                (own + reported.others()) * weight + guessed * (1.0 - weight)
            }
            None => guessed,
        }
    }

    /// Forgets everything, since another run of the upstream begins.
    pub fn reset(&mut self) {
        *self = Self { own: self.own, ..Self::default() };
    }
}
