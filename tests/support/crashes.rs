//! Upstreams that crash and return, and how requests fare meanwhile.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::machines::{Machine, Machines};
use super::worker::Worker;
use super::{get, wait_for};

/// Time within which the fleet has to know what crashes its upstreams.
pub const CONTACT: Duration = Duration::from_millis(3000);

/// Number of requests with the cause that may reach upstreams after that time.
pub const MAX_LATER_REQUESTS: usize = 3;

/// Time after a crash at which the upstream is back.
pub const RESTART_DELAY: Duration = Duration::from_millis(1500);

/// Number of entry instances.
pub const ENTRIES: u8 = 6;

/// Answer to a sound request.
#[derive(Debug, Clone)]
pub struct Sample {
    pub sent_at: Instant,
    pub is_served: bool,
}

/// Returns the share of the requests sent from `start` to `end` that were served, and their number.
pub fn served(samples: &[Sample], start: Instant, end: Instant) -> (f64, usize) {
    let chosen: Vec<&Sample> =
        samples.iter().filter(|sample| (start..end).contains(&sample.sent_at)).collect();
    let served = chosen.iter().filter(|sample| sample.is_served).count();
    (served as f64 / chosen.len().max(1) as f64, chosen.len())
}

/// Asserts that the sound requests of `share` were served at least half as often as those of `calm`.
pub fn assert_share(share: (f64, usize), calm: (f64, usize), what: &str) {
    assert!(calm.1 >= 20 && share.1 >= 20, "{what}: {calm:?} {share:?}");
    assert!(
        share.0 >= calm.0 / 2.0,
        "{what}: {:.2} of {} sound requests were served, {:.2} before the first crash",
        share.0,
        share.1,
        calm.0
    );
}

/// How an upstream returns to its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Return {
    NewName,
    SameName,
}

/// Upstreams of one service that return some time after they have crashed.
pub struct Herd {
    pub workers: Arc<Mutex<Vec<Worker>>>,
    is_stopped: Arc<AtomicBool>,
    supervisor: Option<JoinHandle<()>>,
}

impl Herd {
    /// Starts `count` upstreams; calls `setup` for each one that starts, also after a crash.
    pub fn start<F>(
        seeds: &[SocketAddr],
        service: &'static str,
        count: usize,
        returns: Return,
        setup: F,
    ) -> Self
    where
        F: Fn(&Worker) + Send + 'static,
    {
        let name = move |number: usize| format!("i-{service}-{number}");
        let start = |number| {
            let worker = Worker::start(&name(number), service, seeds.to_vec());
            setup(&worker);
            worker
        };
        let workers = Arc::new(Mutex::new((1..=count).map(start).collect::<Vec<_>>()));
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (all, is_ended, seeds) = (workers.clone(), is_stopped.clone(), seeds.to_vec());
        let supervisor = std::thread::spawn(move || {
            let mut restarted = 0;
            let mut ended: Vec<(Instant, SocketAddr, String)> = Vec::new();
            while !is_ended.load(Ordering::Relaxed) {
                for worker in all.lock().unwrap().iter() {
                    let crash = worker.crashed_at();
                    let crash = crash.map(|at| (at, worker.address(), worker.name().to_string()));
                    ended.extend(crash.filter(|crash| !ended.contains(crash)));
                }
                while let Some((at, address, former)) = ended.get(restarted)
                    && at.elapsed() > RESTART_DELAY
                {
                    restarted += 1;
                    let name = match returns {
                        Return::NewName => name(count + restarted),
                        Return::SameName => former.clone(),
                    };
                    let worker = Worker::start_at(&name, service, seeds.clone(), *address);
                    setup(&worker);
                    all.lock().unwrap().push(worker);
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        Self { workers, is_stopped, supervisor: Some(supervisor) }
    }

    /// Returns the times of the crashes, in order.
    pub fn crashes(&self) -> Vec<Instant> {
        let workers = self.workers.lock().unwrap();
        let mut times: Vec<Instant> = workers.iter().filter_map(Worker::crashed_at).collect();
        times.sort();
        times
    }
}

impl Drop for Herd {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(supervisor) = self.supervisor.take() {
            let _ = supervisor.join();
        }
    }
}

/// Starts three control instances and six entry instances in three data centres with `document`.
pub fn start_machines<F>(document: &Value, mut setup: F) -> Machines
where
    F: FnMut(&mut Machine),
{
    let mut number = 0;
    let machines = Machines::start_with_setup(3, ENTRIES, |machine| {
        machine.data_centre = ["giza", "cairo", "delta"][number % 3].to_string();
        number += 1;
        setup(machine);
    });
    machines.put_document_until_acknowledged(document);
    machines
}

/// Waits until every entry instance has the document 7 in force and knows `upstreams` upstreams.
pub fn wait_until_served(machines: &Machines, upstreams: usize) {
    machines.wait_ready(7);
    for entry in &machines.entries {
        wait_for("arrival of the upstreams at an entry instance", || {
            (entry.events("upstream").len() >= upstreams).then_some(())
        });
    }
}

/// Returns the addresses for callers of all entry instances.
pub fn callers(machines: &Machines) -> Vec<SocketAddr> {
    machines.entries.iter().map(Machine::callers).collect()
}

/// Asserts that no entry instance has refused a request as one that crashes upstreams.
pub fn assert_none_quarantined(machines: &Machines) {
    for entry in &machines.entries {
        let refusals = entry.events("refused");
        let is_other =
            |reason: &serde_json::Value| reason != "quarantined" && reason != "suspected";
        assert!(refusals.iter().all(|line| is_other(&line["reason"])), "{refusals:?}");
    }
}

/// Counts the crashes of stand-ins. One that is down keeps the count that it last told.
pub struct CrashCounter {
    upstreams: Vec<SocketAddr>,
    counts: Vec<u64>,
}

impl CrashCounter {
    pub fn new(upstreams: Vec<SocketAddr>) -> Self {
        Self { counts: vec![0; upstreams.len()], upstreams }
    }

    pub fn crashes(&mut self) -> u64 {
        for (upstream, count) in self.upstreams.iter().zip(&mut self.counts) {
            let Ok(text) = get(*upstream, "/stats") else {
                continue;
            };
            if let Ok(stats) = serde_json::from_str::<Value>(&text) {
                *count = stats["crashes"].as_u64().unwrap();
            }
        }
        self.counts.iter().sum()
    }

    /// Counts the crashes once all stand-ins have returned from theirs.
    pub fn settled(&mut self) -> u64 {
        for upstream in &self.upstreams {
            wait_for("a stand-in to return", || get(*upstream, "/stats").ok());
        }
        self.crashes()
    }
}
