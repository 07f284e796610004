//! The load bound under random interleavings of callers, joins, leaves, flapping, split views and
//! message loss.

#![allow(clippy::unwrap_used)]

mod simulation;

use std::time::Duration;

use rand::RngExt;
use simulation::Simulation;
use simulation::records::{instance, record};

/// Time that the aggregated load takes to follow a load that falls because shares are reduced.
const LOAD_LAG: Duration = Duration::from_millis(400);

/// Returns the number of seeds for each test: `SEEDS` from the environment, or 40.
fn seeds() -> u64 {
    std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(40)
}

#[test]
fn bound_holds_and_no_request_is_refused_while_views_agree() {
    let (mut answered, mut refused, mut bytes) = (0, 0, 0);
    for seed in 0..seeds() {
        let mut simulation = Simulation::new(3, 6, 40, seed);
        simulation.run(2000);
        answered += simulation.answered;
        refused += simulation.refused;
        bytes += simulation.bytes;
    }
    let (seeds, bytes) = (seeds(), bytes / answered);
    println!("{seeds} seeds: {answered} answered, {refused} refused, {bytes} bytes per call");
    assert_eq!(refused, 0);
}

#[test]
fn bound_holds_while_instances_crash_and_return() {
    let mut answered = 0;
    for seed in 0..seeds() {
        let mut simulation = Simulation::new(4, 6, 40, seed);
        simulation.load_lag = LOAD_LAG;
        simulation.run(600);
        for round in 0..3 {
            let victim = (seed as usize + round) % 4;
            simulation.crash(victim);
            let gap = simulation.random.random_range(0..300);
            simulation.run(gap);
            simulation.spread_view(victim, false, gap / 4);
            simulation.run(400);
            simulation.unnoticed = 0;
            simulation.run(200);
            for other in (0..4).filter(|other| *other != victim) {
                simulation
                    .with_node(other, |node, context| node.end_member(context, &instance(victim)));
            }
            simulation.nodes[victim] =
                Some(simulation.node(victim, seed + 1000 * (round as u64 + 1)));
            simulation.apply_view(victim);
            simulation.spread_view(victim, true, gap / 4);
            simulation.run(300);
        }
        assert_eq!(simulation.refused, 0, "seed {seed}");
        answered += simulation.answered;
    }
    println!("{} seeds with crashes: {answered} answered", seeds());
}

#[test]
fn bound_holds_while_views_of_live_instances_differ() {
    let mut answered = 0;
    for seed in 0..seeds() {
        let mut simulation = Simulation::new(4, 6, 40, seed);
        simulation.run(600);
        let separated = seed as usize % 4;
        // The load falls while shares are reduced, and the aggregated load lags behind.
        simulation.load_lag = LOAD_LAG;
        for other in (0..4).filter(|other| *other != separated && other % 2 == 0) {
            simulation.views[other].retain(|member| *member != separated);
            simulation.apply_view(other);
        }
        simulation.run(1000);
        simulation.spread_view(separated, true, 5);
        simulation.run(600);
        answered += simulation.answered;
    }
    println!("{} seeds with split views: {answered} answered", seeds());
}

#[test]
fn bound_holds_while_upstreams_join_and_leave() {
    for seed in 0..seeds() {
        let mut simulation = Simulation::new(3, 6, 40, seed);
        simulation.run(1200);
        simulation.leaving = vec![2];
        simulation.change_upstream(&record(2, 2, true, false), 2);
        simulation.run(1200);
        simulation.change_upstream(&record(2, 3, false, true), 2);
        simulation.run(200);
        simulation.change_upstream(&record(2, 4, false, false), 2);
        simulation.run(20);
        simulation.leaving.clear();
        simulation.run(1200);
        assert_eq!(simulation.refused, 0, "seed {seed}");
    }
}

#[test]
fn lost_messages_leak_no_permits() {
    for seed in 0..seeds() / 2 {
        let mut simulation = Simulation::new(3, 4, 20, seed);
        simulation.loss_percent = 5;
        simulation.run(2000);
        simulation.loss_percent = 0;
        simulation.run(5000);
        simulation.is_stopping = true;
        simulation.run(15000);
        let in_use: u32 = simulation.nodes.iter().flatten().map(|node| node.counts().1).sum();
        assert_eq!(in_use, 0, "seed {seed}");
    }
}
