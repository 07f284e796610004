//! Groups of cores under lost, reordered and duplicated messages, crashes, cuts and freezes.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use common::world::{Faults, World};
use rand::RngExt;
use state::{Core, Entry, Payload};
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
    has_amendments: false,
};

const ROUGH: Faults = Faults {
    loss: 5,
    duplicates: 5,
    max_delay: Duration::from_millis(60),
    has_outages: true,
    has_lost_folders: false,
    has_amendments: false,
};

const WORST: Faults = Faults { has_lost_folders: true, ..ROUGH };

const AMENDED: Faults = Faults { has_amendments: true, ..WORST };

/// Lets one outage begin or end, at random.
fn disturb(world: &mut World) {
    let index = world.random.random_range(0..world.nodes.len());
    let is_down = world.nodes[index].core.is_none();
    match world.random.random_range(0..14) {
        0 if !is_down => world.crash(index),
        1 if !is_down => {
            let count = world.random.random_range(0..8);
            world.nodes[index].folder.fail_after(count);
        }
        2 if !is_down => world.nodes[index].is_frozen = true,
        3 => world.nodes[index].is_cut = true,
        7 if !is_down => world.retire(index),
        4 if world.faults.has_lost_folders && world.is_repaired() => world.lose_folder(index),
        8 => world.nodes[index].is_deaf = true,
        5 | 6 => world.nodes.iter_mut().for_each(|node| {
            node.is_cut = false;
            node.is_deaf = false;
        }),
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
        if faults.has_amendments && world.random.random_range(0..15) == 0 {
            world.amend();
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

#[test]
fn a_planned_stop_of_the_leader_hands_over_at_once() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, CALM);
        let leader = settle(&mut world);
        world.propose();
        world.retire(leader);
        (0..20).for_each(|_| world.advance());
        let next = world.leader();
        assert!(next.is_some() && next != Some(leader), "seed {seed}: {next:?} leads");
        world.heal();
    }
}

/// Waits until somebody leads a group that needs no repair; gives the leader.
fn settle(world: &mut World) -> usize {
    for _ in 0..10_000 {
        world.advance();
        if world.is_repaired() {
            return world.leader().unwrap();
        }
    }
    panic!("seed {}: nobody leads", world.seed);
}

/// A group of four, of which the first three vote and the last has an empty folder.
fn with_spare(seed: u64) -> World {
    let mut world = World::new(seed, 4, CALM);
    settle(&mut world);
    for _ in 0..1000 {
        (0..4).for_each(|index| world.target(index, 0, 3));
        world.advance();
        let leader = world.leader().and_then(|leader| world.nodes[leader].core.as_ref());
        if leader.is_some_and(Core::has_target_members) {
            world.lose_folder(3);
            world.start(3);
            return world;
        }
    }
    panic!("seed {seed}: four still vote");
}

#[test_case(None; "the spare node")]
#[test_case(Some(1); "a node that lost its folder")]
fn whoever_knows_that_it_votes_in_place_of_another_can_bear_the_next_loss(wiped: Option<usize>) {
    for seed in 0..40 {
        let mut world = with_spare(seed);
        // Nodes 1 to 3 shall vote once node 0 is lost, or node 1 again once it lost its folder.
        let (lost, first) = wiped.map_or((0, 1), |wiped| (wiped, 0));
        world.crash(lost);
        if wiped.is_some() {
            world.lose_folder(lost);
            world.start(lost);
        } else {
            // The leader asks for another voter only after a longer silence.
            (0..300).for_each(|_| world.advance());
        }
        let successor = wiped.unwrap_or(3);
        for step in 0.. {
            assert!(step < 1000, "seed {seed}: node {successor} does not vote");
            (0..4).for_each(|index| world.target(index, first, 3));
            world.advance();
            let core = world.nodes[successor].core.as_ref();
            if core.is_some_and(Core::is_voter) {
                break;
            }
        }
        world.crash(if wiped.is_some() { 0 } else { 1 });
        let is_led = (0..500).any(|_| {
            world.advance();
            world.leader().is_some()
        });
        assert!(is_led, "seed {seed}: nobody leads:\n{}", world.show());
    }
}

#[test_case(false; "with the log")]
#[test_case(true; "with a snapshot")]
fn an_admission_that_is_lost_with_its_leader_is_made_again(has_snapshot: bool) {
    for seed in 0..20 {
        let mut world = World::new(seed, 5, CALM);
        let leader = settle(&mut world);
        for _ in 0..20 {
            world.propose();
            world.advance();
        }
        if has_snapshot {
            world.compact(leader);
        }
        let lost = (leader + 1) % 5;
        world.lose_folder(lost);
        for index in (0..5).filter(|index| *index != leader && *index != lost) {
            world.nodes[index].is_cut = true;
        }
        world.start(lost);
        let admitted = (0..85).any(|_| {
            world.advance();
            let core = world.nodes[lost].core.as_ref();
            core.is_some_and(|core| core.members().find(core.voter()).is_some())
        });
        assert!(admitted || has_snapshot, "seed {seed}");
        world.crash(leader);
        world.nodes.iter_mut().for_each(|node| node.is_cut = false);
        (0..500).for_each(|_| world.advance());
        world.heal();
    }
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

#[test]
fn promises_hold_while_the_voters_are_changed_again_and_again() {
    let mut changes = 0;
    for seed in 0..seeds() {
        let world = run(seed, 5, AMENDED);
        let is_change = |entry: &&Entry| matches!(entry.payload, Payload::Members(_));
        changes += world.applied.values().filter(is_change).count();
    }
    println!("{changes} changes of the members in {} seeds", seeds());
    assert!(changes as u64 > 5 * seeds(), "{changes} changes");
}
