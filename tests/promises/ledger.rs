//! What upstreams ran and what callers were told, and the comparison of the two.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

use serde_json::Value;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Largest number of log lines of one request in a report.
const MAX_LOG_LINES: usize = 20;

/// A run of a request at an upstream.
struct Run {
    request: String,
    upstream: String,
    begun_at: Instant,
    ended_at: Option<Instant>,
    /// How the upstream ends the run.
    end: String,
}

/// Status that a caller got.
struct Answer {
    request: String,
    is_at_most_once: bool,
    status: u16,
    at: Instant,
}

/// Index of a run.
#[derive(Debug, Clone, Copy)]
pub struct RunNumber(usize);

/// Result of the comparison of runs with answers.
pub struct Judgement {
    /// Number of promises given to requests that may run once at most.
    pub promises: u64,
    pub violations: Vec<String>,
    pub summary: String,
}

/// All runs and answers.
pub struct Ledger {
    start: Instant,
    runs: Mutex<Vec<Run>>,
    answers: Mutex<Vec<Answer>>,
    /// Number of requests that upstreams handled in each way.
    endings: Mutex<BTreeMap<String, u64>>,
}

impl Ledger {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            runs: Mutex::default(),
            answers: Mutex::default(),
            endings: Mutex::default(),
        }
    }

    pub fn begin_run(&self, request: &str, upstream: &str, end: &str) -> RunNumber {
        let mut runs = self.runs.lock().unwrap();
        let (request, upstream) = (request.to_string(), upstream.to_string());
        let begun_at = Instant::now();
        runs.push(Run { request, upstream, begun_at, ended_at: None, end: end.to_string() });
        RunNumber(runs.len() - 1)
    }

    pub fn end_run(&self, number: RunNumber) {
        self.runs.lock().unwrap()[number.0].ended_at = Some(Instant::now());
    }

    pub fn record_ending(&self, ending: &str) {
        *self.endings.lock().unwrap().entry(ending.to_string()).or_default() += 1;
    }

    pub fn record_answer(&self, request: &str, is_at_most_once: bool, status: u16) {
        let (request, at) = (request.to_string(), Instant::now());
        self.answers.lock().unwrap().push(Answer { request, is_at_most_once, status, at });
    }

    /// Compares runs with answers. `logs` are the lines of all entry instances.
    pub fn judge(&self, logs: &[String]) -> Judgement {
        let runs = self.runs.lock().unwrap();
        let answers = self.answers.lock().unwrap();
        let mut runs_by_request: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in runs.iter() {
            runs_by_request.entry(&run.request).or_default().push(run);
        }
        let reasons = refusal_reasons(logs);
        let (mut statuses, mut causes) = (BTreeMap::new(), BTreeMap::new());
        let mut broken: BTreeMap<String, u64> = BTreeMap::new();
        let (mut promises, mut violations) = (0, Vec::new());
        for answer in answers.iter().filter(|answer| answer.is_at_most_once) {
            *statuses.entry(answer.status).or_insert(0_u64) += 1;
            let status = answer.status;
            let own_runs = runs_by_request.get(answer.request.as_str());
            let reason = reasons.get(&answer.request).map_or("no log line", String::as_str);
            if PROMISES.contains(&status) {
                promises += 1;
                *causes.entry(format!("{status} {reason}")).or_insert(0_u64) += 1;
            }
            let own_runs = own_runs.map_or(&[][..], Vec::as_slice);
            if PROMISES.contains(&status) && !own_runs.is_empty() {
                let cause = format!("{status} {reason}, ran {}", own_runs[0].end);
                *broken.entry(cause).or_default() += 1;
                let title = format!("{} got {status} ({reason}) and ran", answer.request);
                violations.push(self.describe(&title, Some(answer.at), own_runs, logs));
            }
        }
        for (request, own_runs) in &runs_by_request {
            let is_at_most_once =
                answers.iter().any(|answer| answer.request == *request && answer.is_at_most_once);
            if is_at_most_once && own_runs.len() > 1 {
                *broken.entry(format!("ran twice, first {}", own_runs[0].end)).or_default() += 1;
                let title = format!("{request} ran {} times", own_runs.len());
                violations.push(self.describe(&title, None, own_runs, logs));
            }
        }
        let endings = self.endings.lock().unwrap();
        let summary = format!(
            "{promises} promises judged, {} runs, {} violations {broken:?}; by cause {causes:?}; \
             answers to requests that may run once {statuses:?}; upstreams {endings:?}",
            runs.len(),
            violations.len()
        );
        Judgement { promises, violations, summary }
    }

    fn describe(
        &self,
        title: &str,
        answered_at: Option<Instant>,
        runs: &[&Run],
        logs: &[String],
    ) -> String {
        let seconds = |at: Instant| at.duration_since(self.start).as_secs_f64();
        let mut text = title.to_string();
        if let Some(at) = answered_at {
            text.push_str(&format!("; answered at {:.4} s", seconds(at)));
        }
        for run in runs {
            let end = run.ended_at.map(seconds);
            let (upstream, begin) = (&run.upstream, seconds(run.begun_at));
            text.push_str(&format!("\n  {upstream}: {begin:.4} to {end:.4?} s, {}", run.end));
        }
        let request = &runs[0].request;
        let quoted = format!("\"{request}\"");
        for line in logs.iter().filter(|line| line.contains(&quoted)).take(MAX_LOG_LINES) {
            text.push_str(&format!("\n  {line}"));
        }
        text
    }
}

/// Returns the reason of the refusal that an entry instance logged for each request.
fn refusal_reasons(logs: &[String]) -> BTreeMap<String, String> {
    let lines = logs.iter().filter(|line| line.contains("\"refused\""));
    let lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let reason = |line: Value| {
        let request = line["request"].as_str()?.to_string();
        Some((request, line["reason"].as_str()?.to_string()))
    };
    lines.filter_map(reason).collect()
}
