//! Elections after a simultaneous restart of all voters, some of which lost their data folders.
//!
//! Of five voters, two have lost their folders, so the remaining three must all agree. Messages
//! take up to 150 ms, as at control instances that receive requests from 300 other instances at
//! once.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use common::cluster::{Cluster, Faults};
use test_case::test_case;

const SEEDS: u64 = 200;
const VOTERS: usize = 5;

/// Maximum time from the start of the voters until a leader is elected.
const MAX_TIME_TO_LEADER: Duration = Duration::from_secs(3);

/// Returns the time from the restart of all voters, `lost` of them without their data folders,
/// until a leader is elected.
fn time_to_leader(seed: u64, max_delay: Duration, lost: usize) -> Duration {
    let faults = Faults {
        loss: 0,
        duplicates: 0,
        max_delay,
        has_outages: false,
        has_lost_folders: false,
        has_voter_changes: false,
    };
    let mut cluster = Cluster::new(seed, VOTERS, faults);
    while !cluster.is_repaired() {
        cluster.advance();
    }
    (0..50).for_each(|_| cluster.advance());
    for index in 0..VOTERS {
        if index < lost { cluster.lose_folder(index) } else { cluster.crash(index) }
    }
    (0..VOTERS).for_each(|index| cluster.start(index));
    let begin = cluster.now;
    while cluster.leader().is_none() {
        cluster.advance();
        assert!(
            cluster.now < begin + Duration::from_secs(60),
            "seed {seed}: no leader was elected"
        );
    }
    cluster.now - begin
}

#[test_case(5, 2)]
#[test_case(50, 2)]
#[test_case(150, 2)]
#[test_case(150, 0)]
fn leader_is_elected_soon_after_a_restart_of_all_voters(max_delay_ms: u64, lost: usize) {
    let max_delay = Duration::from_millis(max_delay_ms);
    let mut times: Vec<(Duration, u64)> =
        (0..SEEDS).map(|seed| (time_to_leader(seed, max_delay, lost), seed)).collect();
    times.sort();
    let late = times.iter().filter(|(time, _)| *time > MAX_TIME_TO_LEADER).count();
    let (median, slowest) = (times[times.len() / 2].0, times[times.len() - 1]);
    println!("median {median:?}, slowest {slowest:?} (with its seed), {late} of {SEEDS} late");
    assert_eq!(late, 0, "the slowest took {slowest:?}");
}
