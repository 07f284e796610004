//! Collects the observations of callers and operators, the injected faults, and the violations of
//! guarantees.

use std::collections::BTreeMap;
use std::sync::Mutex;

/// Largest number of violations that are recorded.
const MAX_VIOLATIONS: usize = 20;

#[derive(Default)]
struct Observations {
    violations: Vec<String>,
    /// Number of responses by kind of request and status.
    answers: BTreeMap<(&'static str, u16), usize>,
    /// Requests that were reported to their callers as not executed; each was sent once.
    not_run: Vec<String>,
    /// Number of injected faults.
    faults: usize,
}

/// Collects the observations of all threads.
#[derive(Default)]
pub struct Recorder {
    observations: Mutex<Observations>,
}

impl Recorder {
    /// Records the violation of a guarantee.
    pub fn record_violation(&self, violation: String) {
        let violations = &mut self.observations.lock().unwrap().violations;
        if violations.len() < MAX_VIOLATIONS {
            println!("violation: {violation}");
            violations.push(violation);
        }
    }

    /// Records `violation` unless `holds`.
    pub fn check<F>(&self, holds: bool, violation: F)
    where
        F: FnOnce() -> String,
    {
        if !holds {
            self.record_violation(violation());
        }
    }

    /// Records the status of a response; 0 stands for a connection that ended before the response.
    pub fn record_answer(&self, kind: &'static str, status: u16) {
        *self.observations.lock().unwrap().answers.entry((kind, status)).or_default() += 1;
    }

    /// Records that a request was reported to its caller as not executed, either now or later.
    pub fn record_not_run(&self, request: String) {
        self.observations.lock().unwrap().not_run.push(request);
    }

    /// Records an injected fault.
    pub fn record_fault(&self, what: String) {
        println!("fault: {what}");
        self.observations.lock().unwrap().faults += 1;
    }

    /// Returns the requests that were reported to their callers as not executed.
    pub fn requests_not_run(&self) -> Vec<String> {
        self.observations.lock().unwrap().not_run.clone()
    }

    /// Returns all violations that were recorded.
    pub fn violations(&self) -> Vec<String> {
        self.observations.lock().unwrap().violations.clone()
    }

    /// Returns the number of faults and the responses in one line.
    pub fn summary(&self) -> String {
        let observations = self.observations.lock().unwrap();
        format!("{} faults, answers {:?}", observations.faults, observations.answers)
    }
}
