//! Compares the time to the first token of calls through one instance with that of direct calls,
//! under load.
//!
//! Calls of both routes arrive open loop, each as a Poisson process of the same rate. They are
//! interleaved in one run, so that disturbances of the machine affect both routes alike. Latencies
//! count from the planned arrival.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::client::{Call, Observation, Outcome, send_call, shared_agent};
use crate::group::latency_histogram;
use crate::plan::interarrival_time;
use crate::pool::{Job, send_all};
use crate::{Error, prompt};

/// Time from its planned arrival within which a call must finish.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of a prompt: less than one cache block, so that prefix caches do not affect latency.
const PROMPT_BYTES: u32 = 16;

const MEDIAN_QUANTILE: f64 = 0.5;
const TAIL_QUANTILE: f64 = 0.99;

/// Route that a call takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Route {
    /// Directly to a stand-in engine.
    Direct,
    /// Through the instance.
    Relayed,
}

/// Planned call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Time of the arrival, from the start of the run.
    pub offset: Duration,
    /// Route that the call takes.
    pub route: Route,
}

/// Parameters of a comparison.
#[derive(Debug, Clone)]
pub struct Comparison {
    /// Address on which the instance accepts calls.
    pub caller: SocketAddr,
    /// Stand-in engines, to which direct calls go in round-robin order.
    pub stand_ins: Vec<SocketAddr>,
    /// API key of a client account.
    pub key: String,
    /// Service that the engines serve.
    pub service: String,
    /// Declared kind of work of the calls.
    pub kind: String,
    /// Calls per second on each route.
    pub per_second: f64,
    /// Time at the start that is not measured, in which connections are opened.
    pub warm_up: Duration,
    /// Duration of the measurement after the warm-up.
    pub duration: Duration,
    /// Number of words in each response.
    pub words: u32,
    /// Number of threads that send calls.
    pub threads: usize,
    /// Seed from which the arrivals are drawn.
    pub seed: u64,
}

/// Statistics of the calls on one route.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RouteSummary {
    /// Number of calls in the measured time.
    pub offered: usize,
    /// Number of calls whose complete response arrived.
    pub answered: usize,
    /// Median time to the first token, in milliseconds.
    pub p50: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub p99: f64,
    /// 99th percentile of the delay between planned arrival and sending, in milliseconds.
    pub send_lag_p99: f64,
}

/// Result of a comparison.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Difference {
    /// Calls per second on each route.
    pub per_second: f64,
    /// Duration of the measurement, in seconds.
    pub measured: f64,
    /// Seed from which the arrivals are drawn.
    pub seed: u64,
    /// Direct calls to the engines.
    pub direct: RouteSummary,
    /// Calls through the instance.
    pub relayed: RouteSummary,
    /// Latency that the instance adds to the median, in milliseconds.
    pub added_p50: f64,
    /// Latency that the instance adds to the 99th percentile, in milliseconds.
    pub added_p99: f64,
}

/// Call that was sent, with its observed result.
struct Sample {
    route: Route,
    due_at: Instant,
    sent_at: Instant,
    observation: Observation,
}

impl Comparison {
    /// Returns all calls in the order of their arrivals; the same seed gives the same calls.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let end = self.warm_up + self.duration;
        let mut arrivals = Vec::new();
        for route in [Route::Direct, Route::Relayed] {
            let mut rng = Pcg64Mcg::seed_from_u64((self.seed << 1) | route as u64);
            let mut offset = interarrival_time(&mut rng, self.per_second);
            while offset < end {
                arrivals.push(Arrival { offset, route });
                offset += interarrival_time(&mut rng, self.per_second);
            }
        }
        arrivals.sort_by_key(|arrival| arrival.offset);
        arrivals
    }

    /// Makes all calls and returns the latencies of both routes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::InvalidValue`] if `stand_ins` is empty and [`Error::Thread`] if a thread
    /// cannot be started.
    pub fn run(&self) -> Result<Difference, Error> {
        if self.stand_ins.is_empty() {
            return Err(Error::InvalidValue {
                field: "stand_ins",
                problem: "the list is empty".to_string(),
                help: "give the address of at least one stand-in engine",
            });
        }
        let comparison = Arc::new(self.clone());
        let (direct, relayed) = (shared_agent(self.threads), shared_agent(self.threads));
        let started_at = Instant::now();
        let measurement_start = started_at + self.warm_up;
        let planned_calls =
            self.arrivals().into_iter().map(|arrival| (arrival.offset, arrival.route));
        let mut samples = send_all(self.threads, started_at, planned_calls.collect(), || {
            let comparison = comparison.clone();
            let (direct, relayed) = (direct.clone(), relayed.clone());
            Box::new(move |job: Job<Route>| match job.request {
                Route::Direct => comparison.send(&direct, &job),
                Route::Relayed => comparison.send(&relayed, &job),
            })
        })?;
        samples.retain(|sample| sample.due_at >= measurement_start);
        self.compare(&samples)
    }

    fn send(&self, agent: &ureq::Agent, job: &Job<Route>) -> Sample {
        let index = job.index;
        let address = match job.request {
            Route::Direct => self.stand_ins[index % self.stand_ins.len()],
            Route::Relayed => self.caller,
        };
        let conversation = (self.seed << 32) | index as u64;
        let body = prompt::request_body(&self.service, conversation, 0, PROMPT_BYTES, self.words);
        let call = Call {
            address,
            api_key: &self.key,
            kind: &self.kind,
            conversation,
            body: &body,
            deadline: job.due_at + CALL_TIMEOUT,
        };
        let sent_at = Instant::now();
        let observation = send_call(agent, &call);
        Sample { route: job.request, due_at: job.due_at, sent_at, observation }
    }

    fn compare(&self, samples: &[Sample]) -> Result<Difference, Error> {
        let direct = RouteSummary::from_samples(samples, Route::Direct)?;
        let relayed = RouteSummary::from_samples(samples, Route::Relayed)?;
        Ok(Difference {
            per_second: self.per_second,
            measured: self.duration.as_secs_f64(),
            seed: self.seed,
            added_p50: relayed.p50 - direct.p50,
            added_p99: relayed.p99 - direct.p99,
            direct,
            relayed,
        })
    }
}

fn micros_between(later: Instant, earlier: Instant) -> u64 {
    let elapsed = later.saturating_duration_since(earlier);
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

impl RouteSummary {
    fn from_samples(samples: &[Sample], route: Route) -> Result<Self, Error> {
        let (mut first_token_latency, mut send_lag) = (latency_histogram()?, latency_histogram()?);
        let mut summary = Self::default();
        for sample in samples.iter().filter(|sample| sample.route == route) {
            summary.offered += 1;
            send_lag.saturating_record(micros_between(sample.sent_at, sample.due_at));
            if let (Outcome::Answered, Some(first_token_at)) =
                (sample.observation.outcome, sample.observation.first_token_at)
            {
                summary.answered += 1;
                first_token_latency
                    .saturating_record(micros_between(first_token_at, sample.due_at));
            }
        }
        let millis = |micros: u64| micros as f64 / 1000.0;
        summary.p50 = millis(first_token_latency.value_at_quantile(MEDIAN_QUANTILE));
        summary.p99 = millis(first_token_latency.value_at_quantile(TAIL_QUANTILE));
        summary.send_lag_p99 = millis(send_lag.value_at_quantile(TAIL_QUANTILE));
        Ok(summary)
    }
}

impl Difference {
    /// Returns whether the complete response of every call arrived.
    pub fn is_complete(&self) -> bool {
        [&self.direct, &self.relayed].iter().all(|summary| summary.answered == summary.offered)
    }

    /// Returns the result as text.
    pub fn table(&self) -> String {
        let mut out = format!(
            "time to the first token in ms, {}/s on each route for {:.0} s, seed {}\n",
            self.per_second, self.measured, self.seed
        );
        let mut row = |name: &str, summary: &RouteSummary| {
            let RouteSummary { offered, answered, p50, p99, send_lag_p99 } = summary;
            let _ = writeln!(
                out,
                "{name:<8} p50 {p50:7.3}  p99 {p99:7.3}  answered {answered} of {offered}, send lag \
                 p99 {send_lag_p99:.3}"
            );
        };
        row("direct", &self.direct);
        row("relayed", &self.relayed);
        let _ = writeln!(out, "added    p50 {:7.3}  p99 {:7.3}", self.added_p50, self.added_p99);
        out
    }
}
