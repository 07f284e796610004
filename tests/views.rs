//! Tests that the load bound holds, by the engines' own counts, while membership views differ,
//! while engines and instances flap, and during a network partition between data centres under
//! load.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use support::{
    CHAT, Callers, Fleet, LONG_WORD_INTERVAL, Plan, Pool, add_engine, chat, check_bound,
    check_bounds, expected_answer, get, owner, post, streamed_text,
};
use test_case::test_case;

const ENGINE_COUNT: usize = 4;

/// Deadline header of a chat that does not have to wait.
const DEADLINE: (&str, &str) = ("x-turmericrelay-deadline", "5s");

fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start_plan(Plan::new(&["giza", "giza", "giza"]).with_proxies());
    for index in 0..ENGINE_COUNT {
        add_engine(&mut fleet, &format!("engine-{index}"), "giza", LONG_WORD_INTERVAL);
    }
    fleet
}

fn caller_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.instances.iter().map(|instance| instance.addresses.callers).collect()
}

fn engine_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.upstreams.iter().map(|upstream| upstream.address).collect()
}

/// Returns the number of upstreams that an instance owns by its own count.
fn owned_upstreams(fleet: &Fleet, instance: usize) -> usize {
    let metrics = get(fleet.instances[instance].addresses.operators, "/metrics").unwrap();
    let mut values =
        metrics.lines().filter_map(|line| line.strip_prefix("turmericrelay_owned_upstreams "));
    values.next().unwrap().parse().unwrap()
}

/// Cuts or restores the one-way link between the two instances of each pair.
fn set_links_cut(fleet: &Fleet, links: &[(usize, usize)], is_cut: bool) {
    for (from, to) in links {
        fleet.link(*from, *to).change(|faults| faults.is_cut = is_cut);
    }
}

/// Cuts links within one data centre for `seconds` in each of `rounds` rounds.
#[test_case(&[(1, 0)], 2, 2, false; "one link for two seconds")]
#[test_case(&[(0, 1), (0, 2)], 6, 1, true; "an instance that reaches no other")]
#[test_case(&[(1, 0), (2, 0)], 6, 1, true; "an instance that no other reaches")]
#[test_case(&[(0, 1), (0, 2), (1, 0), (2, 0)], 6, 1, true; "an instance that is partitioned")]
fn the_load_bound_holds_while_membership_views_differ(
    links: &[(usize, usize)],
    seconds: u64,
    rounds: usize,
    is_split_expected: bool,
) {
    let fleet = start_fleet();
    let engines = engine_addresses(&fleet);
    let callers = Callers::start(&caller_addresses(&fleet), LONG_WORD_INTERVAL);
    check_bound(&engines, ENGINE_COUNT, Duration::from_secs(2));
    assert!(
        owned_upstreams(&fleet, 0) > 0,
        "instance 0 must own an upstream, because the cuts isolate an owner"
    );
    for round in 0..rounds {
        set_links_cut(&fleet, links, true);
        let cut = check_bound(&engines, ENGINE_COUNT, Duration::from_secs(seconds));
        let owned: Vec<usize> = (0..3).map(|instance| owned_upstreams(&fleet, instance)).collect();
        println!("{links:?}, round {round}: cut {cut:?}, owned {owned:?}");
        let is_ownership_split = owned.iter().sum::<usize>() > ENGINE_COUNT;
        assert!(is_ownership_split || !is_split_expected, "no engine has two owners: {owned:?}");
        set_links_cut(&fleet, links, false);
        let healed = check_bound(&engines, ENGINE_COUNT, Duration::from_secs(4));
        println!("{links:?}, round {round}: healed {healed:?}");
    }
    let (answered, cut) = callers.stop();
    println!("{links:?}: {answered} answered, {cut} cut");
    assert_eq!(cut, 0);
    assert!(answered > 100, "{answered}");
}

#[test]
fn the_load_bound_holds_while_an_engine_flaps_until_it_gets_no_new_requests() {
    let mut fleet = start_fleet();
    add_engine(&mut fleet, "engine-flapping", "giza", LONG_WORD_INTERVAL);
    let engines = engine_addresses(&fleet);
    let callers = Callers::start(&caller_addresses(&fleet), LONG_WORD_INTERVAL);
    check_bound(&engines, ENGINE_COUNT, Duration::from_secs(2));
    for flap in 0..6 {
        let signal = if flap % 2 == 0 { "KILL" } else { "TERM" };
        fleet.upstreams[ENGINE_COUNT].process.signal(signal);
        let down = check_bound(&engines, ENGINE_COUNT, Duration::from_millis(600));
        fleet.restart_upstream(ENGINE_COUNT);
        let up = check_bound(&engines, ENGINE_COUNT, Duration::from_millis(600));
        println!("flap {flap} by {signal}: down {down:?}, up {up:?}");
    }
    let taken_requests = || {
        let stats: Value =
            serde_json::from_str(&get(engines[ENGINE_COUNT], "/stats").unwrap()).unwrap();
        stats["taken"].as_u64().unwrap()
    };
    let before = taken_requests();
    let excluded = check_bound(&engines, ENGINE_COUNT, Duration::from_secs(3));
    let (answered, cut) = callers.stop();
    println!("excluded {excluded:?}; {answered} answered, {cut} cut");
    assert_eq!(
        taken_requests(),
        before,
        "new requests at an engine that is set aside for flapping"
    );
    assert_eq!(cut, 0, "streams of a dead engine must be resumed");
}

#[test]
fn the_load_bound_holds_while_an_instance_flaps() {
    let mut fleet = start_fleet();
    let engines = engine_addresses(&fleet);
    let callers = Callers::start(&caller_addresses(&fleet), LONG_WORD_INTERVAL);
    check_bound(&engines, ENGINE_COUNT, Duration::from_secs(2));
    let owner = owner(&fleet, "engine-0");
    for flap in 0..6 {
        fleet.kill(owner);
        let down = check_bound(&engines, ENGINE_COUNT, Duration::from_millis(900));
        fleet.restart(owner);
        let up = check_bound(&engines, ENGINE_COUNT, Duration::from_millis(900));
        println!("flap {flap}: down {down:?}, up {up:?}");
    }
    fleet.wait_ready(owner);
    let after = check_bound(&engines, ENGINE_COUNT, Duration::from_secs(5));
    let address = fleet.instances[owner].addresses.callers;
    let answer = post(address, CHAT, &[DEADLINE], &chat("after the flaps", 4, true)).unwrap();
    let (answered, cut) = callers.stop();
    println!("after {after:?}; {answered} answered, {cut} cut, also by the flapping instance");
    assert!(answered > 100, "{answered}");
    assert!(after.1 > 0, "no engine has requests");
    assert_eq!(
        streamed_text(&answer.body),
        Some(expected_answer("after the flaps", 4)),
        "{answer:?}"
    );
}

#[test]
fn the_load_bound_holds_on_both_sides_of_a_partition_between_data_centres() {
    let plan = Plan::new(&["giza", "giza", "maadi", "maadi"]).with_proxies();
    let mut fleet = Fleet::start_plan(plan);
    for index in 0..3 {
        add_engine(&mut fleet, &format!("engine-giza-{index}"), "giza", LONG_WORD_INTERVAL);
    }
    for index in 0..3 {
        add_engine(&mut fleet, &format!("engine-maadi-{index}"), "maadi", LONG_WORD_INTERVAL);
    }
    let (instances, engines) = (caller_addresses(&fleet), engine_addresses(&fleet));
    let (giza, maadi) = engines.split_at(3);
    let pools = [Pool { engines: giza, serving: 3 }, Pool { engines: maadi, serving: 3 }];
    let callers = [
        Callers::start(&instances[..2], LONG_WORD_INTERVAL),
        Callers::start(&instances[2..], LONG_WORD_INTERVAL),
    ];
    let steady = check_bounds(&pools, Duration::from_secs(2));
    fleet.set_partition(&[2, 3], true);
    let cut = check_bounds(&pools, Duration::from_secs(6));
    fleet.set_partition(&[2, 3], false);
    let healed = check_bounds(&pools, Duration::from_secs(4));
    println!("steady {steady:?}, cut {cut:?}, healed {healed:?}");
    for callers in callers {
        let (answered, cut) = callers.stop();
        println!("{answered} answered, {cut} cut");
        assert_eq!(cut, 0);
        assert!(answered > 100, "{answered}");
    }
}
