//! Checks the load bound by the engines' own counts while owners are killed, frozen or shut down,
//! and while engines join and are killed.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::{
    Callers, Fleet, Plan, SHORT_WORD_INTERVAL, add_engine, check_bound, owner, wait_for,
};

fn start_fleet(engine_count: usize) -> Fleet {
    let mut fleet = Fleet::start_plan(Plan::new(&["giza", "giza", "giza"]).with_proxies());
    for index in 0..engine_count {
        add_engine(&mut fleet, &format!("engine-{index}"), "giza", SHORT_WORD_INTERVAL);
    }
    fleet
}

/// Returns the addresses of all instances for callers, and the addresses of all engines.
fn caller_and_engine_addresses(fleet: &Fleet) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let callers = fleet.instances.iter().map(|instance| instance.addresses.callers).collect();
    (callers, fleet.upstreams.iter().map(|upstream| upstream.address).collect())
}

#[test]
fn engines_stay_within_the_load_bound_while_an_owner_is_killed_and_restarted() {
    let mut fleet = start_fleet(4);
    let (instances, engines) = caller_and_engine_addresses(&fleet);
    let callers = Callers::start(&instances, SHORT_WORD_INTERVAL);
    let steady = check_bound(&engines, 4, Duration::from_secs(3));
    let owner = owner(&fleet, "engine-0");
    fleet.kill(owner);
    let killed = check_bound(&engines, 4, Duration::from_secs(8));
    fleet.restart(owner);
    let restarted = check_bound(&engines, 4, Duration::from_secs(5));
    let (answered, interrupted) = callers.stop();
    println!(
        "samples and highest load: steady {steady:?}, killed {killed:?}, restarted {restarted:?}"
    );
    println!("{answered} answered, {interrupted} interrupted");
    assert!(answered > 100, "{answered}");
}

#[test]
fn engines_stay_within_the_load_bound_while_an_owner_is_frozen() {
    let fleet = start_fleet(4);
    let (instances, engines) = caller_and_engine_addresses(&fleet);
    let owner = owner(&fleet, "engine-0");
    let others: Vec<_> =
        instances.iter().copied().filter(|address| *address != instances[owner]).collect();
    let callers = Callers::start(&others, SHORT_WORD_INTERVAL);
    check_bound(&engines, 4, Duration::from_secs(2));
    fleet.instances[owner].process.signal("STOP");
    let frozen = check_bound(&engines, 4, Duration::from_secs(6));
    fleet.instances[owner].process.signal("CONT");
    let resumed = check_bound(&engines, 4, Duration::from_secs(4));
    let (answered, interrupted) = callers.stop();
    println!(
        "frozen {frozen:?}, resumed {resumed:?}; {answered} answered, {interrupted} interrupted"
    );
    assert_eq!(interrupted, 0);
}

#[test]
fn engines_stay_within_the_load_bound_while_engines_join_and_are_killed() {
    let mut fleet = start_fleet(3);
    let (instances, engines) = caller_and_engine_addresses(&fleet);
    let callers = Callers::start(&instances, SHORT_WORD_INTERVAL);
    check_bound(&engines, 3, Duration::from_secs(2));
    add_engine(&mut fleet, "engine-3", "giza", SHORT_WORD_INTERVAL);
    let engines = caller_and_engine_addresses(&fleet).1;
    std::thread::sleep(Duration::from_secs(2));
    let joined = check_bound(&engines, 4, Duration::from_secs(3));
    fleet.upstreams[3].process.kill();
    let remaining = check_bound(&engines[..3], 3, Duration::from_secs(5));
    let (answered, interrupted) = callers.stop();
    println!(
        "joined {joined:?}, killed {remaining:?}; {answered} answered, {interrupted} interrupted"
    );
    assert_eq!(interrupted, 0, "streams of a killed engine were not resumed at another engine");
}

#[test]
fn a_graceful_shutdown_under_load_interrupts_no_answer() {
    let mut fleet = start_fleet(3);
    let (instances, engines) = caller_and_engine_addresses(&fleet);
    let callers = Callers::start(&instances, SHORT_WORD_INTERVAL);
    check_bound(&engines, 3, Duration::from_secs(2));
    let owner = owner(&fleet, "engine-0");
    fleet.instances[owner].process.signal("TERM");
    check_bound(&engines, 3, Duration::from_secs(1));
    assert_eq!(fleet.instances[owner].process.wait(), Some(0));
    wait_for("answered calls after the shutdown", || {
        let before = callers.answered.load(Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(500));
        (callers.answered.load(Ordering::Relaxed) > before).then_some(())
    });
    let (answered, interrupted) = callers.stop();
    println!("{answered} answered, {interrupted} interrupted");
    assert_eq!(interrupted, 0);
}
