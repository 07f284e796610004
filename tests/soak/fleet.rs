//! The fleet under test, and the checks that run once all faults are undone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::operators::{DocumentNumbers, document_with_marker};
use crate::recorder::Recorder;
use crate::support::machines::{KEY, Machine, Machines, newest_number, put_document};
use crate::support::worker::{
    ExecutedRequest, HttpResponse, Worker, complete_stream, send_request_with_timeout,
};
use crate::support::{Proxy, wait_for};

/// Number of the document that is in force when the callers start.
pub const FIRST_DOCUMENT: u64 = 5;

/// Limit on the time until the fleet serves again once all faults are undone.
const MAX_RECOVERY: Duration = Duration::from_secs(12);

/// Time after which an acknowledged document is in force at every entry instance.
const APPLY_DELAY: Duration = Duration::from_secs(2);

/// Time after which a draining upstream gets no new requests.
const DRAIN_DELAY: Duration = Duration::from_secs(2);

/// Limit on the duration of a graceful shutdown.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(8);

const CONTROL_COUNT: u8 = 3;
const ENTRY_COUNT: u8 = 4;
/// Services and their number of upstreams.
const SERVICES: [(&str, usize); 2] = [("engines", 4), ("shop", 3)];

/// An upstream behind its proxy.
pub struct Upstream {
    pub service: &'static str,
    /// The running upstream, or `None` once it has crashed.
    pub worker: Option<Worker>,
    pub proxy: Proxy,
}

/// All instances and upstreams, each behind proxies.
pub struct TestFleet {
    pub machines: Machines,
    /// Proxies of each process, control instances first.
    pub proxies: Vec<Vec<Proxy>>,
    pub upstreams: Vec<Upstream>,
    /// Requests that upstreams executed before they crashed.
    past_requests: Vec<ExecutedRequest>,
    /// Number of upstreams started so far; makes their names unique.
    started_count: usize,
}

/// Sends a request with a deadline of 2 s; returns `None` if no response arrives.
fn call(address: SocketAddr, path: &str, id: &str) -> Option<HttpResponse> {
    let key = format!("Token {KEY}");
    let headers =
        [("Request-Id", id), ("Authorization", key.as_str()), ("Deadline-Remaining", "2000")];
    send_request_with_timeout(address, "POST", path, &headers, "", 3).ok()
}

impl TestFleet {
    /// Starts the fleet and waits until the first document is in force and all entry instances are
    /// ready.
    pub fn start() -> Self {
        let mut proxies = Vec::new();
        let install_proxies = |machine: &mut Machine| proxies.push(machine.listen_behind_proxies());
        let machines = Machines::start_with_setup(CONTROL_COUNT, ENTRY_COUNT, install_proxies);
        let mut fleet = Self {
            machines,
            proxies,
            upstreams: Vec::new(),
            past_requests: Vec::new(),
            started_count: 0,
        };
        for (service, count) in SERVICES {
            for _ in 0..count {
                let upstream = fleet.start_upstream(service);
                fleet.upstreams.push(upstream);
            }
        }
        fleet.machines.put_document_until_acknowledged(&document_with_marker(FIRST_DOCUMENT));
        fleet.machines.wait_ready(FIRST_DOCUMENT);
        fleet
    }

    fn start_upstream(&mut self, service: &'static str) -> Upstream {
        self.started_count += 1;
        let name = format!("i-{service}-{}", self.started_count);
        let mut proxy = None;
        let worker = Worker::start_advertising(&name, service, self.machines.seeds(), |address| {
            let started_proxy = proxy.insert(Proxy::start(address));
            started_proxy.address()
        });
        Upstream { service, worker: Some(worker), proxy: proxy.unwrap() }
    }

    /// Ends an upstream without a drain and closes its connections.
    pub fn crash(&mut self, index: usize) {
        if let Some(worker) = self.upstreams[index].worker.take() {
            worker.crash();
            self.past_requests.extend(worker.executed_requests());
        }
        self.upstreams[index].proxy.reset();
    }

    /// Ends an upstream if it still runs, and starts another one of the same service in its place.
    pub fn replace(&mut self, index: usize) {
        self.crash(index);
        self.upstreams[index] = self.start_upstream(self.upstreams[index].service);
    }

    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.machines.entries.iter().map(Machine::callers).collect()
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.machines.controls.iter().map(Machine::control).collect()
    }

    /// Returns the number of processes. Indexes of control instances come first.
    pub fn process_count(&self) -> usize {
        self.machines.controls.len() + self.machines.entries.len()
    }

    /// Returns the instance with this process index.
    pub fn machine(&mut self, process: usize) -> &mut Machine {
        let controls = self.machines.controls.len();
        match process < controls {
            true => &mut self.machines.controls[process],
            false => &mut self.machines.entries[process - controls],
        }
    }

    /// Starts a process that has ended.
    pub fn restart(&mut self, process: usize) {
        let seeds = self.machines.seeds();
        let machine = self.machine(process);
        machine.write_settings(&seeds, false);
        machine.start();
    }

    /// Checks that every entry instance completely answers requests of each kind within
    /// [`MAX_RECOVERY`].
    pub fn check_recovery(&self, recorder: &Recorder) {
        let start = Instant::now();
        for (number, address) in self.entry_addresses().into_iter().enumerate() {
            for path in ["/captions/1", "/bookings/1", "/albums/1"] {
                let mut attempts = 0;
                wait_for("a complete answer after the faults", || {
                    attempts += 1;
                    let id = format!("after-{number}-{attempts}-{}", path.len());
                    call(address, path, &id)
                        .filter(|answer| answer.status == 200 && answer.is_complete)
                });
            }
        }
        let elapsed = start.elapsed();
        recorder.check(elapsed < MAX_RECOVERY, || format!("recovery took {elapsed:?}"));
    }

    /// Checks that no acknowledged document is lost, and that a further change is in force at every
    /// entry instance after [`APPLY_DELAY`].
    pub fn check_documents(&self, numbers: &DocumentNumbers, recorder: &Recorder) {
        for address in self.control_addresses() {
            let number = wait_for("a read of the document", || newest_number(address));
            let is_kept = (numbers.acknowledged..=numbers.sent).contains(&number);
            recorder.check(is_kept, || {
                format!(
                    "{address} has document {number}; {} was acknowledged",
                    numbers.acknowledged
                )
            });
        }
        let number = numbers.sent + 1;
        let text = document_with_marker(number).to_string();
        let address = self.control_addresses()[0];
        wait_for("an acknowledgement after the faults", || {
            put_document(address, &text).ok().filter(|answer| answer.status == 200)
        });
        std::thread::sleep(APPLY_DELAY);
        for address in self.entry_addresses() {
            let status = |path: &str| call(address, path, "mark").map(|answer| answer.status);
            let new = status(&format!("/mark-{number}/1"));
            recorder.check(new == Some(200), || format!("{address}: {new:?} on an added route"));
            let old = status(&format!("/mark-{}/1", numbers.acknowledged));
            recorder.check(old == Some(404), || format!("{address}: {old:?} on a removed route"));
        }
    }

    fn executed_requests(&self) -> Vec<ExecutedRequest> {
        let workers = self.upstreams.iter().filter_map(|upstream| upstream.worker.as_ref());
        workers
            .flat_map(Worker::executed_requests)
            .chain(self.past_requests.iter().cloned())
            .collect()
    }

    /// Checks the executed requests: each carries the body and the account of its caller and not
    /// the API key, work that may run at most once ran once, and nothing ran that was reported to
    /// its caller as not executed. The requests that the checks themselves send have no body.
    pub fn check_executed_requests(&self, recorder: &Recorder) {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for run in self.executed_requests() {
            let expected = format!("body of {}", run.request);
            let is_probe = run.request.starts_with("after") || run.request == "mark";
            let has_expected_body = is_probe || run.body == expected.as_bytes();
            recorder.check(has_expected_body, || format!("{} ran with a wrong body", run.request));
            let has_account = run.headers.get("tenant").is_some_and(|name| name == "family");
            recorder.check(has_account, || format!("{} ran for a wrong account", run.request));
            let has_no_key = !run.headers.contains_key("authorization");
            recorder.check(has_no_key, || format!("{} ran with its API key", run.request));
            *counts.entry(run.request).or_default() += 1;
        }
        for (id, count) in &counts {
            let is_at_most_once = id.starts_with("booking") || id.starts_with("report");
            recorder.check(!is_at_most_once || *count == 1, || format!("{id} ran {count} times"));
        }
        for request in recorder.requests_not_run() {
            let was_executed = counts.contains_key(&request);
            recorder.check(!was_executed, || format!("{request} ran and was reported as not run"));
        }
    }

    /// Checks that a draining upstream gets no new requests once its drain has been acknowledged.
    pub fn check_drain(&mut self, recorder: &Recorder) {
        self.upstreams.iter().for_each(|upstream| upstream.proxy.reset());
        let worker = self.upstreams[0].worker.as_ref().unwrap();
        wait_for("the acknowledgement of a drain", || worker.drain().then_some(()));
        std::thread::sleep(DRAIN_DELAY);
        let before = worker.executed_requests().len();
        for (number, address) in self.entry_addresses().into_iter().enumerate() {
            for attempt in 0..8 {
                call(address, "/captions/1", &format!("after-drain-{number}-{attempt}"));
            }
        }
        let after = worker.executed_requests().len();
        recorder.check(after == before, || format!("{} runs after a drain", after - before));
    }

    /// Checks that a graceful shutdown cuts no stream and ends within [`SHUTDOWN_LIMIT`].
    pub fn check_graceful_shutdown(&mut self, recorder: &Recorder) {
        let entry = self.entry_addresses()[0];
        let running = std::thread::spawn(move || call(entry, "/reports/1", "after-stop"));
        std::thread::sleep(Duration::from_millis(60));
        let machine = &mut self.machines.entries[0];
        machine.process().signal("TERM");
        let start = Instant::now();
        let answer = running.join().unwrap();
        let is_complete =
            answer.is_some_and(|answer| answer.text() == complete_stream("after-stop"));
        recorder.check(is_complete, || "a graceful shutdown cut a stream".to_string());
        let code = machine.process().wait();
        let elapsed = start.elapsed();
        recorder.check(code == Some(0), || format!("a graceful shutdown ended with {code:?}"));
        recorder
            .check(elapsed < SHUTDOWN_LIMIT, || format!("a graceful shutdown took {elapsed:?}"));
    }

    /// Copies the logs to a folder that is not deleted when the test ends; returns its path.
    pub fn copy_logs(&self) -> PathBuf {
        let folder = tempfile::tempdir().unwrap().keep();
        for machine in self.machines.controls.iter().chain(&self.machines.entries) {
            std::fs::copy(machine.log(), folder.join(machine.ip.to_string())).unwrap();
        }
        folder
    }
}
