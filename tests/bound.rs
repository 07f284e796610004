//! The load bound and ownership, from the engines' own view, under churn of real processes.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::Value;
use support::{Fleet, Plan, chat, expected_answer, get, post, streamed_text, wait_for};

const CHAT: &str = "/v1/chat/completions";
const CALLERS: usize = 24;
const WORDS: usize = 40;

fn fleet(engines: usize) -> Fleet {
    let mut fleet = Fleet::start_plan(Plan::new(&["giza", "giza", "giza"]).with_proxies());
    for index in 0..engines {
        add_engine(&mut fleet, index);
    }
    fleet
}

fn add_engine(fleet: &mut Fleet, index: usize) {
    let flags = ["--model", "caption-small", "--slots", "16", "--word-interval", "10ms"];
    fleet.add_upstream(&format!("engine-{index}"), "giza", &flags);
}

/// Callers that always have one call under way, each through one instance after another.
struct Callers {
    stopped: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<usize>>,
}

impl Callers {
    fn start(instances: &[SocketAddr]) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let threads = (0..CALLERS).map(|caller| {
            let (stopped, answered) = (stopped.clone(), answered.clone());
            let instances = instances.to_vec();
            std::thread::spawn(move || call(caller, &instances, &stopped, &answered))
        });
        let threads = threads.collect();
        Self { stopped, answered, threads }
    }

    /// Ends the callers; gives the number of answered calls and of those that were cut.
    fn stop(self) -> (usize, usize) {
        self.stopped.store(true, Ordering::Relaxed);
        let cut = self.threads.into_iter().map(|thread| thread.join().unwrap()).sum();
        (self.answered.load(Ordering::Relaxed), cut)
    }
}

fn call(
    caller: usize,
    instances: &[SocketAddr],
    stopped: &AtomicBool,
    answered: &AtomicUsize,
) -> usize {
    let mut cut = 0;
    for turn in 0.. {
        if stopped.load(Ordering::Relaxed) {
            break;
        }
        let address = instances[(caller + turn) % instances.len()];
        let text = format!("conversation {caller}");
        let answer = post(address, CHAT, &[], &chat(&text, WORDS, true));
        match answer {
            Ok(answer) if streamed_text(&answer.body) == Some(expected_answer(&text, WORDS)) => {
                answered.fetch_add(1, Ordering::Relaxed);
            }
            Ok(answer) if answer.verdict.as_deref() == Some("not-run") => {}
            Err(error) if error.contains("refused") => {}
            _ => cut += 1,
        }
    }
    cut
}

/// Requests that the engines have, by their own count.
fn sample(engines: &[SocketAddr]) -> Vec<u64> {
    let load = |engine: &SocketAddr| {
        let stats: Value = serde_json::from_str(&get(*engine, "/stats").ok()?).ok()?;
        Some(stats["running"].as_u64()? + stats["waiting"].as_u64()?)
    };
    engines.iter().filter_map(load).collect()
}

/// Samples for `span`; checks each against the bound over the callers' load, which is steady.
/// `serving` engines share the load. Gives the number of samples and the highest load.
fn check_bound(engines: &[SocketAddr], serving: usize, span: Duration) -> (usize, u64) {
    let limit = (1.25 * CALLERS as f64 / serving as f64).ceil() as u64;
    let (mut samples, mut highest) = (0, 0);
    let end = Instant::now() + span;
    while Instant::now() < end {
        let loads = sample(engines);
        highest = highest.max(loads.iter().copied().max().unwrap_or(0));
        let left = end.saturating_duration_since(Instant::now());
        assert!(
            highest <= limit,
            "an engine of {loads:?} carries more than {limit}, {left:?} before the end of {span:?}"
        );
        samples += 1;
        std::thread::sleep(Duration::from_millis(10));
    }
    (samples, highest)
}

fn addresses(fleet: &Fleet) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let callers = fleet.instances.iter().map(|instance| instance.addresses.callers).collect();
    (callers, fleet.upstreams.iter().map(|upstream| upstream.address).collect())
}

#[test]
fn no_engine_carries_more_than_the_bound_through_owner_kill_and_return() {
    let mut fleet = fleet(4);
    let (instances, engines) = addresses(&fleet);
    let callers = Callers::start(&instances);
    let steady = check_bound(&engines, 4, Duration::from_secs(3));
    fleet.kill(2);
    let killed = check_bound(&engines, 4, Duration::from_secs(8));
    fleet.restart(2);
    let returned = check_bound(&engines, 4, Duration::from_secs(5));
    let (answered, cut) = callers.stop();
    println!("samples and highest: steady {steady:?}, killed {killed:?}, returned {returned:?}");
    println!("{answered} answered, {cut} cut");
    assert!(answered > 100, "{answered}");
}

#[test]
fn no_engine_carries_more_than_the_bound_while_an_instance_is_frozen() {
    let fleet = fleet(4);
    let (instances, engines) = addresses(&fleet);
    let callers = Callers::start(&instances[..2]);
    check_bound(&engines, 4, Duration::from_secs(2));
    fleet.instances[2].process.signal("STOP");
    let frozen = check_bound(&engines, 4, Duration::from_secs(6));
    fleet.instances[2].process.signal("CONT");
    let awake = check_bound(&engines, 4, Duration::from_secs(4));
    let (answered, cut) = callers.stop();
    println!("frozen {frozen:?}, awake {awake:?}; {answered} answered, {cut} cut");
    assert_eq!(cut, 0);
}

#[test]
fn no_engine_carries_more_than_the_bound_as_engines_join_and_die() {
    let mut fleet = fleet(3);
    let (instances, engines) = addresses(&fleet);
    let callers = Callers::start(&instances);
    check_bound(&engines, 3, Duration::from_secs(2));
    add_engine(&mut fleet, 3);
    let engines = addresses(&fleet).1;
    std::thread::sleep(Duration::from_secs(2));
    let joined = check_bound(&engines, 4, Duration::from_secs(3));
    fleet.upstreams[3].process.kill();
    let died = check_bound(&engines[..3], 3, Duration::from_secs(5));
    let (answered, cut) = callers.stop();
    println!("joined {joined:?}, died {died:?}; {answered} answered, {cut} cut");
    assert_eq!(cut, 0, "streams of a dead engine are resumed");
}

#[test]
fn a_planned_stop_under_load_cuts_nothing() {
    let mut fleet = fleet(3);
    let (instances, engines) = addresses(&fleet);
    let callers = Callers::start(&instances);
    check_bound(&engines, 3, Duration::from_secs(2));
    fleet.instances[1].process.signal("TERM");
    check_bound(&engines, 3, Duration::from_secs(1));
    assert_eq!(fleet.instances[1].process.wait(), Some(0));
    wait_for("calls after the stop", || {
        let before = callers.answered.load(Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(500));
        (callers.answered.load(Ordering::Relaxed) > before).then_some(())
    });
    let (answered, cut) = callers.stop();
    println!("{answered} answered, {cut} cut");
    assert_eq!(cut, 0);
}
