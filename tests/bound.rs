//! The load bound and ownership, from the engines' own view, under churn of real processes.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::{Callers, FINE, Fleet, Plan, add_engine, check_bound, owner, wait_for};

fn fleet(engines: usize) -> Fleet {
    let mut fleet = Fleet::start_plan(Plan::new(&["giza", "giza", "giza"]).with_proxies());
    for index in 0..engines {
        add_engine(&mut fleet, &format!("engine-{index}"), "giza", FINE);
    }
    fleet
}

fn addresses(fleet: &Fleet) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let callers = fleet.instances.iter().map(|instance| instance.addresses.callers).collect();
    (callers, fleet.upstreams.iter().map(|upstream| upstream.address).collect())
}

#[test]
fn no_engine_carries_more_than_the_bound_through_owner_kill_and_return() {
    let mut fleet = fleet(4);
    let (instances, engines) = addresses(&fleet);
    let callers = Callers::start(&instances, FINE);
    let steady = check_bound(&engines, 4, Duration::from_secs(3));
    let owner = owner(&fleet, "engine-0");
    fleet.kill(owner);
    let killed = check_bound(&engines, 4, Duration::from_secs(8));
    fleet.restart(owner);
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
    let owner = owner(&fleet, "engine-0");
    let others: Vec<_> =
        instances.iter().copied().filter(|address| *address != instances[owner]).collect();
    let callers = Callers::start(&others, FINE);
    check_bound(&engines, 4, Duration::from_secs(2));
    fleet.instances[owner].process.signal("STOP");
    let frozen = check_bound(&engines, 4, Duration::from_secs(6));
    fleet.instances[owner].process.signal("CONT");
    let awake = check_bound(&engines, 4, Duration::from_secs(4));
    let (answered, cut) = callers.stop();
    println!("frozen {frozen:?}, awake {awake:?}; {answered} answered, {cut} cut");
    assert_eq!(cut, 0);
}

#[test]
fn no_engine_carries_more_than_the_bound_as_engines_join_and_die() {
    let mut fleet = fleet(3);
    let (instances, engines) = addresses(&fleet);
    let callers = Callers::start(&instances, FINE);
    check_bound(&engines, 3, Duration::from_secs(2));
    add_engine(&mut fleet, "engine-3", "giza", FINE);
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
    let callers = Callers::start(&instances, FINE);
    check_bound(&engines, 3, Duration::from_secs(2));
    let owner = owner(&fleet, "engine-0");
    fleet.instances[owner].process.signal("TERM");
    check_bound(&engines, 3, Duration::from_secs(1));
    assert_eq!(fleet.instances[owner].process.wait(), Some(0));
    wait_for("calls after the stop", || {
        let before = callers.answered.load(Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(500));
        (callers.answered.load(Ordering::Relaxed) > before).then_some(())
    });
    let (answered, cut) = callers.stop();
    println!("{answered} answered, {cut} cut");
    assert_eq!(cut, 0);
}
