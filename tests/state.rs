//! Tests of the replicated log with voters as separate processes that crash, freeze and are
//! partitioned.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use support::replicated_log::{
    Outcome, TOKEN, leases, operators, request_lease, request_lease_until_granted, status,
    wait_for_leader, wait_for_lease,
};
use support::{Fleet, Plan, get, wait_for};

fn plan(data_centres: &[&str], voters: usize) -> Plan {
    Plan::new(data_centres)
        .with_voters(voters)
        .with_setting("operator_tokens", json!({ "tester": TOKEN }))
        .with_setting("limits", json!({ "log": "8KiB" }))
}

fn three_voters() -> Plan {
    plan(&["giza", "cairo", "delta"], 3)
}

fn other_voters(leader: usize) -> Vec<usize> {
    (0..3).filter(|index| *index != leader).collect()
}

#[test]
fn every_instance_proposes_and_every_voter_applies() {
    let fleet = Fleet::start_plan(plan(&["giza", "cairo", "delta", "giza"], 3));
    wait_for_leader(&fleet, &[0, 1, 2]);
    for index in 0..4 {
        request_lease_until_granted(&fleet, index, &format!("order-{index}"));
    }
    for voter in 0..3 {
        for index in 0..4 {
            wait_for_lease(&fleet, voter, &format!("order-{index}"));
        }
    }
}

#[test]
fn no_proposal_runs_without_a_quorum() {
    let mut fleet = Fleet::start_plan(plan(&["giza", "cairo", "delta", "giza"], 3));
    wait_for_leader(&fleet, &[0, 1, 2]);
    request_lease_until_granted(&fleet, 3, "before");
    fleet.kill(1);
    fleet.kill(2);
    wait_for("expiry of the lease", || (status(&fleet, 0)?["leader"].is_null()).then_some(()));
    assert_eq!(request_lease(operators(&fleet, 0), "alone"), Outcome::NotRun);
    assert_eq!(request_lease(operators(&fleet, 3), "alone"), Outcome::NotRun);
    fleet.restart(1);
    request_lease_until_granted(&fleet, 3, "after");
    assert!(!leases(&fleet, 0).unwrap().contains("alone"));
}

#[test]
fn proposals_under_constant_load_succeed_once_the_voters_return() {
    let mut fleet = Fleet::start_plan(plan(&["giza", "giza"], 1));
    request_lease_until_granted(&fleet, 1, "before");
    let address = operators(&fleet, 1);
    fleet.kill(0);
    // Staggered starts keep at least one proposal waiting at every moment.
    let propose = move |number: u32| {
        std::thread::sleep(Duration::from_millis(u64::from(number) * 60));
        wait_for("grant of the lease", || {
            match request_lease(address, &format!("order-{number}")) {
                Outcome::Granted(fence) => Some(fence),
                _ => None,
            }
        })
    };
    let threads: Vec<_> =
        (0..6).map(|number| std::thread::spawn(move || propose(number))).collect();
    wait_for("refusal of 12 proposals", || {
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
fn granted_leases_survive_a_crash_of_all_voters() {
    let mut fleet = Fleet::start_plan(three_voters());
    wait_for_leader(&fleet, &[0, 1, 2]);
    let tokens: Vec<u64> = (0..20)
        .map(|number| request_lease_until_granted(&fleet, 0, &format!("order-{number}")))
        .collect();
    assert!(tokens.is_sorted_by(|token, next| token < next), "{tokens:?}");
    for index in 0..3 {
        fleet.kill(index);
    }
    for index in 0..3 {
        fleet.restart(index);
    }
    let later = request_lease_until_granted(&fleet, 1, "later");
    assert!(later > *tokens.last().unwrap());
    for index in 0..3 {
        (0..20).for_each(|number| wait_for_lease(&fleet, index, &format!("order-{number}")));
    }
}

#[test]
fn acknowledged_proposals_survive_when_leaders_are_killed() {
    let mut fleet = Fleet::start_plan(plan(&["giza", "cairo", "delta", "giza"], 3));
    let address = operators(&fleet, 3);
    let is_finished = Arc::new(AtomicBool::new(false));
    let granted_count = Arc::new(AtomicUsize::new(0));
    let (finished, count) = (is_finished.clone(), granted_count.clone());
    let proposer = std::thread::spawn(move || {
        let mut granted = Vec::new();
        let mut refused = Vec::new();
        for number in 0.. {
            if finished.load(Ordering::Relaxed) {
                break;
            }
            let resource = format!("order-{number};");
            match request_lease(address, &resource) {
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
    let wait_for_grants = || {
        let before = granted_count.load(Ordering::Relaxed);
        wait_for("grant of 20 more leases", || {
            (granted_count.load(Ordering::Relaxed) >= before + 20).then_some(())
        });
    };
    for _ in 0..2 {
        wait_for_grants();
        let leader = wait_for_leader(&fleet, &[0, 1, 2]);
        fleet.kill(leader);
        wait_for_grants();
        fleet.restart(leader);
    }
    is_finished.store(true, Ordering::Relaxed);
    let (granted, refused) = proposer.join().unwrap();
    request_lease_until_granted(&fleet, 3, "last");
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
fn a_graceful_shutdown_transfers_leadership() {
    let mut fleet = Fleet::start_plan(plan(&["giza", "cairo", "delta", "giza"], 3));
    let leader = wait_for_leader(&fleet, &[0, 1, 2]);
    request_lease_until_granted(&fleet, 3, "before");
    let term = status(&fleet, leader).unwrap()["term"].as_u64().unwrap();
    fleet.instances[leader].process.signal("TERM");
    assert_eq!(fleet.instances[leader].process.wait(), Some(0));
    let next = wait_for_leader(&fleet, &other_voters(leader));
    // Without a transfer of leadership, an election starts at least one second after the last
    // heartbeat.
    let state = status(&fleet, next).unwrap();
    assert_eq!(state["term"].as_u64(), Some(term + 1), "{state}");
    request_lease_until_granted(&fleet, 3, "after");
}

/// Waits until `instance` reports exactly three voters, one of them `voter`.
fn wait_for_repair(fleet: &Fleet, instance: usize, voter: &str) {
    wait_for("repair of the voter group", || {
        let status = status(fleet, instance)?;
        let members = status["members"].as_array()?;
        let is_voting = |member: &&Value| member["standing"] == "voting";
        let has_voter = members.iter().any(|member| member["voter"] == voter);
        (members.iter().filter(is_voting).count() == 3 && members.len() == 3 && has_voter)
            .then_some(())
    });
}

#[test]
fn two_voters_that_lose_their_data_folders_in_turn_are_repaired_without_data_loss() {
    let mut fleet = Fleet::start_plan(three_voters());
    let leader = wait_for_leader(&fleet, &[0, 1, 2]);
    (0..30).for_each(|number| {
        request_lease_until_granted(&fleet, leader, &format!("order-{number};"));
    });
    let group = other_voters(leader);
    for lost in [group[0], group[1]] {
        let remaining = *group.iter().find(|index| **index != lost).unwrap();
        let old = status(&fleet, lost).unwrap()["voter"].clone();
        fleet.kill(lost);
        std::fs::remove_dir_all(fleet.data_folder(&fleet.instances[lost].addresses.name)).unwrap();
        fleet.restart(lost);
        let new = wait_for("start", || status(&fleet, lost)?["voter"].as_str().map(str::to_string));
        assert_ne!(old, new.as_str());
        wait_for_repair(&fleet, remaining, &new);
    }
    // Only the two repaired voters remain.
    fleet.kill(leader);
    request_lease_until_granted(&fleet, group[0], "after");
    for index in group {
        (0..30).for_each(|number| wait_for_lease(&fleet, index, &format!("order-{number};")));
    }
}

#[test]
fn a_partitioned_leader_acknowledges_nothing() {
    let fleet = Fleet::start_plan(three_voters().with_proxies());
    let leader = wait_for_leader(&fleet, &[0, 1, 2]);
    request_lease_until_granted(&fleet, leader, "before");
    fleet.set_partition(&[leader], true);
    let during = request_lease(operators(&fleet, leader), "during");
    assert_ne!(during, Outcome::Granted(2));
    let next = wait_for_leader(&fleet, &other_voters(leader));
    request_lease_until_granted(&fleet, next, "majority");
    assert_eq!(request_lease(operators(&fleet, leader), "cut off"), Outcome::NotRun);
    assert_ne!(status(&fleet, leader).unwrap()["role"], "leader");
    fleet.set_partition(&[leader], false);
    wait_for_lease(&fleet, leader, "majority");
    let leases = leases(&fleet, leader).unwrap();
    assert!(!leases.contains("cut off"), "{leases}");
}

#[test]
fn a_leader_that_was_frozen_does_not_use_its_expired_lease() {
    let fleet = Fleet::start_plan(three_voters());
    let leader = wait_for_leader(&fleet, &[0, 1, 2]);
    request_lease_until_granted(&fleet, leader, "before");
    fleet.instances[leader].process.signal("STOP");
    let frozen_address = operators(&fleet, leader);
    let proposer = std::thread::spawn(move || request_lease(frozen_address, "frozen"));
    let next = wait_for_leader(&fleet, &other_voters(leader));
    request_lease_until_granted(&fleet, next, "meanwhile");
    fleet.instances[leader].process.signal("CONT");
    assert_ne!(proposer.join().unwrap(), Outcome::Granted(2));
    wait_for_lease(&fleet, leader, "meanwhile");
    let term = status(&fleet, leader).unwrap()["term"].as_u64().unwrap();
    assert!(term > 1);
    request_lease_until_granted(&fleet, leader, "after");
}

#[test]
fn a_lagging_voter_catches_up_by_snapshot() {
    let mut fleet = Fleet::start_plan(three_voters());
    let leader = wait_for_leader(&fleet, &[0, 1, 2]);
    let lagging = other_voters(leader)[0];
    request_lease_until_granted(&fleet, leader, "before");
    fleet.kill(lagging);
    (0..400).for_each(|number| {
        request_lease_until_granted(&fleet, leader, &format!("order-{number};"));
    });
    let before = status(&fleet, leader).unwrap();
    assert!(before["snapshot"].as_u64() > Some(1), "{before}");
    fleet.restart(lagging);
    wait_for_lease(&fleet, lagging, "order-399;");
    let after = status(&fleet, lagging).unwrap();
    assert!(after["snapshot"].as_u64() > Some(1), "{after}");
    let metrics = get(operators(&fleet, lagging), "/metrics").unwrap();
    assert!(metrics.contains("turmericrelay_replica_installs_total 1"), "{metrics}");
    (0..400).for_each(|number| wait_for_lease(&fleet, lagging, &format!("order-{number};")));
}

#[test]
fn an_unusable_data_folder_aborts_the_start_with_a_help_line() {
    let mut fleet = Fleet::start_plan(three_voters());
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
fn a_damaged_log_aborts_the_start_and_the_error_names_the_position() {
    let mut fleet = Fleet::start_plan(three_voters());
    let leader = wait_for_leader(&fleet, &[0, 1, 2]);
    (0..5).for_each(|number| {
        request_lease_until_granted(&fleet, leader, &format!("order-{number}"));
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
