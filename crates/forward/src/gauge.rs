//! How much an upstream holds, from what it says now and then and what this instance sends it.

use std::time::{Duration, Instant};

/// How long a report of an upstream counts in full. Requests last about as long.
const REPORT_SPAN: Duration = Duration::from_secs(2);

/// How old what another instance passes on is at most.
const HEARSAY_AGE: Duration = Duration::from_millis(500);

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

    /// Takes what another instance heard of the upstream a little earlier, unless this one heard
    /// something itself since.
    pub fn hear(&mut self, now: Instant, held: u32) {
        let is_fresh = self.reported.is_some_and(|last| now < last.at + HEARSAY_AGE);
        if !is_fresh {
            self.report(now, Report { running: held, waiting: 0, slots: 0 });
        }
    }

    /// Prompt tokens of this instance that the upstream has probably not read yet.
    pub fn backlog(&self) -> f64 {
        self.backlog
    }

    /// The estimate at `now`: what this instance has there, and the part of the last report that is
    /// not its own. As the report ages, and without one, `sharers` instances are taken to send
    /// alike instead.
    pub fn load(&self, now: Instant, sharers: u32) -> f64 {
        let own = f64::from(self.own);
        let guessed = own * f64::from(sharers.max(1) - 1);
        match self.reported {
            Some(reported) => {
                let age = now.saturating_duration_since(reported.at);
                let faded = age.as_secs_f64() / REPORT_SPAN.as_secs_f64() - 1.0;
                let weight = 1.0 - faded.clamp(0.0, 1.0);
                let others = (reported.held - reported.own).max(0.0);
                own + others * weight + guessed * (1.0 - weight)
            }
            None => own + guessed,
        }
    }

    /// Forgets everything, since another run of the upstream begins.
    pub fn reset(&mut self) {
        *self = Self { own: self.own, ..Self::default() };
    }
}
