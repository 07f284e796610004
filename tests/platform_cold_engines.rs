//! End-to-end tests of engines that sustain few requests per second for some time after their start,
//! and crash above that.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::json;
use support::machines::{Machine, Machines, document};
use support::platform_calls::call_with_prompt;
use support::wait_for;
use support::worker::{Behaviour, Worker, send_request};
use test_case::test_case;

const PER_SECOND: f64 = 7.9;

/// Requests that may arrive at a cold engine in a second: 1.5 times the rate, and 5.
const BOUND: usize = 16;

/// Time for which the engines of the tests are cold.
const COLD: Duration = Duration::from_secs(9);

/// Time by which an instance may take an engine as cold for longer than it is: its announcement is
/// forwarded and read.
const NEWS: Duration = Duration::from_secs(1);

/// Data centre that is evacuated.
const EVACUATED: &str = "delta";

/// Time after an evacuation in which no instance can know of a later announcement for sure.
const AFTER_EVACUATION: Duration = Duration::from_millis(1400);

const CALLERS: usize = 32;

/// Returns the greatest number of requests that arrived within a second from `start` to `end`.
fn most_in_a_second(arrivals: &[Instant], start: Instant, end: Instant) -> usize {
    let counted: Vec<&Instant> = arrivals.iter().filter(|at| (start..end).contains(at)).collect();
    let count = |first: &&Instant| {
        let window = **first..**first + Duration::from_secs(1);
        counted.iter().filter(|at| window.contains(**at)).count()
    };
    counted.iter().map(count).max().unwrap_or(0)
}

struct Deployment {
    machines: Machines,
    /// An engine that is always busy.
    warm: Worker,
}

impl Deployment {
    fn start(entries: u8, has_bounds: bool) -> Self {
        let mut number = 0;
        let machines = Machines::start_with_setup(3, entries, |machine| {
            machine.data_centre = ["giza", "cairo", "delta"][number % 3].to_string();
            machine.cold_bounds = has_bounds.then_some((1.5, 5.0));
            number += 1;
        });
        let warm = Worker::start("i-warm", "engines", machines.seeds());
        warm.set_behaviour(Behaviour::EventsEvery(60));
        let mut document = document(7);
        document["services"][0]["cold-s"] = json!(COLD.as_secs_f64());
        document["services"][0]["cold-per-s"] = json!(PER_SECOND);
        machines.put_document_until_acknowledged(&document);
        machines.wait_ready(7);
        Self { machines, warm }
    }

    fn callers(&self) -> Vec<SocketAddr> {
        self.machines.entries.iter().map(Machine::callers).collect()
    }

    /// Starts engines that are cold.
    fn start_cold(&self) -> Vec<Worker> {
        let start = |number| {
            Worker::start_cold(&format!("i-cold-{number}"), "engines", self.machines.seeds(), COLD)
        };
        (1..=2).map(start).collect()
    }
}

/// Callers that send one request after the other until this is dropped.
struct Traffic {
    is_stopped: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    fn start(entries: &[SocketAddr]) -> Self {
        let (is_stopped, served) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let caller = |caller: usize| {
            let (entries, is_stopped): (Vec<SocketAddr>, _) =
                (entries.to_vec(), is_stopped.clone());
            let served: Arc<AtomicUsize> = Arc::clone(&served);
            std::thread::spawn(move || {
                for number in 0.. {
                    if is_stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("r-{caller}-{number}");
                    let prompt = format!("aa:100,50{}:50,cc:10", (caller * 31 + number) % 97);
                    let entry = entries[(caller + number) % entries.len()];
                    // Instances that restart refuse connections.
                    let answer = call_with_prompt(entry, "/captions/1", &id, &prompt);
                    match answer.is_ok_and(|answer| answer.status == 200) {
                        true => drop(served.fetch_add(1, Ordering::Relaxed)),
                        false => std::thread::sleep(Duration::from_millis(20)),
                    }
                }
            })
        };
        let threads = (0..CALLERS).map(caller).collect();
        Self { is_stopped, served, threads }
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

/// Guards against instances that together send an engine that has just started, or that restarts of
/// instances let send it, more than it survives, and against engines that get nothing.
#[test_case(6, false; "shares in a small fleet")]
#[test_case(18, false; "grants in a large fleet")]
#[test_case(6, true; "all instances of a small fleet restart")]
#[test_case(18, true; "all instances of a large fleet restart")]
fn a_cold_engine_gets_no_more_in_any_second_than_its_bound(entries: u8, restarts: bool) {
    let mut deployment = Deployment::start(entries, true);
    let traffic = Traffic::start(&deployment.callers());
    wait_for("requests that are served", || {
        (traffic.served.load(Ordering::Relaxed) >= 40).then_some(())
    });
    let start = Instant::now();
    let cold = deployment.start_cold();
    if restarts {
        std::thread::sleep(COLD / 2);
        for entry in &mut deployment.machines.entries {
            entry.kill();
        }
        for entry in &mut deployment.machines.entries {
            entry.start();
        }
    }
    std::thread::sleep((start + COLD).saturating_duration_since(Instant::now()));
    let warm_at = Instant::now();
    for engine in &cold {
        let arrivals = engine.arrivals();
        let most = most_in_a_second(&arrivals, start, start + COLD);
        let per_second = arrivals.len() as f64 / COLD.as_secs_f64();
        println!("{entries} instances: most {most}, {per_second:.1} a second");
        assert!(most <= BOUND, "{most} requests in a second at an engine that is cold");
        assert!(per_second > 0.8, "{per_second} requests a second");
    }
    assert!(deployment.warm.arrivals().len() > 40);
    // The allowance ends with the cold time.
    wait_for("more requests at an engine that is warm", || {
        let arrivals = cold[0].arrivals();
        (most_in_a_second(&arrivals, warm_at + NEWS, Instant::now()) > BOUND).then_some(())
    });
    let lines = deployment.machines.entries[0].events("cold");
    let of_engine = lines.iter().filter(|line| line["upstream"] == "i-cold-1");
    let states: Vec<bool> = of_engine.map(|line| line["is_cold"].as_bool().unwrap()).collect();
    assert_eq!(states.first(), Some(&true), "{lines:?}");
    assert_eq!(states.last(), Some(&false), "{lines:?}");
}

/// Guards against an engine that becomes cold again while it serves and gets as many requests as before.
#[test]
fn an_engine_that_becomes_cold_again_gets_no_more_than_its_bound() {
    let deployment = Deployment::start(6, true);
    let again = Worker::start("i-again", "engines", deployment.machines.seeds());
    let traffic = Traffic::start(&deployment.callers());
    wait_for("many requests in a second", || {
        let now = Instant::now();
        let arrivals = again.arrivals();
        let from = now.checked_sub(Duration::from_secs(2)).unwrap();
        (most_in_a_second(&arrivals, from, now) > BOUND).then_some(())
    });
    let start = Instant::now();
    again.set_cold(COLD);
    std::thread::sleep(COLD);
    let arrivals = again.arrivals();
    let most = most_in_a_second(&arrivals, start + NEWS, start + COLD);
    println!("most {most}, {} served", traffic.served.load(Ordering::Relaxed));
    assert!(most <= BOUND, "{most} requests in a second");
    assert!(most > 0, "no request");
}

/// Sends an order about the evacuation of [`EVACUATED`] until it is acknowledged.
fn order(machines: &Machines, method: &str) {
    let path = format!("/v1/evacuation/{EVACUATED}");
    let mut seeds = machines.seeds().into_iter().cycle();
    wait_for("acknowledgement of an order", || {
        let answer = send_request(seeds.next()?, method, &path, &[], "").ok()?;
        (answer.status == 200).then_some(())
    });
}

/// Guards against a burst at engines that got no requests while their data centre was evacuated, and
/// may have become cold meanwhile.
#[test_case(6; "small fleet")]
#[test_case(18; "large fleet")]
fn an_engine_is_cold_after_the_evacuation_of_its_data_centre(entries: u8) {
    let deployment = Deployment::start(entries, true);
    let machines = &deployment.machines;
    let back = Worker::start_in(EVACUATED, "i-back", "engines", machines.seeds());
    let _traffic = Traffic::start(&deployment.callers());
    wait_for("requests at an engine", || (back.arrivals().len() > 40).then_some(()));
    order(machines, "POST");
    wait_for("the end of the requests at an evacuated engine", || {
        let last = back.arrivals().last().copied()?;
        (last.elapsed() > Duration::from_secs(1)).then_some(())
    });
    let start = Instant::now();
    order(machines, "DELETE");
    let end = Instant::now() + AFTER_EVACUATION;
    std::thread::sleep(AFTER_EVACUATION);
    let most = most_in_a_second(&back.arrivals(), start, end);
    println!("{entries} instances: most {most} after an evacuation");
    assert!(most <= BOUND, "{most} requests in a second after an evacuation");
    // The engine announces that it is not cold.
    wait_for("more requests at an engine that is warm", || {
        (most_in_a_second(&back.arrivals(), end, Instant::now()) > BOUND).then_some(())
    });
}

/// Guards against an allowance that applies where the settings name no bounds.
#[test]
fn without_bounds_in_the_settings_a_cold_engine_is_like_any_other() {
    let deployment = Deployment::start(6, false);
    let _traffic = Traffic::start(&deployment.callers());
    let start = Instant::now();
    let cold = deployment.start_cold();
    wait_for("many requests at an engine that is cold", || {
        let arrivals = cold[0].arrivals();
        (most_in_a_second(&arrivals, start, Instant::now()) > BOUND).then_some(())
    });
    assert!(deployment.machines.entries[0].events("cold").is_empty());
}
