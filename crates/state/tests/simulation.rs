//! Groups of cores under lost, reordered and duplicated messages, crashes, cuts and freezes.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use common::world::{Faults, World};
use rand::RngExt;
use test_case::test_case;

/// Seeds of each run in CI.
const SEEDS: u64 = 80;

const STEPS: usize = 1500;

const CALM: Faults = Faults {
    loss: 0,
    duplicates: 0,
    max_delay: Duration::from_millis(5),
    has_outages: false,
    has_lost_folders: false,
};

const ROUGH: Faults = Faults {
    loss: 5,
    duplicates: 5,
    max_delay: Duration::from_millis(60),
    has_outages: true,
    has_lost_folders: false,
};

const WORST: Faults = Faults { has_lost_folders: true, ..ROUGH };

/// Lets one outage begin or end, at random.
fn disturb(world: &mut World) {
    let index = world.random.random_range(0..world.nodes.len());
    let is_down = world.nodes[index].core.is_none();
    match world.random.random_range(0..12) {
        0 if !is_down => world.crash(index),
        1 if !is_down => {
            let count = world.random.random_range(0..8);
            world.nodes[index].folder.fail_after(count);
        }
        2 if !is_down => world.nodes[index].is_frozen = true,
        3 => world.nodes[index].is_cut = true,
        4 if world.faults.has_lost_folders && world.is_repaired() => world.lose_folder(index),
        5 | 6 => world.nodes.iter_mut().for_each(|node| node.is_cut = false),
        _ if is_down => world.start(index),
        _ => world.nodes[index].is_frozen = false,
    }
}

fn run(seed: u64, size: usize, faults: Faults) -> World {
    let mut world = World::new(seed, size, faults);
    for step in 0..STEPS {
        world.advance();
        if world.random.random_range(0..3) == 0 {
            world.propose();
        }
        if faults.has_outages && world.random.random_range(0..25) == 0 {
            disturb(&mut world);
        }
        if world.random.random_range(0..100) == 0 {
            let index = world.random.random_range(0..world.nodes.len());
            world.compact(index);
        }
        if step % 100 == 0 {
            world.check_logs();
        }
    }
    world.heal();
    world
}

fn seeds() -> u64 {
    std::env::var("SIMULATION_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

#[test_case(1)]
#[test_case(3)]
#[test_case(5)]
fn a_calm_group_commits(size: usize) {
    for seed in 0..5 {
        let world = run(seed, size, CALM);
        assert!(world.applied.len() > 300, "seed {seed}: {}", world.applied.len());
    }
}

/// Seeds that found a fault once.
#[test_case(1, ROUGH, 4; "entries in a segment before that of the snapshot")]
#[test_case(3, ROUGH, 160; "vote synced without the founding snapshot")]
#[test_case(3, ROUGH, 816; "suffix written again and cut short")]
#[test_case(3, WORST, 151; "learner promoted with an empty log")]
#[test_case(5, WORST, 206; "admission lost with its leader, snapshot there")]
#[test_case(5, WORST, 571; "admission lost with its leader, learner thinks it is one")]
#[test_case(3, WORST, 596; "entries synced without the first snapshot, three")]
#[test_case(5, WORST, 596; "entries synced without the first snapshot, five")]
fn a_seed_that_failed_once_passes(size: usize, faults: Faults, seed: u64) {
    run(seed, size, faults);
}

#[test_case(1, ROUGH; "one voter")]
#[test_case(3, ROUGH; "three voters")]
#[test_case(3, WORST; "three voters that lose folders")]
#[test_case(5, WORST; "five voters that lose folders")]
fn promises_hold_under_faults(size: usize, faults: Faults) {
    for seed in 0..seeds() {
        run(seed, size, faults);
    }
}
