//! End-to-end tests of parts of prompts that crash upstreams: the fleet stops sending requests with
//! such a part, and goes on with all others.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use support::crashes::{
    CONTACT, Herd, MAX_LATER_REQUESTS, RESTART_DELAY, Return, Sample, assert_none_quarantined,
    assert_share, callers, served, start_machines, wait_until_served,
};
use support::machines::document;
use support::platform_calls::call_with_prompt;
use support::worker::{Behaviour, Worker};
use support::{Proxy, wait_for};
use test_case::test_case;

/// Part that crashes upstreams.
const BAD: &str = "bad0bad0";

/// Another part that crashes upstreams.
const OTHER_BAD: &str = "bad1bad1";

/// Number of crashes after which the fleet has to know the cause.
const CRASHES: usize = 5;

/// Time that the requests go on after the cause has to be known.
const AFTERMATH: Duration = Duration::from_millis(6000);

const ENGINES: usize = 8;
const SOUND_CALLERS: usize = 8;

/// Interval between two requests that crash upstreams.
const BAD_INTERVAL: Duration = Duration::from_millis(150);

/// Starts engines that return under another name after they have crashed.
fn start_engines(seeds: &[SocketAddr], behaviour: Behaviour) -> Herd {
    let setup = move |worker: &Worker| worker.set_behaviour(behaviour);
    Herd::start(seeds, "engines", ENGINES, Return::NewName, setup)
}

/// Returns the times at which requests with `part` arrived, in order.
fn arrivals(engines: &Herd, part: &str) -> Vec<Instant> {
    let workers = engines.workers.lock().unwrap();
    let requests = workers.iter().flat_map(Worker::executed_requests);
    let with_part = requests
        .filter(|run| run.headers.get("prompt-prefix").is_some_and(|prompt| prompt.contains(part)));
    let mut times: Vec<Instant> = with_part.map(|run| run.at).collect();
    times.sort();
    times
}

/// Requests in progress, which go on until this is dropped.
struct Traffic {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    samples: Arc<Mutex<Vec<Sample>>>,
    /// Number of requests that crash upstreams which were refused as not run.
    refused: Arc<AtomicUsize>,
}

impl Traffic {
    /// Starts sound callers, and callers whose prompts are in turn those of `bad_prompts`. `LAST`
    /// stands for a part of the request itself.
    fn start(entries: &[SocketAddr], bad_prompts: &[&'static str]) -> Self {
        let mut traffic = Self {
            is_stopped: Arc::default(),
            threads: Vec::new(),
            samples: Arc::default(),
            refused: Arc::default(),
        };
        for caller in 0..SOUND_CALLERS {
            let (entries, is_stopped) = (entries.to_vec(), traffic.is_stopped.clone());
            let samples = traffic.samples.clone();
            traffic.threads.push(std::thread::spawn(move || {
                for number in 0.. {
                    if is_stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("sound-{caller}-{number}");
                    let prompt = format!("aa:100,50{}:50,e{caller}e{number}:10", number % 5);
                    let path = if number % 2 == 0 { "/captions/1" } else { "/reports/1" };
                    let sent_at = Instant::now();
                    let entry = entries[(caller + number) % entries.len()];
                    let answer = call_with_prompt(entry, path, &id, &prompt);
                    let is_served =
                        answer.is_ok_and(|answer| answer.status == 200 && !answer.body.is_empty());
                    samples.lock().unwrap().push(Sample { sent_at, is_served });
                }
            }));
        }
        let (entries, is_stopped) = (entries.to_vec(), traffic.is_stopped.clone());
        let (bad_prompts, refused) = (bad_prompts.to_vec(), traffic.refused.clone());
        if bad_prompts.is_empty() {
            return traffic;
        }
        traffic.threads.push(std::thread::spawn(move || {
            for number in 0.. {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let prompt = bad_prompts[number % bad_prompts.len()];
                let prompt = prompt.replace("LAST", &format!("f{number}"));
                let (entry, refused) = (entries[number % entries.len()], refused.clone());
                let path = if number % 3 == 0 { "/captions/1" } else { "/reports/1" };
                std::thread::spawn(move || {
                    let answer = call_with_prompt(entry, path, &format!("bad-{number}"), &prompt);
                    if answer.is_ok_and(|answer| answer.status == 503) {
                        refused.fetch_add(1, Ordering::Relaxed);
                    }
                });
                std::thread::sleep(BAD_INTERVAL);
            }
        }));
        traffic
    }

    /// Returns the share of sound requests sent from `start` to `end` that were served, and their
    /// number.
    fn served(&self, start: Instant, end: Instant) -> (f64, usize) {
        served(&self.samples.lock().unwrap(), start, end)
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

/// Asserts that requests with `part` no longer reach upstreams once the fleet has to know the cause.
fn assert_contained(engines: &Herd, part: &str, since: Option<Instant>) {
    let arrivals = arrivals(engines, part);
    let crashes = engines.crashes();
    if let Some(fifth) = crashes.get(CRASHES - 1) {
        let known = since.map_or(*fifth, |since| since.max(*fifth)) + CONTACT;
        let later = arrivals.iter().filter(|at| **at > known).count();
        assert!(
            later <= MAX_LATER_REQUESTS,
            "{later} requests with the part {part} reached upstreams later than {CONTACT:?} after \
             the fifth crash; {} did so in all, {} upstreams crashed",
            arrivals.len(),
            crashes.len()
        );
    }
}

/// Waits for the first crash, and then until the requests have gone on for long enough.
fn wait_for_aftermath(engines: &Herd) -> Instant {
    let first = wait_for("the first crash", || engines.crashes().first().copied());
    let deadline = first + Duration::from_secs(30);
    let known = loop {
        let crashes = engines.crashes();
        let last = crashes.iter().take(CRASHES).next_back().copied().unwrap_or(first);
        if crashes.len() >= CRASHES || last.elapsed() > CONTACT || Instant::now() > deadline {
            break last + 2 * CONTACT;
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    std::thread::sleep((known + AFTERMATH).saturating_duration_since(Instant::now()));
    known
}

fn assert_sound_requests_are_served(traffic: &Traffic, calm: (f64, usize), known: Instant) {
    let share = traffic.served(known, Instant::now() - Duration::from_secs(1));
    assert_share(share, calm, "all callers");
}

/// Returns the share of the sound requests that are served without any other requests.
fn measure_calm(callers: &[SocketAddr]) -> (f64, usize) {
    let traffic = Traffic::start(callers, &[]);
    let start = Instant::now();
    std::thread::sleep(Duration::from_millis(1500));
    traffic.served(start, start + Duration::from_secs(1))
}

#[test_case(&["aa:100,bad0bad0:50,LAST:10"], &[BAD]; "between other parts")]
#[test_case(&["bad0bad0:100,500:50,LAST:10"], &[BAD]; "as the first part")]
#[test_case(&["aa:100,bad0bad0:50,LAST:10", "aa:100,501:9,bad1bad1:50,LAST:10"], &[BAD, OTHER_BAD]; "two parts")]
fn a_part_that_crashes_upstreams_is_not_sent_to_further_ones(
    prompts: &[&'static str],
    parts: &[&str],
) {
    let machines = start_machines(&document(7), |_| {});
    // Both parts begin with the same letters, so that each engine has one behaviour for them.
    let engines = start_engines(&machines.seeds(), Behaviour::CrashOn("bad"));
    wait_until_served(&machines, ENGINES);
    let callers = callers(&machines);
    let calm = measure_calm(&callers);
    let traffic = Traffic::start(&callers, prompts);
    let known = wait_for_aftermath(&engines);
    for part in parts {
        assert_contained(&engines, part, None);
    }
    assert_sound_requests_are_served(&traffic, calm, known);
    assert!(traffic.refused.load(Ordering::Relaxed) > 0, "no request was refused as not run");
}

/// Guards against a request that is sent again and again: it crashed each of its upstreams, because
/// sound requests that shared all parts of its prompt but the last cleared these.
#[test]
fn a_request_that_crashes_upstreams_is_not_sent_to_further_ones() {
    let machines = start_machines(&document(7), |_| {});
    let engines = start_engines(&machines.seeds(), Behaviour::CrashOnLast("bad"));
    wait_until_served(&machines, ENGINES);
    let callers = callers(&machines);
    let calm = measure_calm(&callers);
    // Sound requests clear the shared part between two crashes.
    let mut prompts = ["aa:100,LAST:10"; 6];
    prompts[0] = "aa:100,bad0bad0:10";
    let traffic = Traffic::start(&callers, &prompts);
    let known = wait_for_aftermath(&engines);
    assert_contained(&engines, BAD, None);
    assert_sound_requests_are_served(&traffic, calm, known);
    assert!(traffic.refused.load(Ordering::Relaxed) > 0, "no request was refused as not run");
}

#[test]
fn a_part_that_crashes_upstreams_stays_known_when_an_entry_instance_restarts_between_crashes() {
    let mut machines = start_machines(&document(7), |_| {});
    let engines = start_engines(&machines.seeds(), Behaviour::CrashOn("bad"));
    wait_until_served(&machines, ENGINES);
    let callers = callers(&machines);
    let calm = measure_calm(&callers);
    let traffic = Traffic::start(&callers, &["aa:100,bad0bad0:50,LAST:10"]);
    wait_for("the third crash", || (engines.crashes().len() >= 3).then_some(()));
    machines.entries[2].kill();
    std::thread::sleep(Duration::from_millis(300));
    machines.entries[2].start();
    let known = wait_for_aftermath(&engines);
    assert_contained(&engines, BAD, None);
    assert_sound_requests_are_served(&traffic, calm, known);
    assert!(arrivals(&engines, BAD).len() > 2);
}

#[test]
fn a_data_centre_that_was_cut_off_learns_of_a_part_that_crashes_upstreams_when_it_returns() {
    let mut proxies: Vec<Proxy> = Vec::new();
    let mut number = 0;
    let machines = start_machines(&document(7), |machine| {
        // The last two entry instances are in the same data centre as the third one.
        if number == 5 || number == 8 {
            proxies.extend(machine.listen_behind_proxies());
        }
        number += 1;
    });
    let engines = start_engines(&machines.seeds(), Behaviour::CrashOn("bad"));
    wait_until_served(&machines, ENGINES);
    let all = callers(&machines);
    let calm = measure_calm(&all);
    let cut_off = [all[2], all[5]];
    let others: Vec<SocketAddr> =
        all.iter().copied().filter(|address| !cut_off.contains(address)).collect();
    let peers = |cut: bool| {
        // The third proxy of each instance is that of its peers' port.
        for proxy in proxies.iter().skip(2).step_by(3) {
            proxy.change(|faults| faults.is_cut = cut);
        }
    };
    peers(true);
    let traffic = Traffic::start(&others, &["aa:100,bad0bad0:50,LAST:10"]);
    wait_for_aftermath(&engines);
    drop(traffic);
    peers(false);
    let returned_at = Instant::now();
    std::thread::sleep(CONTACT);
    let traffic = Traffic::start(&all, &["aa:100,bad0bad0:50,LAST:10"]);
    std::thread::sleep(AFTERMATH);
    assert_contained(&engines, BAD, Some(returned_at));
    assert_sound_requests_are_served(&traffic, calm, returned_at + CONTACT);
}

#[test]
fn crashes_of_many_upstreams_at_once_let_no_request_be_refused_for_its_parts() {
    let machines = start_machines(&document(7), |_| {});
    let engines = start_engines(&machines.seeds(), Behaviour::Answer);
    wait_until_served(&machines, ENGINES);
    let callers = callers(&machines);
    let calm = measure_calm(&callers);
    let traffic = Traffic::start(&callers, &[]);
    for _ in 0..2 {
        std::thread::sleep(Duration::from_millis(1000));
        // Two fifths of the engines.
        let ended = engines.crashes().len();
        let workers = engines.workers.lock().unwrap();
        let running = workers.iter().filter(|worker| worker.crashed_at().is_none());
        running.take(ENGINES * 2 / 5).for_each(Worker::end);
        drop(workers);
        assert!(engines.crashes().len() > ended);
        std::thread::sleep(RESTART_DELAY * 2);
    }
    std::thread::sleep(Duration::from_millis(2000));
    assert_sound_requests_are_served(&traffic, calm, Instant::now() - Duration::from_secs(2));
    assert_none_quarantined(&machines);
}

/// Guards against upstreams that break off their answers and are taken for crashed ones.
#[test]
fn answers_that_upstreams_only_break_off_let_no_request_be_refused_for_its_parts() {
    let machines = start_machines(&document(7), |_| {});
    let engines = start_engines(&machines.seeds(), Behaviour::BreakAfter(0));
    wait_until_served(&machines, ENGINES);
    let traffic = Traffic::start(&callers(&machines), &["aa:100,bad0bad0:50,LAST:10"]);
    std::thread::sleep(Duration::from_secs(4));
    drop(traffic);
    assert!(engines.crashes().is_empty());
    let checks: Vec<_> =
        machines.entries.iter().flat_map(|entry| entry.events("broken-off")).collect();
    assert!(checks.len() >= 3, "{checks:?}");
    assert!(checks.iter().all(|line| line["listening"] == "accepts"), "{checks:?}");
    assert_none_quarantined(&machines);
}
