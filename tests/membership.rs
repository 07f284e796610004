//! Failure detection between real processes behind fault-injecting proxies.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use std::time::{Duration, Instant};

use serde_json::Value;
use support::{Fleet, Plan, get, wait_for};

const DATA_CENTRES: [&str; 4] = ["giza", "giza", "giza", "dokki"];

fn fleet() -> Fleet {
    let fleet = Fleet::start_plan(Plan::new(&DATA_CENTRES).with_proxies());
    for index in 0..DATA_CENTRES.len() {
        wait_for_up(&fleet, index, &[0, 1, 2, 3]);
    }
    fleet
}

/// What `node` lists of each instance: its name, status and run.
fn listed(fleet: &Fleet, node: usize) -> Option<Vec<(String, String, String)>> {
    let text = get(fleet.instances[node].addresses.operators, "/members").ok()?;
    let members: Vec<Value> = serde_json::from_str(&text).ok()?;
    let field = |member: &Value, name: &str| Some(member[name].as_str()?.to_string());
    members
        .iter()
        .map(|one| {
            Some((field(one, "instance")?, field(one, "status")?, field(one, "incarnation")?))
        })
        .collect()
}

fn up(fleet: &Fleet, node: usize) -> Option<Vec<usize>> {
    let listed = listed(fleet, node)?;
    let is_up = |index: &usize| {
        let name = &fleet.instances[*index].addresses.name;
        let found = listed.iter().find(|(instance, _, _)| instance == name);
        found.is_some_and(|(_, status, _)| matches!(status.as_str(), "alive" | "suspect"))
    };
    Some((0..fleet.instances.len()).filter(is_up).collect())
}

fn wait_for_up(fleet: &Fleet, node: usize, expected: &[usize]) {
    wait_for(&format!("view {expected:?} of instance {node}"), || {
        (up(fleet, node)? == expected).then_some(())
    });
}

fn metric(fleet: &Fleet, node: usize, name: &str) -> u64 {
    let text = get(fleet.instances[node].addresses.operators, "/metrics").unwrap();
    let prefix = format!("turmericrelay_{name} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
    line.unwrap_or_else(|| panic!("no metric {name}")).parse().unwrap()
}

#[test]
fn a_killed_instance_is_found_dead_and_its_replacement_is_a_new_run() {
    let mut fleet = fleet();
    let former = listed(&fleet, 0).unwrap();
    fleet.kill(1);
    for node in [0, 2, 3] {
        wait_for_up(&fleet, node, &[0, 2, 3]);
    }
    fleet.restart(1);
    for node in 0..4 {
        wait_for_up(&fleet, node, &[0, 1, 2, 3]);
    }
    let run = |list: &[(String, String, String)]| {
        list.iter().find(|(name, _, _)| name == "instance-2").unwrap().2.clone()
    };
    assert!(run(&listed(&fleet, 0).unwrap()) > run(&former));
}

#[test]
fn a_frozen_instance_is_found_dead_and_returns() {
    let fleet = fleet();
    fleet.instances[2].process.signal("STOP");
    for node in [0, 1, 3] {
        wait_for_up(&fleet, node, &[0, 1, 3]);
    }
    fleet.instances[2].process.signal("CONT");
    for node in 0..4 {
        wait_for_up(&fleet, node, &[0, 1, 2, 3]);
    }
    assert_eq!(metric(&fleet, 2, "members_ended_total"), 0, "the frozen one blamed others");
}

#[test]
fn a_cut_both_ways_parts_the_views_until_it_heals() {
    let fleet = fleet();
    fleet.set_cut(&[3], true);
    for node in 0..3 {
        wait_for_up(&fleet, node, &[0, 1, 2]);
    }
    wait_for_up(&fleet, 3, &[3]);
    fleet.set_cut(&[3], false);
    for node in 0..4 {
        wait_for_up(&fleet, node, &[0, 1, 2, 3]);
    }
}

#[test]
fn a_cut_one_way_and_loss_kill_nobody() {
    let fleet = fleet();
    fleet.link(0, 1).change(|faults| faults.is_cut = true);
    for link in &fleet.links {
        link.proxy.change(|faults| faults.loss_percent = 5);
    }
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        for node in 0..4 {
            assert_eq!(metric(&fleet, node, "members_ended_total"), 0, "instance {node}");
        }
        std::thread::sleep(Duration::from_millis(500));
    }
}

#[test]
fn a_planned_stop_is_known_as_a_leave() {
    let mut fleet = fleet();
    fleet.instances[1].process.signal("TERM");
    assert_eq!(fleet.instances[1].process.wait(), Some(0));
    wait_for("leave", || {
        let listed = listed(&fleet, 0)?;
        let left =
            |(name, status, _): &(String, String, String)| name == "instance-2" && status == "left";
        listed.iter().any(left).then_some(())
    });
}
