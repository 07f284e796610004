//! An operator that changes and reads the document, at any control instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use crate::stage::FIRST_DOCUMENT;
use crate::support::machines::{document, put_document};
use crate::support::worker::exchange_within;
use crate::verdicts::Verdicts;

/// How often a change without a clear answer is sent again before the next one.
const RESENDS: usize = 6;

/// What the operator knows at the end.
pub struct Newest {
    /// The highest number that was acknowledged.
    pub acknowledged: u64,
    /// The highest number that was sent.
    pub sent: u64,
}

/// The running operator.
pub struct Operators {
    thread: JoinHandle<Newest>,
}

impl Operators {
    pub fn start(
        controls: &[SocketAddr],
        seed: u64,
        is_over: &Arc<AtomicBool>,
        verdicts: &Arc<Verdicts>,
    ) -> Self {
        let operator = Operator {
            controls: controls.to_vec(),
            random: Pcg64Mcg::seed_from_u64(seed ^ 0x0de5),
            verdicts: verdicts.clone(),
            documents: BTreeMap::new(),
            newest: Newest { acknowledged: FIRST_DOCUMENT, sent: FIRST_DOCUMENT },
        };
        let is_over = is_over.clone();
        Self { thread: std::thread::spawn(move || operator.run(&is_over)) }
    }

    pub fn join(self) -> Newest {
        self.thread.join().unwrap()
    }
}

struct Operator {
    controls: Vec<SocketAddr>,
    random: Pcg64Mcg,
    verdicts: Arc<Verdicts>,
    /// All valid documents that were sent.
    documents: BTreeMap<u64, Value>,
    newest: Newest,
}

/// The document `number`, with a route that only it has.
pub fn marked(number: u64) -> Value {
    let mut value = document(number);
    let mut route = value["routes"][3].clone();
    route["name"] = format!("mark-{number}").into();
    route["path-prefix"] = format!("/mark-{number}/").into();
    value["routes"].as_array_mut().unwrap().push(route);
    value
}

impl Operator {
    fn run(mut self, is_over: &AtomicBool) -> Newest {
        while !is_over.load(Ordering::Relaxed) {
            match self.random.random_range(0..10) {
                0..4 => self.change(is_over),
                4 => self.send_invalid(),
                _ => self.read(),
            }
            let pause = self.random.random_range(20..400);
            std::thread::sleep(Duration::from_millis(pause));
        }
        self.newest
    }

    fn control(&mut self) -> SocketAddr {
        self.controls[self.random.random_range(0..self.controls.len())]
    }

    fn change(&mut self, is_over: &AtomicBool) {
        let number = self.newest.sent + self.random.random_range(1..4);
        let value = marked(number);
        let text = value.to_string();
        self.newest.sent = number;
        self.documents.insert(number, value);
        for _ in 0..RESENDS {
            match put_document(self.control(), &text).map(|answer| answer.status) {
                Ok(200) => {
                    self.newest.acknowledged = number;
                    self.verdicts.answered("change", 200);
                    return;
                }
                Ok(status) if status >= 500 || status == 429 || status == 408 => {
                    self.verdicts.answered("change", status);
                }
                Ok(status) => {
                    self.verdicts.broken(format!("document {number} was refused with {status}"));
                    return;
                }
                Err(_) => self.verdicts.answered("change", 0),
            }
            if is_over.load(Ordering::Relaxed) {
                return;
            }
            std::thread::sleep(Duration::from_millis(150));
        }
    }

    fn send_invalid(&mut self) {
        let mut value = marked(self.newest.sent + 1_000_000);
        value["routes"][0]["timeout-ms"] = 0.into();
        if let Ok(answer) = put_document(self.control(), &value.to_string()) {
            let is_taken = answer.status == 200;
            self.verdicts.check(!is_taken, || "an invalid document was acknowledged".to_string());
        }
    }

    fn read(&mut self) {
        let before = self.newest.acknowledged;
        let control = self.control();
        let Ok(answer) = exchange_within(control, "GET", "/v1/configuration", &[], "", 2) else {
            return;
        };
        self.verdicts.answered("read", answer.status);
        if answer.status != 200 || !answer.is_whole {
            return;
        }
        let Ok(value) = serde_json::from_slice::<Value>(&answer.body) else {
            self.verdicts.broken(format!("{control} gave an unreadable document"));
            return;
        };
        let number = value["version"].as_u64().unwrap_or_default();
        let is_recent = number >= before;
        self.verdicts.check(is_recent, || format!("{control} read {number} after {before}"));
        let is_known = number == FIRST_DOCUMENT || self.documents.get(&number) == Some(&value);
        self.verdicts.check(is_known, || format!("{control} read {number} with other content"));
    }
}
