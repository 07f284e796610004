//! Followed instances in small and large fleets.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use names::Instance;
use roster::Tree;

const ENTRIES: usize = 59;
const CONTROLS: usize = 5;

/// Time without messages after which a source counts as silent.
const SILENT_DURATION: Duration = Duration::from_millis(1400);

fn entry(number: usize) -> Instance {
    format!("entry-{number}").parse().unwrap()
}

fn controls() -> Vec<Instance> {
    (0..CONTROLS).map(|number| format!("control-{number}").parse().unwrap()).collect()
}

/// Returns the tree of each entry instance of a data centre.
fn trees(now: Instant, is_large_fleet: bool) -> Vec<Tree> {
    let tree = |number: usize| {
        let others = (0..ENTRIES).filter(|other| *other != number);
        let neighbours: Vec<Instance> = others.map(entry).collect();
        let mut tree = Tree::new(entry(number), false);
        tree.set_members(now, controls(), &neighbours, is_large_fleet);
        tree
    };
    (0..ENTRIES).map(tree).collect()
}

#[test]
fn a_few_relays_follow_control_instances_and_other_instances_follow_relays() {
    let now = Instant::now();
    let trees = trees(now, true);
    let relays: Vec<usize> = (0..ENTRIES).filter(|number| trees[*number].is_relay()).collect();
    assert_eq!(relays.len(), 4);
    for (number, tree) in trees.iter().enumerate() {
        let followed = tree.followed(now);
        if relays.contains(&number) {
            assert_eq!(followed, controls());
        } else {
            assert_eq!(followed.len(), 3);
            assert!(
                followed.iter().all(|source| relays.iter().any(|relay| entry(*relay) == *source))
            );
        }
    }
}

#[test]
fn all_instances_follow_control_instances_in_a_small_fleet() {
    let now = Instant::now();
    assert!(trees(now, false).iter().all(|tree| tree.followed(now) == controls()));
    assert!(trees(now, false).iter().all(|tree| !tree.forwards_updates()));
}

#[test]
fn an_instance_with_silent_relays_follows_control_instances_until_they_recover() {
    let begin = Instant::now();
    let mut trees = trees(begin, true);
    let follower = trees.iter_mut().find(|tree| !tree.is_relay()).unwrap();
    let relays = follower.followed(begin);
    let later = begin + SILENT_DURATION;
    let followed = follower.followed(later);
    assert_eq!(followed.iter().filter(|instance| controls().contains(instance)).count(), 3);
    assert!(
        relays.iter().all(|relay| followed.contains(relay)),
        "silent relays are still followed"
    );
    for relay in &relays {
        follower.record_message(later, relay);
    }
    let followed = follower.followed(later);
    assert!(!followed.iter().any(|instance| controls().contains(instance)));
    assert!(relays.iter().all(|relay| followed.contains(relay)));
}

#[test]
fn a_relay_that_leaves_is_replaced() {
    let now = Instant::now();
    let mut trees = trees(now, true);
    let relays: Vec<usize> = (0..ENTRIES).filter(|number| trees[*number].is_relay()).collect();
    let removed = relays[0];
    for (number, tree) in trees.iter_mut().enumerate() {
        let others = (0..ENTRIES).filter(|other| *other != number && *other != removed);
        let neighbours: Vec<Instance> = others.map(entry).collect();
        tree.set_members(now, controls(), &neighbours, true);
    }
    let new: Vec<usize> =
        (0..ENTRIES).filter(|number| *number != removed && trees[*number].is_relay()).collect();
    assert_eq!(new.len(), 4);
    assert!(relays[1..].iter().all(|relay| new.contains(relay)), "the other relays stay");
}

#[test]
fn control_instances_do_not_forward_updates_of_other_control_instances() {
    let now = Instant::now();
    let me: Instance = "control-0".parse().unwrap();
    let mut tree = Tree::new(me, true);
    let others: Vec<Instance> = controls()[1..].to_vec();
    tree.set_members(now, others, &[entry(1), entry(2)], true);
    assert!(!tree.forwards_updates_of(&controls()[1]));
    assert!(tree.forwards_updates_of(&entry(1)));
    assert!(!tree.is_relay() && tree.forwards_updates());
}
