//! What was seen, and what of it breaks a promise.

use std::collections::BTreeMap;
use std::sync::Mutex;

/// Most problems that are listed.
const MAX_PROBLEMS: usize = 20;

#[derive(Default)]
struct Seen {
    problems: Vec<String>,
    /// What callers were told, by kind of request and status.
    answers: BTreeMap<(&'static str, u16), usize>,
    /// Requests that callers were told have not run, and are no repeats of anything.
    not_run: Vec<String>,
    faults: usize,
}

/// Collects from all threads.
#[derive(Default)]
pub struct Verdicts {
    seen: Mutex<Seen>,
}

impl Verdicts {
    /// Notes a broken promise.
    pub fn broken(&self, problem: String) {
        let problems = &mut self.seen.lock().unwrap().problems;
        if problems.len() < MAX_PROBLEMS {
            println!("BROKEN: {problem}");
            problems.push(problem);
        }
    }

    /// Notes `problem` unless `holds`.
    pub fn check<F>(&self, holds: bool, problem: F)
    where
        F: FnOnce() -> String,
    {
        if !holds {
            self.broken(problem());
        }
    }

    /// Notes what a caller was told; 0 stands for a connection that ended first.
    pub fn answered(&self, kind: &'static str, status: u16) {
        *self.seen.lock().unwrap().answers.entry((kind, status)).or_default() += 1;
    }

    /// Notes that a request has not run and never will, as its caller was told.
    pub fn not_run(&self, request: String) {
        self.seen.lock().unwrap().not_run.push(request);
    }

    /// Notes a fault.
    pub fn fault(&self, what: String) {
        println!("fault: {what}");
        self.seen.lock().unwrap().faults += 1;
    }

    /// The requests that have not run, as their callers were told.
    pub fn all_not_run(&self) -> Vec<String> {
        self.seen.lock().unwrap().not_run.clone()
    }

    /// All broken promises.
    pub fn problems(&self) -> Vec<String> {
        self.seen.lock().unwrap().problems.clone()
    }

    /// One line on what was seen.
    pub fn summary(&self) -> String {
        let seen = self.seen.lock().unwrap();
        format!("{} faults, answers {:?}", seen.faults, seen.answers)
    }
}
