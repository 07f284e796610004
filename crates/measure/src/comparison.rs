//! Time to the first token through one instance beside that of direct calls, under load.
//!
//! Both kinds of calls arrive open loop, each as a Poisson process of the same rate, interleaved in
//! one run, so that whatever the machine does meets both. Times count from the planned arrival.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::client::{Call, End, Seen, send, shared_agent};
use crate::group::histogram;
use crate::plan::gap;
use crate::pool::{Job, send_all};
use crate::{Error, prompt};

/// How long a call may take.
const PATIENCE: Duration = Duration::from_secs(10);

/// Bytes of a prompt: less than a block, so that no cache changes the time.
const PROMPT_BYTES: u32 = 16;

/// Significant quantiles.
const MEDIAN: f64 = 0.5;
const TAIL: f64 = 0.99;

/// Which way a call takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Side {
    /// To a stand-in engine.
    Direct,
    /// Through the instance.
    Relayed,
}

/// One planned call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// When it arrives, from the start of the run.
    pub at: Duration,
    /// Which way it takes.
    pub side: Side,
}

/// What is compared.
#[derive(Debug, Clone)]
pub struct Comparison {
    /// Callers' address of the instance.
    pub caller: SocketAddr,
    /// Stand-in engines, which direct calls go to in turn.
    pub stand_ins: Vec<SocketAddr>,
    /// API key of an account.
    pub key: String,
    /// Service that the engines answer.
    pub service: String,
    /// Kind of work.
    pub kind: String,
    /// Calls a second, each way.
    pub per_second: f64,
    /// Time that is not measured, in which connections are made.
    pub warm_up: Duration,
    /// Time that is measured.
    pub duration: Duration,
    /// Words of an answer.
    pub words: u32,
    /// Threads that send.
    pub threads: usize,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// The calls of one way.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Path {
    /// Calls in the measured time.
    pub offered: usize,
    /// Calls answered whole.
    pub answered: usize,
    /// Median time to the first token, in milliseconds.
    pub p50: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub p99: f64,
    /// 99th percentile of how late this tool sent, in milliseconds.
    pub send_lag_p99: f64,
}

/// The outcome of a comparison.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Difference {
    /// Calls a second, each way.
    pub per_second: f64,
    /// Seconds that were measured.
    pub measured: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Calls to the engines.
    pub direct: Path,
    /// Calls through the instance.
    pub relayed: Path,
    /// What the instance adds to the median, in milliseconds.
    pub added_p50: f64,
    /// What the instance adds to the 99th percentile, in milliseconds.
    pub added_p99: f64,
}

struct Sample {
    side: Side,
    due: Instant,
    sent: Instant,
    seen: Seen,
}

impl Comparison {
    /// All calls in the order of their arrivals; they follow from the seed.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let end = self.warm_up + self.duration;
        let mut arrivals = Vec::new();
        for side in [Side::Direct, Side::Relayed] {
            let mut generator = Pcg64Mcg::seed_from_u64((self.seed << 1) | side as u64);
            let mut at = gap(&mut generator, self.per_second);
            while at < end {
                arrivals.push(Arrival { at, side });
                at += gap(&mut generator, self.per_second);
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    /// Makes all calls.
    ///
    /// # Errors
    ///
    /// [`Error::Value`] when there is no stand-in, [`Error::Thread`] when a thread cannot start.
    pub fn run(&self) -> Result<Difference, Error> {
        if self.stand_ins.is_empty() {
            return Err(Error::Value {
                field: "stand_ins",
                problem: "there is none".to_string(),
                help: "give the address of at least one stand-in engine",
            });
        }
        let comparison = Arc::new(self.clone());
        let (direct, relayed) = (shared_agent(self.threads), shared_agent(self.threads));
        let started = Instant::now();
        let measured_from = started + self.warm_up;
        let planned = self.arrivals().into_iter().map(|arrival| (arrival.at, arrival.side));
        let mut samples = send_all(self.threads, started, planned.collect(), || {
            let comparison = comparison.clone();
            let (direct, relayed) = (direct.clone(), relayed.clone());
            Box::new(move |job: Job<Side>| match job.request {
                Side::Direct => comparison.send(&direct, &job),
                Side::Relayed => comparison.send(&relayed, &job),
            })
        })?;
        samples.retain(|sample| sample.due >= measured_from);
        self.compare(&samples)
    }

    fn send(&self, agent: &ureq::Agent, job: &Job<Side>) -> Sample {
        let number = job.number;
        let address = match job.request {
            Side::Direct => self.stand_ins[number % self.stand_ins.len()],
            Side::Relayed => self.caller,
        };
        let conversation = (self.seed << 32) | number as u64;
        let body = prompt::body(&self.service, conversation, 0, PROMPT_BYTES, self.words);
        let call = Call {
            address,
            key: &self.key,
            kind: &self.kind,
            conversation,
            body: &body,
            deadline: job.due + PATIENCE,
        };
        let sent = Instant::now();
        let seen = send(agent, &call);
        Sample { side: job.request, due: job.due, sent, seen }
    }

    fn compare(&self, samples: &[Sample]) -> Result<Difference, Error> {
        let direct = Path::of(samples, Side::Direct)?;
        let relayed = Path::of(samples, Side::Relayed)?;
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

fn micros(later: Instant, earlier: Instant) -> u64 {
    let span = later.saturating_duration_since(earlier);
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl Path {
    fn of(samples: &[Sample], side: Side) -> Result<Self, Error> {
        let (mut first_token, mut lag) = (histogram()?, histogram()?);
        let mut path = Self::default();
        for sample in samples.iter().filter(|sample| sample.side == side) {
            path.offered += 1;
            lag.saturating_record(micros(sample.sent, sample.due));
            if let (End::Answered, Some(first)) = (sample.seen.end, sample.seen.first_token) {
                path.answered += 1;
                first_token.saturating_record(micros(first, sample.due));
            }
        }
        let millis = |micros: u64| micros as f64 / 1000.0;
        path.p50 = millis(first_token.value_at_quantile(MEDIAN));
        path.p99 = millis(first_token.value_at_quantile(TAIL));
        path.send_lag_p99 = millis(lag.value_at_quantile(TAIL));
        Ok(path)
    }
}

impl Difference {
    /// Whether every call was answered whole.
    pub fn is_whole(&self) -> bool {
        [&self.direct, &self.relayed].iter().all(|path| path.answered == path.offered)
    }

    /// The outcome as text.
    pub fn table(&self) -> String {
        let mut out = format!(
            "time to the first token in ms, {}/s each way for {:.0} s, seed {}\n",
            self.per_second, self.measured, self.seed
        );
        let mut row = |name: &str, path: &Path| {
            let Path { offered, answered, p50, p99, send_lag_p99 } = path;
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
