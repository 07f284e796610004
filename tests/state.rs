//! The replicated log: voters as separate processes that crash, freeze and are cut off.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use support::log::{
    Outcome, TOKEN, leader_of, leases, operators, status, take, take_surely, wait_for_lease,
};
use support::{Fleet, Plan, get, wait_for};

fn plan(data_centres: &[&str], voters: usize) -> Plan {
    Plan::new(data_centres)
        .with_voters(voters)
        .with_setting("operator_tokens", json!({ "tester": TOKEN }))
        .with_setting("limits", json!({ "log": "8KiB" }))
}

fn three() -> Plan {
    plan(&["giza", "cairo", "delta"], 3)
}

fn others(leader: usize) -> Vec<usize> {
    (0..3).filter(|index| *index != leader).collect()
}

#[test]
fn every_instance_proposes_and_every_voter_applies() {
    let fleet = Fleet::start_plan(plan(&["giza", "cairo", "delta", "giza"], 3));
    leader_of(&fleet, &[0, 1, 2]);
    for index in 0..4 {
        take_surely(&fleet, index, &format!("order-{index}"));
    }
    for voter in 0..3 {
        for index in 0..4 {
            wait_for_lease(&fleet, voter, &format!("order-{index}"));
        }
    }
}

#[test]
fn without_a_quorum_nothing_runs() {
    let mut fleet = Fleet::start_plan(plan(&["giza", "cairo", "delta", "giza"], 3));
    leader_of(&fleet, &[0, 1, 2]);
    take_surely(&fleet, 3, "before");
    fleet.kill(1);
    fleet.kill(2);
    wait_for("end of the lease", || (status(&fleet, 0)?["leader"].is_null()).then_some(()));
    assert_eq!(take(operators(&fleet, 0), "alone"), Outcome::NotRun);
    assert_eq!(take(operators(&fleet, 3), "alone"), Outcome::NotRun);
    fleet.restart(1);
    take_surely(&fleet, 3, "after");
    assert!(!leases(&fleet, 0).unwrap().contains("alone"));
}

#[test]
fn constant_load_finds_the_voters_when_they_are_back() {
    let mut fleet = Fleet::start_plan(plan(&["giza", "giza"], 1));
    take_surely(&fleet, 1, "before");
    let address = operators(&fleet, 1);
    fleet.kill(0);
    // The starts are spread out, so that a proposal waits at every moment.
    let propose = move |number: u32| {
        std::thread::sleep(Duration::from_millis(u64::from(number) * 60));
        wait_for("grant", || match take(address, &format!("order-{number}")) {
            Outcome::Granted(fence) => Some(fence),
            _ => None,
        })
    };
    let threads: Vec<_> =
        (0..6).map(|number| std::thread::spawn(move || propose(number))).collect();
    wait_for("refusals", || {
        let metrics = get(address, "/metrics").ok()?;
        let line = metrics.lines().find(|line| line.contains("outcome=\"not-run\""))?;
        (line.split_whitespace().last()?.parse::<u32>().ok()? >= 12).then_some(())
    });
    fleet.restart(0);
    for thread in threads {
        thread.join().unwrap();
    }
}

#[test]
fn what_was_granted_survives_a_crash_of_all_voters() {
    let mut fleet = Fleet::start_plan(three());
    leader_of(&fleet, &[0, 1, 2]);
    let fences: Vec<u64> =
        (0..20).map(|number| take_surely(&fleet, 0, &format!("order-{number}"))).collect();
    assert!(fences.is_sorted_by(|one, next| one < next), "{fences:?}");
    for index in 0..3 {
        fleet.kill(index);
    }
    for index in 0..3 {
        fleet.restart(index);
    }
    let later = take_surely(&fleet, 1, "later");
    assert!(later > *fences.last().unwrap());
    for index in 0..3 {
        (0..20).for_each(|number| wait_for_lease(&fleet, index, &format!("order-{number}")));
    }
}

#[test]
fn nothing_acknowledged_is_lost_when_leaders_are_killed_under_proposals() {
    let mut fleet = Fleet::start_plan(plan(&["giza", "cairo", "delta", "giza"], 3));
    let address = operators(&fleet, 3);
    let is_over = Arc::new(AtomicBool::new(false));
    let granted_count = Arc::new(AtomicUsize::new(0));
    let (over, count) = (is_over.clone(), granted_count.clone());
    let proposing = std::thread::spawn(move || {
        let mut granted = Vec::new();
        let mut refused = Vec::new();
        for number in 0.. {
            if over.load(Ordering::Relaxed) {
                break;
            }
            let resource = format!("order-{number};");
            match take(address, &resource) {
                Outcome::Granted(_) => {
                    granted.push(resource);
                    count.fetch_add(1, Ordering::Relaxed);
                }
                Outcome::NotRun => refused.push(resource),
                Outcome::MayHaveRun => {}
            }
        }
        (granted, refused)
    });
    let wait_for_more = || {
        let before = granted_count.load(Ordering::Relaxed);
        wait_for("more grants", || {
            (granted_count.load(Ordering::Relaxed) >= before + 20).then_some(())
        });
    };
    for _ in 0..2 {
        wait_for_more();
        let leader = leader_of(&fleet, &[0, 1, 2]);
        fleet.kill(leader);
        wait_for_more();
        fleet.restart(leader);
    }
    is_over.store(true, Ordering::Relaxed);
    let (granted, refused) = proposing.join().unwrap();
    take_surely(&fleet, 3, "last");
    for voter in 0..3 {
        wait_for_lease(&fleet, voter, "last");
        let leases = leases(&fleet, voter).unwrap();
        let lost = granted.iter().find(|resource| !leases.contains(&format!("\"{resource}\"")));
        assert_eq!(lost, None, "of {} granted", granted.len());
        let false_refusal =
            refused.iter().find(|resource| leases.contains(&format!("\"{resource}\"")));
        assert_eq!(false_refusal, None, "of {} refused", refused.len());
    }
}

#[test]
fn a_planned_stop_hands_over_the_lead() {
    let mut fleet = Fleet::start_plan(plan(&["giza", "cairo", "delta", "giza"], 3));
    let leader = leader_of(&fleet, &[0, 1, 2]);
    take_surely(&fleet, 3, "before");
    let term = status(&fleet, leader).unwrap()["term"].as_u64().unwrap();
    fleet.instances[leader].process.signal("TERM");
    assert_eq!(fleet.instances[leader].process.wait(), Some(0));
    let next = leader_of(&fleet, &others(leader));
    // An election without a hand-over waits for one second at least after the last heartbeat.
    let state = status(&fleet, next).unwrap();
    assert_eq!(state["term"].as_u64(), Some(term + 1), "{state}");
    take_surely(&fleet, 3, "after");
}

/// Waits until the group has exactly three voters, one of them `voter`.
fn wait_for_repair(fleet: &Fleet, asked: usize, voter: &str) {
    wait_for("repair", || {
        let status = status(fleet, asked)?;
        let members = status["members"].as_array()?;
        let is_voting = |member: &&Value| member["standing"] == "voting";
        let has_voter = members.iter().any(|member| member["voter"] == voter);
        (members.iter().filter(is_voting).count() == 3 && members.len() == 3 && has_voter)
            .then_some(())
    });
}

#[test]
fn a_lost_folder_is_repaired_and_a_second_loss_right_after_loses_nothing() {
    let mut fleet = Fleet::start_plan(three());
    let leader = leader_of(&fleet, &[0, 1, 2]);
    (0..30).for_each(|number| {
        take_surely(&fleet, leader, &format!("order-{number};"));
    });
    let group = others(leader);
    for lost in [group[0], group[1]] {
        let asked = *group.iter().find(|index| **index != lost).unwrap();
        let old = status(&fleet, lost).unwrap()["voter"].clone();
        fleet.kill(lost);
        std::fs::remove_dir_all(fleet.data_folder(&fleet.instances[lost].addresses.name)).unwrap();
        fleet.restart(lost);
        let new = wait_for("start", || status(&fleet, lost)?["voter"].as_str().map(str::to_string));
        assert_ne!(old, new.as_str());
        wait_for_repair(&fleet, asked, &new);
    }
    // Only the two repaired voters are left of the three.
    fleet.kill(leader);
    take_surely(&fleet, group[0], "after");
    for index in group {
        (0..30).for_each(|number| wait_for_lease(&fleet, index, &format!("order-{number};")));
    }
}

#[test]
fn a_leader_that_is_cut_off_acknowledges_nothing() {
    let fleet = Fleet::start_plan(three().with_proxies());
    let leader = leader_of(&fleet, &[0, 1, 2]);
    take_surely(&fleet, leader, "before");
    fleet.set_cut(&[leader], true);
    let during = take(operators(&fleet, leader), "during");
    assert_ne!(during, Outcome::Granted(2));
    let next = leader_of(&fleet, &others(leader));
    take_surely(&fleet, next, "majority");
    assert_eq!(take(operators(&fleet, leader), "cut off"), Outcome::NotRun);
    assert_ne!(status(&fleet, leader).unwrap()["role"], "leader");
    fleet.set_cut(&[leader], false);
    wait_for_lease(&fleet, leader, "majority");
    let all = leases(&fleet, leader).unwrap();
    assert!(!all.contains("cut off"), "{all}");
}

#[test]
fn a_frozen_leader_finds_its_lease_lapsed() {
    let fleet = Fleet::start_plan(three());
    let leader = leader_of(&fleet, &[0, 1, 2]);
    take_surely(&fleet, leader, "before");
    fleet.instances[leader].process.signal("STOP");
    let frozen = operators(&fleet, leader);
    let asking = std::thread::spawn(move || take(frozen, "frozen"));
    let next = leader_of(&fleet, &others(leader));
    take_surely(&fleet, next, "meanwhile");
    fleet.instances[leader].process.signal("CONT");
    assert_ne!(asking.join().unwrap(), Outcome::Granted(2));
    wait_for_lease(&fleet, leader, "meanwhile");
    let old_term = status(&fleet, leader).unwrap()["term"].as_u64().unwrap();
    assert!(old_term > 1);
    take_surely(&fleet, leader, "after");
}

#[test]
fn a_voter_that_missed_hundreds_of_changes_catches_up_by_snapshot() {
    let mut fleet = Fleet::start_plan(three());
    let leader = leader_of(&fleet, &[0, 1, 2]);
    let down = others(leader)[0];
    take_surely(&fleet, leader, "before");
    fleet.kill(down);
    (0..400).for_each(|number| {
        take_surely(&fleet, leader, &format!("order-{number};"));
    });
    let before = status(&fleet, leader).unwrap();
    assert!(before["snapshot"].as_u64() > Some(1), "{before}");
    fleet.restart(down);
    wait_for_lease(&fleet, down, "order-399;");
    let after = status(&fleet, down).unwrap();
    assert!(after["snapshot"].as_u64() > Some(1), "{after}");
    let metrics = get(operators(&fleet, down), "/metrics").unwrap();
    assert!(metrics.contains("turmericrelay_replica_installs_total 1"), "{metrics}");
    (0..400).for_each(|number| wait_for_lease(&fleet, down, &format!("order-{number};")));
}

#[test]
fn a_folder_that_cannot_be_used_stops_the_start_with_a_clear_error() {
    let mut fleet = Fleet::start_plan(three());
    fleet.kill(0);
    let folder = fleet.data_folder(&fleet.instances[0].addresses.name);
    std::fs::remove_dir_all(&folder).unwrap();
    std::fs::write(&folder, "a file in place of the folder").unwrap();
    fleet.restart(0);
    assert_ne!(fleet.instances[0].process.wait(), Some(0));
    let log = fleet.instances[0].process.log_text();
    assert!(log.contains("help: check free space, permissions and the disk"), "{log}");
}

#[test]
fn a_damaged_log_stops_the_start_with_a_named_error() {
    let mut fleet = Fleet::start_plan(three());
    let leader = leader_of(&fleet, &[0, 1, 2]);
    (0..5).for_each(|number| {
        take_surely(&fleet, leader, &format!("order-{number}"));
    });
    fleet.kill(leader);
    let folder = fleet.data_folder(&fleet.instances[leader].addresses.name).join("log");
    let segment = std::fs::read_dir(&folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .find(|path| path.file_name().unwrap().to_string_lossy().starts_with("log-"))
        .unwrap();
    let mut bytes = std::fs::read(&segment).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    std::fs::write(&segment, bytes).unwrap();
    fleet.restart(leader);
    assert_ne!(fleet.instances[leader].process.wait(), Some(0));
    let log = fleet.instances[leader].process.log_text();
    assert!(log.contains("is damaged at byte"), "{log}");
}
