//! Simulation of groups of cores under message loss, reordering and duplication, crashes,
//! partitions, process pauses and slow disks.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use common::cluster::{Cluster, Faults};
use rand::RngExt;
use state::{Core, Entry, Payload};
use test_case::test_case;

/// Number of seeds per simulation in CI; `SIMULATION_SEEDS` overrides it.
const SEEDS: u64 = 80;

const STEPS: usize = 1500;

const NO_FAULTS: Faults = Faults {
    loss: 0,
    duplicates: 0,
    max_delay: Duration::from_millis(5),
    has_outages: false,
    has_lost_folders: false,
    has_voter_changes: false,
};

const MESSAGE_FAULTS_AND_OUTAGES: Faults = Faults {
    loss: 5,
    duplicates: 5,
    max_delay: Duration::from_millis(60),
    has_outages: true,
    has_lost_folders: false,
    has_voter_changes: false,
};

const ALL_FAULTS: Faults = Faults { has_lost_folders: true, ..MESSAGE_FAULTS_AND_OUTAGES };

const ALL_FAULTS_AND_VOTER_CHANGES: Faults = Faults { has_voter_changes: true, ..ALL_FAULTS };

/// Starts or ends one fault at random.
fn inject_fault(cluster: &mut Cluster) {
    let index = cluster.random.random_range(0..cluster.nodes.len());
    let is_down = cluster.nodes[index].core.is_none();
    match cluster.random.random_range(0..16) {
        0 if !is_down => cluster.crash(index),
        1 if !is_down => {
            let count = cluster.random.random_range(0..8);
            cluster.nodes[index].folder.fail_after(count);
        }
        2 if !is_down => cluster.nodes[index].is_paused = true,
        3 => cluster.nodes[index].is_partitioned = true,
        7 if !is_down => cluster.retire(index),
        4 if cluster.faults.has_lost_folders && cluster.is_repaired() => cluster.lose_folder(index),
        8 => cluster.nodes[index].drops_incoming = true,
        14 => {
            let millis = cluster.random.random_range(100..3000);
            cluster.set_sync_time(index, Some(Duration::from_millis(millis)));
        }
        15 => (0..cluster.nodes.len()).for_each(|index| cluster.set_sync_time(index, None)),
        5 | 6 => cluster.nodes.iter_mut().for_each(|node| {
            node.is_partitioned = false;
            node.drops_incoming = false;
        }),
        _ if is_down => cluster.start(index),
        _ => cluster.nodes[index].is_paused = false,
    }
}

fn run(seed: u64, size: usize, faults: Faults) -> Cluster {
    let mut cluster = Cluster::new(seed, size, faults);
    for step in 0..STEPS {
        cluster.advance();
        if cluster.random.random_range(0..3) == 0 {
            cluster.propose();
        }
        if faults.has_outages && cluster.random.random_range(0..25) == 0 {
            inject_fault(&mut cluster);
        }
        if faults.has_voter_changes && cluster.random.random_range(0..15) == 0 {
            cluster.change_target_voters();
        }
        if cluster.random.random_range(0..100) == 0 {
            let index = cluster.random.random_range(0..cluster.nodes.len());
            cluster.compact(index);
        }
        if step % 100 == 0 {
            cluster.check_logs();
        }
    }
    cluster.heal();
    cluster
}

fn seeds() -> u64 {
    std::env::var("SIMULATION_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

#[test_case(1)]
#[test_case(3)]
#[test_case(5)]
fn commands_commit_without_faults(size: usize) {
    for seed in 0..5 {
        let cluster = run(seed, size, NO_FAULTS);
        assert!(cluster.applied.len() > 300, "seed {seed}: {}", cluster.applied.len());
    }
}

#[test]
fn retiring_leader_transfers_leadership_without_an_election_timeout() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 3, NO_FAULTS);
        let leader = wait_until_repaired(&mut cluster);
        cluster.propose();
        cluster.retire(leader);
        (0..20).for_each(|_| cluster.advance());
        let next = cluster.leader();
        assert!(next.is_some() && next != Some(leader), "seed {seed}: {next:?} leads");
        cluster.heal();
    }
}

/// Waits until a leader leads a group that needs no repair. Returns the leader.
fn wait_until_repaired(cluster: &mut Cluster) -> usize {
    for _ in 0..10_000 {
        cluster.advance();
        if cluster.is_repaired() {
            return cluster.leader().unwrap();
        }
    }
    panic!("seed {}: no leader was elected", cluster.seed);
}

/// Returns a group of four nodes: the first three vote, and the last one has an uninitialized
/// folder.
fn cluster_with_spare(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 4, NO_FAULTS);
    wait_until_repaired(&mut cluster);
    for _ in 0..1000 {
        (0..4).for_each(|index| cluster.set_target_voters(index, 0, 3));
        cluster.advance();
        let leader = cluster.leader().and_then(|leader| cluster.nodes[leader].core.as_ref());
        if leader.is_some_and(Core::has_target_members) {
            cluster.lose_folder(3);
            cluster.start(3);
            return cluster;
        }
    }
    panic!("seed {seed}: all four nodes still vote");
}

#[test_case(None; "the spare node")]
#[test_case(Some(1); "a node that lost its folder")]
fn group_survives_another_loss_once_the_replacement_knows_that_it_votes(
    lost_folder: Option<usize>,
) {
    for seed in 0..40 {
        let mut cluster = cluster_with_spare(seed);
        // The target voters are nodes 1 to 3 if node 0 is lost, or nodes 0 to 2 if node 1 restarts
        // without its folder.
        let (lost, first) = lost_folder.map_or((0, 1), |lost_folder| (lost_folder, 0));
        cluster.crash(lost);
        if lost_folder.is_some() {
            cluster.lose_folder(lost);
            cluster.start(lost);
        } else {
            // The leader replaces a voter with a spare node only after a longer silence.
            (0..300).for_each(|_| cluster.advance());
        }
        let successor = lost_folder.unwrap_or(3);
        for step in 0.. {
            assert!(step < 1000, "seed {seed}: node {successor} does not vote");
            (0..4).for_each(|index| cluster.set_target_voters(index, first, 3));
            cluster.advance();
            let core = cluster.nodes[successor].core.as_ref();
            if core.is_some_and(Core::is_voter) {
                break;
            }
        }
        cluster.crash(if lost_folder.is_some() { 0 } else { 1 });
        let is_led = (0..500).any(|_| {
            cluster.advance();
            cluster.leader().is_some()
        });
        assert!(is_led, "seed {seed}: no leader was elected:\n{}", cluster.describe());
    }
}

#[test_case(false; "with the log")]
#[test_case(true; "with a snapshot")]
fn uncommitted_addition_is_retried_after_its_leader_crashes(has_snapshot: bool) {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 5, NO_FAULTS);
        let leader = wait_until_repaired(&mut cluster);
        for _ in 0..20 {
            cluster.propose();
            cluster.advance();
        }
        if has_snapshot {
            cluster.compact(leader);
        }
        let lost = (leader + 1) % 5;
        cluster.lose_folder(lost);
        for index in (0..5).filter(|index| *index != leader && *index != lost) {
            cluster.nodes[index].is_partitioned = true;
        }
        cluster.start(lost);
        let is_added = (0..85).any(|_| {
            cluster.advance();
            let core = cluster.nodes[lost].core.as_ref();
            core.is_some_and(|core| core.members().find(core.voter()).is_some())
        });
        assert!(is_added || has_snapshot, "seed {seed}");
        cluster.crash(leader);
        cluster.nodes.iter_mut().for_each(|node| node.is_partitioned = false);
        (0..500).for_each(|_| cluster.advance());
        cluster.heal();
    }
}

#[test_case(1, MESSAGE_FAULTS_AND_OUTAGES; "one voter")]
#[test_case(3, MESSAGE_FAULTS_AND_OUTAGES; "three voters")]
#[test_case(3, ALL_FAULTS; "three voters that lose folders")]
#[test_case(5, ALL_FAULTS; "five voters that lose folders")]
fn consensus_invariants_hold_under_faults(size: usize, faults: Faults) {
    for seed in 0..seeds() {
        run(seed, size, faults);
    }
}

#[test]
fn consensus_invariants_hold_during_repeated_voter_changes() {
    let mut changes = 0;
    for seed in 0..seeds() {
        let cluster = run(seed, 5, ALL_FAULTS_AND_VOTER_CHANGES);
        let is_change = |entry: &&Entry| matches!(entry.payload, Payload::Members(_));
        changes += cluster.applied.values().filter(is_change).count();
    }
    println!("{changes} changes of the members in {} seeds", seeds());
    assert!(changes as u64 > 5 * seeds(), "{changes} changes");
}
