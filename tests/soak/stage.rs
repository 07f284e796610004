//! The fleet of a soak, and what is checked once the faults are over.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::operators::{Newest, marked};
use crate::support::machines::{KEY, Machine, Machines, newest_number, put_document};
use crate::support::worker::{Exchange, Run, Worker, exchange_within, whole_stream};
use crate::support::{Proxy, wait_for};
use crate::verdicts::Verdicts;

/// The document that is in force when callers come.
pub const FIRST_DOCUMENT: u64 = 5;

/// In which time the fleet serves again once all faults are over.
const RECOVERY: Duration = Duration::from_secs(12);

/// In which time an acknowledged document is in force, and a draining upstream gets no new work.
const APPLY: Duration = Duration::from_secs(2);
const DRAIN: Duration = Duration::from_secs(2);

/// In which time a stopping process ends.
const GRACE: Duration = Duration::from_secs(8);

const CONTROLS: u8 = 3;
const ENTRIES: u8 = 4;
const SERVICES: [(&str, usize); 2] = [("engines", 4), ("shop", 3)];

/// An upstream behind its proxy.
pub struct Upstream {
    pub service: &'static str,
    /// None once it has crashed.
    pub worker: Option<Worker>,
    pub proxy: Proxy,
}

/// All processes and upstreams.
pub struct Stage {
    pub machines: Machines,
    /// The proxies of each process, control instances first.
    pub proxies: Vec<Vec<Proxy>>,
    pub upstreams: Vec<Upstream>,
    /// Runs of upstreams that are gone.
    past: Vec<Run>,
    started: usize,
}

/// The result of a call within two seconds.
fn call(address: SocketAddr, path: &str, id: &str) -> Option<Exchange> {
    let key = format!("Token {KEY}");
    let headers =
        [("Request-Id", id), ("Authorization", key.as_str()), ("Deadline-Remaining", "2000")];
    exchange_within(address, "POST", path, &headers, "", 3).ok()
}

impl Stage {
    pub fn start() -> Self {
        let mut proxies = Vec::new();
        let hide = |machine: &mut Machine| proxies.push(machine.hide());
        let machines = Machines::start_prepared(CONTROLS, ENTRIES, hide);
        let mut stage =
            Self { machines, proxies, upstreams: Vec::new(), past: Vec::new(), started: 0 };
        for (service, count) in SERVICES {
            for _ in 0..count {
                let upstream = stage.upstream(service);
                stage.upstreams.push(upstream);
            }
        }
        stage.machines.declare(&marked(FIRST_DOCUMENT));
        stage.machines.await_ready(FIRST_DOCUMENT);
        stage
    }

    fn upstream(&mut self, service: &'static str) -> Upstream {
        self.started += 1;
        let name = format!("i-{service}-{}", self.started);
        let mut proxy = None;
        let worker = Worker::start_behind(&name, service, self.machines.seeds(), |address| {
            let started = proxy.insert(Proxy::start(address));
            started.address()
        });
        Upstream { service, worker: Some(worker), proxy: proxy.unwrap() }
    }

    /// Ends an upstream without a word.
    pub fn crash(&mut self, index: usize) {
        if let Some(worker) = self.upstreams[index].worker.take() {
            worker.crash();
            self.past.extend(worker.runs());
        }
        self.upstreams[index].proxy.reset();
    }

    /// Starts another upstream in place of one that has crashed.
    pub fn replace(&mut self, index: usize) {
        self.crash(index);
        self.upstreams[index] = self.upstream(self.upstreams[index].service);
    }

    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.machines.entries.iter().map(Machine::callers).collect()
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.machines.controls.iter().map(Machine::control).collect()
    }

    /// How many processes there are; control instances come first.
    pub fn processes(&self) -> usize {
        self.machines.controls.len() + self.machines.entries.len()
    }

    pub fn machine(&mut self, process: usize) -> &mut Machine {
        let controls = self.machines.controls.len();
        match process < controls {
            true => &mut self.machines.controls[process],
            false => &mut self.machines.entries[process - controls],
        }
    }

    /// Starts a process that has ended.
    pub fn start_again(&mut self, process: usize) {
        let seeds = self.machines.seeds();
        let machine = self.machine(process);
        machine.write_settings(&seeds, false);
        machine.start();
    }

    /// Checks that every entry instance answers each kind of work whole again, in time.
    pub fn check_recovery(&self, verdicts: &Verdicts) {
        let began = Instant::now();
        for (number, address) in self.entry_addresses().into_iter().enumerate() {
            for path in ["/captions/1", "/bookings/1", "/albums/1"] {
                let mut tries = 0;
                wait_for("an answer after the faults", || {
                    tries += 1;
                    let id = format!("after-{number}-{tries}-{}", path.len());
                    call(address, path, &id).filter(|one| one.status == 200 && one.is_whole)
                });
            }
        }
        let took = began.elapsed();
        verdicts.check(took < RECOVERY, || format!("served again only after {took:?}"));
    }

    /// Checks that what was acknowledged is there, and that a change is in force everywhere in time.
    pub fn check_documents(&self, newest: &Newest, verdicts: &Verdicts) {
        for address in self.control_addresses() {
            let number = wait_for("a read of the document", || newest_number(address));
            let is_kept = (newest.acknowledged..=newest.sent).contains(&number);
            verdicts.check(is_kept, || {
                format!("{address} has {number}, acknowledged was {}", newest.acknowledged)
            });
        }
        let number = newest.sent + 1;
        let text = marked(number).to_string();
        let address = self.control_addresses()[0];
        wait_for("an acknowledgement after the faults", || {
            put_document(address, &text).ok().filter(|answer| answer.status == 200)
        });
        std::thread::sleep(APPLY);
        for address in self.entry_addresses() {
            let status = |path: &str| call(address, path, "mark").map(|answer| answer.status);
            let new = status(&format!("/mark-{number}/1"));
            verdicts.check(new == Some(200), || format!("{address}: {new:?} on a new route"));
            let old = status(&format!("/mark-{}/1", newest.acknowledged));
            verdicts.check(old == Some(404), || format!("{address}: {old:?} on a dropped route"));
        }
    }

    fn runs(&self) -> Vec<Run> {
        let workers = self.upstreams.iter().filter_map(|one| one.worker.as_ref());
        workers.flat_map(Worker::runs).chain(self.past.iter().cloned()).collect()
    }

    /// Checks what ran against what callers were told.
    pub fn check_runs(&self, verdicts: &Verdicts) {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for run in self.runs() {
            let expected = format!("body of {}", run.request);
            let is_ours = run.request.starts_with("after") || run.request == "mark";
            let is_right = is_ours || run.body == expected.as_bytes();
            verdicts.check(is_right, || format!("{} ran with another body", run.request));
            let is_named = run.headers.get("tenant").is_some_and(|name| name == "family");
            verdicts.check(is_named, || format!("{} ran for another account", run.request));
            let is_hidden = !run.headers.contains_key("authorization");
            verdicts.check(is_hidden, || format!("{} was shown its key", run.request));
            *counts.entry(run.request).or_default() += 1;
        }
        for (request, count) in &counts {
            let is_once = request.starts_with("booking") || request.starts_with("report");
            verdicts.check(!is_once || *count == 1, || format!("{request} ran {count} times"));
        }
        for request in verdicts.all_not_run() {
            let has_run = counts.contains_key(&request);
            verdicts
                .check(!has_run, || format!("{request} ran, and its caller was told it did not"));
        }
    }

    /// Checks that an upstream that drains gets no new work, and ends what it has.
    pub fn check_drain(&mut self, verdicts: &Verdicts) {
        self.upstreams.iter().for_each(|one| one.proxy.reset());
        let worker = self.upstreams[0].worker.as_ref().unwrap();
        wait_for("the acknowledgement of a drain", || worker.drain().then_some(()));
        std::thread::sleep(DRAIN);
        let before = worker.runs().len();
        for (number, address) in self.entry_addresses().into_iter().enumerate() {
            for round in 0..8 {
                call(address, "/captions/1", &format!("after-drain-{number}-{round}"));
            }
        }
        let after = worker.runs().len();
        verdicts.check(after == before, || format!("{} runs after a drain", after - before));
    }

    /// Checks that a planned stop cuts no stream, and ends in time.
    pub fn check_planned_stop(&mut self, verdicts: &Verdicts) {
        let entry = self.entry_addresses()[0];
        let running = std::thread::spawn(move || call(entry, "/reports/1", "after-stop"));
        std::thread::sleep(Duration::from_millis(60));
        let machine = &mut self.machines.entries[0];
        machine.process().signal("TERM");
        let began = Instant::now();
        let answer = running.join().unwrap();
        let is_whole = answer.is_some_and(|one| one.text() == whole_stream("after-stop"));
        verdicts.check(is_whole, || "a planned stop cut a stream".to_string());
        let code = machine.process().wait();
        let took = began.elapsed();
        verdicts.check(code == Some(0), || format!("a planned stop ended with {code:?}"));
        verdicts.check(took < GRACE, || format!("a planned stop took {took:?}"));
    }

    /// Copies the logs to where they outlive the test.
    pub fn keep_logs(&self) -> PathBuf {
        let folder = tempfile::tempdir().unwrap().keep();
        for machine in self.machines.controls.iter().chain(&self.machines.entries) {
            std::fs::copy(machine.log(), folder.join(machine.ip.to_string())).unwrap();
        }
        folder
    }
}
