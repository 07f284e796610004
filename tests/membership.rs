//! Checks failure detection between instances whose links lead through fault-injecting proxies.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use std::time::{Duration, Instant};

use serde_json::Value;
use support::{Fleet, Plan, get, wait_for};

const DATA_CENTRES: [&str; 4] = ["giza", "giza", "giza", "dokki"];

fn start_fleet() -> Fleet {
    let fleet = Fleet::start_plan(Plan::new(&DATA_CENTRES).with_proxies());
    for index in 0..DATA_CENTRES.len() {
        wait_for_live_instances(&fleet, index, &[0, 1, 2, 3]);
    }
    fleet
}

/// Returns the name, status and incarnation of each instance that `observer` lists.
fn list_members(fleet: &Fleet, observer: usize) -> Option<Vec<(String, String, String)>> {
    let text = get(fleet.instances[observer].addresses.operators, "/members").ok()?;
    let members: Vec<Value> = serde_json::from_str(&text).ok()?;
    let field = |member: &Value, name: &str| Some(member[name].as_str()?.to_string());
    members
        .iter()
        .map(|member| {
            Some((
                field(member, "instance")?,
                field(member, "status")?,
                field(member, "incarnation")?,
            ))
        })
        .collect()
}

/// Returns the indices of the instances that `observer` lists as alive or suspect.
fn live_instances(fleet: &Fleet, observer: usize) -> Option<Vec<usize>> {
    let members = list_members(fleet, observer)?;
    let is_live = |index: &usize| {
        let name = &fleet.instances[*index].addresses.name;
        let found = members.iter().find(|(instance, _, _)| instance == name);
        found.is_some_and(|(_, status, _)| matches!(status.as_str(), "alive" | "suspect"))
    };
    Some((0..fleet.instances.len()).filter(is_live).collect())
}

fn wait_for_live_instances(fleet: &Fleet, observer: usize, expected: &[usize]) {
    wait_for(&format!("live instances {expected:?} at instance {observer}"), || {
        (live_instances(fleet, observer)? == expected).then_some(())
    });
}

fn metric(fleet: &Fleet, observer: usize, name: &str) -> u64 {
    let text = get(fleet.instances[observer].addresses.operators, "/metrics").unwrap();
    let prefix = format!("turmericrelay_{name} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
    line.unwrap_or_else(|| panic!("no metric {name}")).parse().unwrap()
}

#[test]
fn a_killed_instance_is_declared_dead_and_its_restart_has_a_newer_incarnation() {
    let mut fleet = start_fleet();
    let former_members = list_members(&fleet, 0).unwrap();
    fleet.kill(1);
    for observer in [0, 2, 3] {
        wait_for_live_instances(&fleet, observer, &[0, 2, 3]);
    }
    fleet.restart(1);
    for observer in 0..4 {
        wait_for_live_instances(&fleet, observer, &[0, 1, 2, 3]);
    }
    let incarnation = |list: &[(String, String, String)]| {
        list.iter().find(|(name, _, _)| name == "instance-2").unwrap().2.clone()
    };
    assert!(incarnation(&list_members(&fleet, 0).unwrap()) > incarnation(&former_members));
}

#[test]
fn a_frozen_instance_is_declared_dead_and_rejoins() {
    let fleet = start_fleet();
    fleet.instances[2].process.signal("STOP");
    for observer in [0, 1, 3] {
        wait_for_live_instances(&fleet, observer, &[0, 1, 3]);
    }
    fleet.instances[2].process.signal("CONT");
    for observer in 0..4 {
        wait_for_live_instances(&fleet, observer, &[0, 1, 2, 3]);
    }
    assert_eq!(
        metric(&fleet, 2, "members_ended_total"),
        0,
        "the frozen instance declared others dead"
    );
}

#[test]
fn a_network_partition_splits_the_membership_until_it_heals() {
    let fleet = start_fleet();
    fleet.set_partition(&[3], true);
    for observer in 0..3 {
        wait_for_live_instances(&fleet, observer, &[0, 1, 2]);
    }
    wait_for_live_instances(&fleet, 3, &[3]);
    fleet.set_partition(&[3], false);
    for observer in 0..4 {
        wait_for_live_instances(&fleet, observer, &[0, 1, 2, 3]);
    }
}

#[test]
fn no_instance_is_declared_dead_under_a_one_way_partition_and_packet_loss() {
    let fleet = start_fleet();
    fleet.link(0, 1).change(|faults| faults.is_cut = true);
    for link in &fleet.links {
        link.proxy.change(|faults| faults.loss_percent = 5);
    }
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        for observer in 0..4 {
            assert_eq!(metric(&fleet, observer, "members_ended_total"), 0, "instance {observer}");
        }
        std::thread::sleep(Duration::from_millis(500));
    }
}

#[test]
fn a_graceful_shutdown_is_listed_as_a_leave() {
    let mut fleet = start_fleet();
    fleet.instances[1].process.signal("TERM");
    assert_eq!(fleet.instances[1].process.wait(), Some(0));
    wait_for("leave", || {
        let members = list_members(&fleet, 0)?;
        let has_left =
            |(name, status, _): &(String, String, String)| name == "instance-2" && status == "left";
        members.iter().any(has_left).then_some(())
    });
}
