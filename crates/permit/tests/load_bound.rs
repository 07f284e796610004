//! The load bound over interleavings of callers, joins, leaves, flaps, split views and losses.

#![allow(clippy::unwrap_used)]

mod world;

use std::time::Duration;

use rand::RngExt;
use world::World;
use world::records::{instance, record};

/// How long sums take to follow a load that falls because shares are reduced.
const SUMS_LAG: Duration = Duration::from_millis(400);

/// Seeds that each property runs: `SEEDS` from the environment, few in CI.
fn seeds() -> u64 {
    std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(40)
}

#[test]
fn the_bound_holds_and_all_are_served_while_views_agree() {
    let (mut answered, mut refused, mut bytes) = (0, 0, 0);
    for seed in 0..seeds() {
        let mut world = World::new(3, 6, 40, seed);
        world.run(2000);
        answered += world.answered;
        refused += world.refused;
        bytes += world.bytes;
    }
    let (seeds, bytes) = (seeds(), bytes / answered);
    println!("{seeds} seeds: {answered} answered, {refused} refused, {bytes} bytes a call");
    assert_eq!(refused, 0);
}

#[test]
fn the_bound_holds_when_instances_die_return_and_flap() {
    let mut answered = 0;
    for seed in 0..seeds() {
        let mut world = World::new(4, 6, 40, seed);
        world.sums_lag = SUMS_LAG;
        world.run(600);
        for round in 0..3 {
            let victim = (seed as usize + round) % 4;
            world.kill(victim);
            let gap = world.random.random_range(0..300);
            world.run(gap);
            world.spread_view(victim, false, gap / 4);
            world.run(400);
            world.ghosts = 0;
            world.run(200);
            for other in (0..4).filter(|other| *other != victim) {
                world.with(other, |node, context| node.end_member(context, &instance(victim)));
            }
            world.nodes[victim] = Some(world.node(victim, seed + 1000 * (round as u64 + 1)));
            world.apply_view(victim);
            world.spread_view(victim, true, gap / 4);
            world.run(300);
        }
        assert_eq!(world.refused, 0, "seed {seed}");
        answered += world.answered;
    }
    println!("{} seeds with deaths: {answered} answered", seeds());
}

#[test]
fn the_bound_holds_while_views_of_living_instances_split() {
    let mut answered = 0;
    for seed in 0..seeds() {
        let mut world = World::new(4, 6, 40, seed);
        world.run(600);
        let away = seed as usize % 4;
        // The load falls while shares are reduced, and sums follow it.
        world.sums_lag = SUMS_LAG;
        for other in (0..4).filter(|other| *other != away && other % 2 == 0) {
            world.views[other].retain(|member| *member != away);
            world.apply_view(other);
        }
        world.run(1000);
        world.spread_view(away, true, 5);
        world.run(600);
        answered += world.answered;
    }
    println!("{} seeds with split views: {answered} answered", seeds());
}

#[test]
fn upstreams_that_join_and_leave_keep_the_bound() {
    for seed in 0..seeds() {
        let mut world = World::new(3, 6, 40, seed);
        world.run(1200);
        world.leaving = vec![2];
        world.change_upstream(&record(2, 2, true, false), 2);
        world.run(1200);
        world.change_upstream(&record(2, 3, false, true), 2);
        world.run(200);
        world.change_upstream(&record(2, 4, false, false), 2);
        world.run(20);
        world.leaving.clear();
        world.run(1200);
        assert_eq!(world.refused, 0, "seed {seed}");
    }
}

#[test]
fn lost_messages_leak_no_permit() {
    for seed in 0..seeds() / 2 {
        let mut world = World::new(3, 4, 20, seed);
        world.loss_percent = 5;
        world.run(2000);
        world.loss_percent = 0;
        world.run(5000);
        world.is_closing = true;
        world.run(15000);
        let given: u32 = world.nodes.iter().flatten().map(|node| node.owned().1).sum();
        assert_eq!(given, 0, "seed {seed}");
    }
}
