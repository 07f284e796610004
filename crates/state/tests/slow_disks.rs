//! Elections and commits at voters whose disks sync slowly or stall.
//!
//! A sync of a second or more is common on a disk that is shared with other heavy writers.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use common::cluster::{Cluster, Faults};
use test_case::test_case;

const SEEDS: u64 = 100;

/// Maximum time until a command is applied once all disks are well: the longest election timeout
/// twice.
const MAX_RECOVERY: Duration = Duration::from_secs(4);

/// Starts a group and waits until it has a leader and all voters are members.
fn start_group(seed: u64, voters: usize) -> Cluster {
    let faults = Faults {
        loss: 0,
        duplicates: 0,
        max_delay: Duration::from_millis(50),
        has_outages: false,
        has_lost_folders: false,
        has_voter_changes: false,
    };
    let mut cluster = Cluster::new(seed, voters, faults);
    while !cluster.is_repaired() {
        cluster.advance();
    }
    (0..50).for_each(|_| cluster.advance());
    cluster
}

/// Waits until a command that is proposed from now on is applied, and returns the time that it took.
fn time_to_commit(cluster: &mut Cluster) -> Duration {
    let begin = cluster.now;
    let applied = cluster.commands();
    while cluster.commands() == applied {
        if cluster.leader().is_some() {
            cluster.propose();
        }
        cluster.advance();
        let limit = begin + Duration::from_secs(60);
        assert!(cluster.now < limit, "seed {}: no command was committed", cluster.seed);
    }
    cluster.now - begin
}

fn assert_none_late(mut times: Vec<(Duration, u64)>, limit: Duration) {
    times.sort();
    let late = times.iter().filter(|(time, _)| *time > limit).count();
    let (median, slowest) = (times[times.len() / 2].0, times[times.len() - 1]);
    println!("median {median:?}, slowest {slowest:?} (with its seed), {late} late");
    assert_eq!(late, 0, "the slowest took {slowest:?}");
}

/// Guards against campaigns that are given up before the disk has synced the votes, and that then
/// keep the other voters from the next campaign.
#[test_case(3, 2_000)]
#[test_case(3, 5_000)]
#[test_case(3, 12_000)]
#[test_case(5, 5_000)]
fn the_log_commits_soon_after_stalled_disks_are_well(voters: usize, stall_ms: u64) {
    let recovery = |seed| {
        let mut cluster = start_group(seed, voters);
        let leader = cluster.leader().unwrap();
        let end = cluster.now + Duration::from_millis(stall_ms);
        (0..voters).for_each(|index| cluster.stall_disk(index, end));
        cluster.nodes[leader].is_paused = true;
        while cluster.now < end {
            cluster.advance();
        }
        cluster.nodes[leader].is_paused = false;
        (time_to_commit(&mut cluster), seed)
    };
    assert_none_late((0..SEEDS).map(recovery).collect(), MAX_RECOVERY);
}

/// Guards against elections that can never be won because the syncs of the two ballots take longer
/// than the lease or the election timeout.
#[test_case(3, 300)]
#[test_case(3, 600)]
#[test_case(3, 1_000)]
#[test_case(3, 2_000)]
#[test_case(5, 600)]
#[test_case(5, 2_000)]
fn a_leader_is_elected_while_each_sync_is_slow(voters: usize, sync_ms: u64) {
    let sync_time = Duration::from_millis(sync_ms);
    let election = |seed| {
        let mut cluster = start_group(seed, voters);
        let leader = cluster.leader().unwrap();
        (0..voters).for_each(|index| cluster.set_sync_time(index, Some(sync_time)));
        cluster.crash(leader);
        (time_to_commit(&mut cluster), seed)
    };
    // The two ballots, the entries of the leader and the command, each behind a sync in progress.
    let limit = 2 * MAX_RECOVERY + 8 * sync_time;
    assert_none_late((0..SEEDS).map(election).collect(), limit);
}

/// Guards against a group that finds no leader after a restart because its disks stall in between. It
/// passed before the syncs were allowed for, too.
#[test_case(3, 4_000)]
#[test_case(3, 1_500)]
#[test_case(5, 4_000)]
fn a_restarted_group_commits_although_its_disks_stall_again_and_again(
    voters: usize,
    stall_ms: u64,
) {
    let stall = Duration::from_millis(stall_ms);
    let restart = |seed| {
        let mut cluster = start_group(seed, voters);
        (0..voters).for_each(|index| cluster.crash(index));
        let first = cluster.now + Duration::from_millis(seed * 37 % (2 * stall_ms));
        (0..voters).for_each(|index| cluster.start(index));
        let mut next = first;
        let begin = cluster.now;
        let applied = cluster.commands();
        while cluster.commands() == applied {
            if cluster.now >= next {
                (0..voters).for_each(|index| cluster.stall_disk(index, next + stall));
                next += 2 * stall;
            }
            if cluster.leader().is_some() {
                cluster.propose();
            }
            cluster.advance();
            let limit = begin + Duration::from_secs(60);
            assert!(cluster.now < limit, "seed {seed}: no command was committed");
        }
        (cluster.now - begin, seed)
    };
    assert_none_late((0..SEEDS).map(restart).collect(), 2 * stall + MAX_RECOVERY);
}
