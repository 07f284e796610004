//! Operator that changes and reads the document through random control instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use crate::fleet::FIRST_DOCUMENT;
use crate::recorder::Recorder;
use crate::support::machines::{document, put_document};
use crate::support::worker::send_request_with_timeout;

/// Largest number of times that one change is sent while its outcome is unknown.
const MAX_ATTEMPTS: usize = 6;

/// Numbers of the documents that the operator sent.
pub struct DocumentNumbers {
    /// Highest number that was acknowledged.
    pub acknowledged: u64,
    /// Highest number that was sent.
    pub sent: u64,
}

/// Thread of the running operator.
pub struct Operators {
    thread: JoinHandle<DocumentNumbers>,
}

impl Operators {
    pub fn start(
        controls: &[SocketAddr],
        seed: u64,
        is_stopped: &Arc<AtomicBool>,
        recorder: &Arc<Recorder>,
    ) -> Self {
        let operator = Operator {
            controls: controls.to_vec(),
            random: Pcg64Mcg::seed_from_u64(seed ^ 0x0de5),
            recorder: recorder.clone(),
            documents: BTreeMap::new(),
            numbers: DocumentNumbers { acknowledged: FIRST_DOCUMENT, sent: FIRST_DOCUMENT },
        };
        let is_stopped = is_stopped.clone();
        Self { thread: std::thread::spawn(move || operator.run(&is_stopped)) }
    }

    pub fn join(self) -> DocumentNumbers {
        self.thread.join().unwrap()
    }
}

struct Operator {
    controls: Vec<SocketAddr>,
    random: Pcg64Mcg,
    recorder: Arc<Recorder>,
    /// All valid documents that were sent, by number.
    documents: BTreeMap<u64, Value>,
    numbers: DocumentNumbers,
}

/// Returns the document `number`, with a route that no other document has.
pub fn document_with_marker(number: u64) -> Value {
    let mut value = document(number);
    let mut route = value["routes"][3].clone();
    route["name"] = format!("mark-{number}").into();
    route["path-prefix"] = format!("/mark-{number}/").into();
    value["routes"].as_array_mut().unwrap().push(route);
    value
}

impl Operator {
    fn run(mut self, is_stopped: &AtomicBool) -> DocumentNumbers {
        while !is_stopped.load(Ordering::Relaxed) {
            match self.random.random_range(0..10) {
                0..4 => self.send_change(is_stopped),
                4 => self.send_invalid_document(),
                _ => self.read_document(),
            }
            let pause = self.random.random_range(20..400);
            std::thread::sleep(Duration::from_millis(pause));
        }
        self.numbers
    }

    /// Returns the address of a random control instance.
    fn random_control(&mut self) -> SocketAddr {
        self.controls[self.random.random_range(0..self.controls.len())]
    }

    /// Sends the next document until it is acknowledged or [`MAX_ATTEMPTS`] is reached.
    fn send_change(&mut self, is_stopped: &AtomicBool) {
        let number = self.numbers.sent + self.random.random_range(1..4);
        let value = document_with_marker(number);
        let text = value.to_string();
        self.numbers.sent = number;
        self.documents.insert(number, value);
        for _ in 0..MAX_ATTEMPTS {
            match put_document(self.random_control(), &text).map(|answer| answer.status) {
                Ok(200) => {
                    self.numbers.acknowledged = number;
                    self.recorder.record_answer("change", 200);
                    return;
                }
                Ok(status) if status >= 500 || status == 429 || status == 408 => {
                    self.recorder.record_answer("change", status);
                }
                Ok(status) => {
                    self.recorder.record_violation(format!(
                        "document {number} was refused with status {status}"
                    ));
                    return;
                }
                Err(_) => self.recorder.record_answer("change", 0),
            }
            if is_stopped.load(Ordering::Relaxed) {
                return;
            }
            std::thread::sleep(Duration::from_millis(150));
        }
    }

    /// Sends an invalid document and checks that it is not acknowledged.
    fn send_invalid_document(&mut self) {
        let mut value = document_with_marker(self.numbers.sent + 1_000_000);
        value["routes"][0]["timeout-ms"] = 0.into();
        if let Ok(answer) = put_document(self.random_control(), &value.to_string()) {
            let is_accepted = answer.status == 200;
            self.recorder
                .check(!is_accepted, || "an invalid document was acknowledged".to_string());
        }
    }

    /// Reads the document and checks that it is valid and no older than the last acknowledged one.
    fn read_document(&mut self) {
        let minimum = self.numbers.acknowledged;
        let control = self.random_control();
        let Ok(answer) = send_request_with_timeout(control, "GET", "/v1/configuration", &[], "", 2)
        else {
            return;
        };
        self.recorder.record_answer("read", answer.status);
        if answer.status != 200 || !answer.is_complete {
            return;
        }
        let Ok(value) = serde_json::from_slice::<Value>(&answer.body) else {
            self.recorder.record_violation(format!("{control} returned a malformed document"));
            return;
        };
        let number = value["version"].as_u64().unwrap_or_default();
        let is_current = number >= minimum;
        self.recorder.check(is_current, || format!("{control} read {number} after {minimum}"));
        let is_known = number == FIRST_DOCUMENT || self.documents.get(&number) == Some(&value);
        self.recorder.check(is_known, || format!("{control} read {number} with other content"));
    }
}
