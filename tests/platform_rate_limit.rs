//! End-to-end tests of upstreams that name the rate of requests that they take from all instances
//! together.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use support::machines::{Machine, Machines, document};
use support::platform_calls::{call_with_prompt, call_within};
use support::wait_for;
use support::worker::Worker;
use test_case::test_case;

/// Time after the first answer that names a limit from which the limit has to hold.
const CONTACT: Duration = Duration::from_millis(3000);

/// Length of the time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Number of callers, fewer than the slots of one engine, so that another engine can serve them all.
const CALLERS: usize = 6;

/// Returns the number of requests that an upstream with a limit may get in [`WINDOW`].
fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Returns the greatest number of requests that arrived from `start` to `end` within [`WINDOW`].
fn most_in_window(arrivals: &[Instant], start: Instant, end: Instant) -> usize {
    let counted: Vec<&Instant> = arrivals.iter().filter(|at| (start..end).contains(at)).collect();
    let count = |first: &&Instant| {
        counted.iter().filter(|at| **at >= *first && ***at < **first + WINDOW).count()
    };
    counted.iter().map(count).max().unwrap_or(0)
}

struct Deployment {
    machines: Machines,
    engines: Vec<Worker>,
}

impl Deployment {
    /// Starts three control instances, and entry instances in three data centres.
    fn start(entries: u8, engines: usize) -> Self {
        let mut number = 0;
        let machines = Machines::start_with_setup(3, entries, |machine| {
            machine.data_centre = ["giza", "cairo", "delta"][number % 3].to_string();
            number += 1;
        });
        let start =
            |number| Worker::start(&format!("i-engine-{number}"), "engines", machines.seeds());
        let engines: Vec<Worker> = (1..=engines).map(start).collect();
        machines.put_document_until_acknowledged(&document(7));
        machines.wait_ready(7);
        for entry in &machines.entries {
            wait_for("arrival of the upstreams at an entry instance", || {
                (entry.events("upstream").len() >= engines.len()).then_some(())
            });
        }
        Self { machines, engines }
    }

    fn callers(&self) -> Vec<SocketAddr> {
        self.machines.entries.iter().map(Machine::callers).collect()
    }

    fn name_limit(&self, engine: usize, limit: &str) {
        self.engines[engine].set_extra_headers(&[("server-limit", limit)]);
    }
}

/// An answer to a caller.
struct Sample {
    is_served: bool,
    status: u16,
    took: Duration,
}

/// Callers that send one request after the other until this is dropped.
struct Traffic {
    is_stopped: Arc<AtomicBool>,
    samples: Arc<Mutex<Vec<Sample>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    fn start(entries: &[SocketAddr]) -> Self {
        let (is_stopped, samples) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let caller = |caller: usize| {
            let (entries, is_stopped): (Vec<SocketAddr>, _) =
                (entries.to_vec(), is_stopped.clone());
            let samples: Arc<Mutex<Vec<Sample>>> = Arc::clone(&samples);
            std::thread::spawn(move || {
                for number in 0.. {
                    if is_stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("r-{caller}-{number}");
                    let path = if number % 2 == 0 { "/captions/1" } else { "/reports/1" };
                    let started_at = Instant::now();
                    // Each engine is preferred by some of the prompts.
                    let prompt = format!("aa:100,50{}:50,cc:10", (caller * 31 + number) % 97);
                    let entry = entries[(caller + number) % entries.len()];
                    let answer = call_with_prompt(entry, path, &id, &prompt).unwrap();
                    let is_served = answer.status == 200 && answer.is_complete;
                    let took = started_at.elapsed();
                    samples.lock().unwrap().push(Sample { is_served, status: answer.status, took });
                    if !is_served {
                        std::thread::sleep(Duration::from_millis(50));
                    }
                }
            })
        };
        let threads = (0..CALLERS).map(caller).collect();
        Self { is_stopped, samples, threads }
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Guards against instances that each keep a limit for themselves, and together exceed it.
#[test_case(6; "shares in a small fleet")]
#[test_case(18; "grants in a large fleet")]
fn an_upstream_gets_no_more_requests_from_all_instances_than_it_says_that_it_takes(entries: u8) {
    let deployment = Deployment::start(entries, 3);
    let limits = [4.0, 0.4];
    for (engine, limit) in limits.iter().enumerate() {
        deployment.name_limit(engine, &limit.to_string());
    }
    let traffic = Traffic::start(&deployment.callers());
    let named_at = Instant::now();
    std::thread::sleep(CONTACT + WINDOW + Duration::from_secs(3));
    let end = Instant::now();
    for (engine, limit) in limits.iter().enumerate() {
        let arrivals = deployment.engines[engine].arrivals();
        let most = most_in_window(&arrivals, named_at + CONTACT, end);
        let seconds = (end - named_at - CONTACT).as_secs_f64();
        let later = arrivals.iter().filter(|at| **at >= named_at + CONTACT).count();
        println!("limit {limit}: {:.2} a second", later as f64 / seconds);
        assert!(most <= allowed(*limit), "limit {limit}: {most} requests in {WINDOW:?}");
    }
    let samples = traffic.samples.lock().unwrap();
    let served = samples.iter().filter(|sample| sample.is_served).count();
    assert!(served * 10 >= samples.len() * 9, "{served} of {} were served", samples.len());
    drop(samples);
    // The limit rises and ends with the answers that say so.
    deployment.engines[0].set_extra_headers(&[]);
    deployment.name_limit(1, "8");
    let changed_at = Instant::now();
    std::thread::sleep(CONTACT + WINDOW);
    let end = Instant::now();
    let counts: Vec<usize> = deployment
        .engines
        .iter()
        .map(|engine| most_in_window(&engine.arrivals(), changed_at + CONTACT, end))
        .collect();
    assert!(counts[0] > allowed(limits[0]), "the limit did not end: {counts:?}");
    assert!(counts[1] > allowed(limits[1]), "the limit did not rise: {counts:?}");
    assert!(counts[1] <= allowed(8.0), "{counts:?}");
}

/// Guards against an instance that restarts and sends as if there were no limit.
#[test]
fn a_limit_holds_while_an_entry_instance_restarts() {
    let mut deployment = Deployment::start(6, 2);
    deployment.name_limit(0, "3");
    let _traffic = Traffic::start(&deployment.callers()[1..]);
    let named_at = Instant::now();
    std::thread::sleep(CONTACT);
    deployment.machines.entries[0].kill();
    std::thread::sleep(Duration::from_secs(1));
    deployment.machines.entries[0].start();
    std::thread::sleep(WINDOW + Duration::from_secs(1));
    let arrivals = deployment.engines[0].arrivals();
    let most = most_in_window(&arrivals, named_at + CONTACT, Instant::now());
    assert!(most <= allowed(3.0), "{most} requests in {WINDOW:?}");
}

#[test]
fn requests_beyond_the_limits_of_all_upstreams_are_refused_at_once_and_told_when_to_return() {
    let deployment = Deployment::start(6, 1);
    deployment.name_limit(0, "5");
    let traffic = Traffic::start(&deployment.callers());
    std::thread::sleep(CONTACT);
    traffic.samples.lock().unwrap().clear();
    std::thread::sleep(WINDOW);
    let samples = traffic.samples.lock().unwrap();
    let refused = samples.iter().filter(|sample| sample.status == 503).count();
    let served = samples.iter().filter(|sample| sample.is_served).count();
    assert!(refused > 0 && served > 0, "{refused} refused, {served} served");
    for entry in &deployment.machines.entries {
        for line in entry.events("refused") {
            // An eighth of the latency objective of the route, and the time for one event loop turn.
            assert!(line["after_ms"].as_u64().unwrap() < 125, "{line}");
            assert_eq!(line["verdict"], "not-run", "{line}");
            assert!(line["retry_after_ms"].as_u64().is_some(), "{line}");
        }
    }
    let slow = samples.iter().filter(|sample| !sample.is_served && sample.took > CONTACT);
    assert_eq!(slow.count(), 0);
}

#[test]
fn a_limit_that_is_no_number_is_logged_once_and_ignored() {
    let deployment = Deployment::start(6, 1);
    for odd in ["many", "-3", "1e99", "NaN", ""] {
        deployment.name_limit(0, odd);
        for (number, entry) in deployment.callers().into_iter().enumerate() {
            let answer = call_within(entry, "/captions/1", &format!("odd-{odd}-{number}"), "3000");
            assert_eq!((answer.status, answer.is_complete), (200, true), "{odd}");
        }
    }
    for entry in &deployment.machines.entries {
        let lines = entry.log_text();
        let warnings = lines.lines().filter(|line| line.contains("requests per second"));
        assert_eq!(warnings.count(), 1, "{lines}");
    }
}
