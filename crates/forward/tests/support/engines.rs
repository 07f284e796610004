//! Simulated engines that read prompts in chunks between the steps of running requests.

use std::time::Duration;

/// Number of prompt tokens that an engine reads between two steps.
pub const CHUNK_TOKENS: f64 = 1024.0;

/// Number of prompt tokens that an engine of the usual pace reads in a millisecond.
pub const TOKENS_PER_MS: f64 = 66.0;

/// Duration of a step of an engine of the usual pace, in which each running request gets an event.
pub const STEP: Duration = Duration::from_millis(4);

/// Number of requests that an engine runs concurrently.
pub const SLOTS: u32 = 16;

/// Number of prompt tokens of contexts that the cache of an engine holds.
const CACHE_TOKENS: f64 = 120_000.0;

/// A request at an engine.
#[derive(Clone, Copy)]
pub struct Job {
    pub request: usize,
    pub rank: u8,
    pub context: u64,
    pub shared_tokens: f64,
    pub own_tokens: f64,
    /// Number of events that are not sent yet.
    pub events: u32,
}

struct Running {
    job: Job,
    unread: f64,
}

/// What happened in a step.
#[derive(Default)]
pub struct Outcome {
    /// Requests that got an event.
    pub progressed: Vec<usize>,
    /// Requests that got their last event.
    pub ended: Vec<usize>,
}

/// An engine. More urgent requests are admitted first, and prompts are read in the order of
/// admission.
#[derive(Default)]
pub struct Engine {
    waiting: Vec<Job>,
    running: Vec<Running>,
    /// Contexts with their tokens, the most recently used last.
    cache: Vec<(u64, f64)>,
    /// Number of shared tokens that were read.
    pub shared_tokens_read: f64,
    pub is_stepping: bool,
}

impl Engine {
    pub fn push(&mut self, job: Job) {
        let position = self.waiting.partition_point(|other| other.rank <= job.rank);
        self.waiting.insert(position, job);
    }

    pub fn requests(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Begins a step. Returns its duration, or `None` if nothing is to do.
    pub fn begin_step(&mut self, pace_percent: f64) -> Option<Duration> {
        while self.running.len() < SLOTS as usize && !self.waiting.is_empty() {
            let job = self.waiting.remove(0);
            let unread = job.own_tokens + self.tokens_of_context(&job);
            self.running.push(Running { job, unread });
        }
        self.is_stepping = !self.running.is_empty();
        let unread: f64 = self.running.iter().map(|running| running.unread).sum();
        let reading = Duration::from_secs_f64(unread.min(CHUNK_TOKENS) / TOKENS_PER_MS / 1000.0);
        self.is_stepping.then(|| (STEP + reading).mul_f64(pace_percent / 100.0))
    }

    fn tokens_of_context(&mut self, job: &Job) -> f64 {
        let found = self.cache.iter().position(|(context, _)| *context == job.context);
        if let Some(index) = found {
            self.cache.remove(index);
        }
        self.cache.push((job.context, job.shared_tokens));
        while self.cache.iter().map(|(_, tokens)| tokens).sum::<f64>() > CACHE_TOKENS {
            self.cache.remove(0);
        }
        let tokens = if found.is_some() { 0.0 } else { job.shared_tokens };
        self.shared_tokens_read += tokens;
        tokens
    }

    /// Ends a step.
    pub fn end_step(&mut self) -> Outcome {
        let mut budget = CHUNK_TOKENS;
        let mut outcome = Outcome::default();
        for running in &mut self.running {
            if running.unread > 0.0 {
                let read = running.unread.min(budget);
                running.unread -= read;
                budget -= read;
            }
            if running.unread <= 0.0 {
                running.job.events -= 1;
                outcome.progressed.push(running.job.request);
                if running.job.events == 0 {
                    outcome.ended.push(running.job.request);
                }
            }
        }
        self.running.retain(|running| running.job.events > 0);
        outcome
    }
}
