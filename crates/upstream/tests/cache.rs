//! The cache index does not report content that may be wrong after a gap in the events.

#![allow(clippy::unwrap_used)]

use names::{Incarnation, Upstream};
use proptest::prelude::*;
use upstream::cache::{Block, Change, Events, Index, Outcome, Snapshot};

const CASES: u32 = 256;

fn name() -> Upstream {
    "engine-1".parse().unwrap()
}

fn events(incarnation: u64, first: u64, changes: Vec<Change>) -> Events {
    Events { upstream: name(), incarnation: Incarnation(incarnation), first, changes }
}

/// An engine that records the content of its cache after each change.
struct Engine {
    incarnation: u64,
    changes: Vec<Change>,
    states: Vec<Vec<Block>>,
}

impl Engine {
    fn new(incarnation: u64) -> Self {
        Self { incarnation, changes: Vec::new(), states: vec![Vec::new()] }
    }

    fn toggle(&mut self, number: u64) {
        let mut state = self.states.last().unwrap().clone();
        let block = Block(number);
        match state.binary_search(&block) {
            Ok(index) => {
                state.remove(index);
                self.changes.push(Change::Evicted(block));
            }
            Err(index) => {
                state.insert(index, block);
                self.changes.push(Change::Stored(block));
            }
        }
        self.states.push(state);
    }

    fn snapshot(&self) -> Snapshot {
        Snapshot {
            upstream: name(),
            incarnation: Incarnation(self.incarnation),
            next: self.changes.len() as u64,
            blocks: self.states.last().unwrap().clone(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    /// With lost, late and repeated messages and restarts, the content that the index reports was
    /// the content of the newest incarnation's cache at some time, and after a resync it is the
    /// current content.
    #[test]
    fn reported_content_matches_a_past_state_of_the_cache(
        steps in prop::collection::vec((0..12_u64, 0..8_u8, any::<prop::sample::Index>()), 1..200),
    ) {
        let mut engine = Engine::new(1);
        let mut index = Index::default();
        let mut late: Vec<Events> = Vec::new();
        for (number, fate, pick) in steps {
            if fate == 7 && number == 0 {
                engine = Engine::new(engine.incarnation + 1);
                index.take(events(engine.incarnation, 0, Vec::new()));
            }
            engine.toggle(number);
            let first = engine.changes.len() as u64 - 1;
            let newest = events(engine.incarnation, first, vec![engine.changes[first as usize]]);
            let outcome = match fate {
                0 => None,
                1 => { late.push(newest); None }
                2 if !late.is_empty() => Some(index.take(late[pick.index(late.len())].clone())),
                _ => Some(index.take(newest)),
            };
            let blocks: Vec<Block> = (0..12).map(Block).collect();
            if let Some(length) = index.len(&name()) {
                let matches_index = |state: &Vec<Block>| {
                    state.len() == length && blocks.iter().all(|block| {
                        let cached = index.reuse(&name(), &[*block]) == Some(1);
                        cached == state.contains(block)
                    })
                };
                prop_assert!(engine.states.iter().any(matches_index));
            }
            if outcome == Some(Outcome::Resync) {
                prop_assert_eq!(index.len(&name()), None);
                prop_assert_eq!(index.reset(engine.snapshot()), Outcome::Applied);
                prop_assert_eq!(index.len(&name()), Some(engine.states.last().unwrap().len()));
            }
        }
    }
}

#[test]
fn a_gap_invalidates_the_index_until_a_snapshot_arrives() {
    let stored = |number| Change::Stored(Block(number));
    let mut index = Index::default();
    assert_eq!(index.take(events(1, 0, vec![stored(1), stored(2)])), Outcome::Applied);
    assert_eq!(index.reuse(&name(), &[Block(1), Block(2), Block(3)]), Some(2));
    assert_eq!(index.take(events(1, 3, vec![stored(4)])), Outcome::Resync);
    assert_eq!(index.reuse(&name(), &[Block(1)]), None);
    assert_eq!(index.take(events(1, 2, vec![stored(3)])), Outcome::Resync);
    let blocks = vec![Block(4), Block(1)];
    let snapshot = Snapshot { upstream: name(), incarnation: Incarnation(1), next: 4, blocks };
    assert_eq!(index.reset(snapshot.clone()), Outcome::Applied);
    assert_eq!(index.take(events(1, 2, vec![stored(3), stored(4), stored(5)])), Outcome::Applied);
    assert_eq!(index.reuse(&name(), &[Block(1), Block(5), Block(2)]), Some(2));
    assert_eq!(index.reset(snapshot), Outcome::Repeated);
    assert_eq!(index.take(events(0, 0, vec![stored(9)])), Outcome::Repeated);
    assert_eq!(index.take(events(2, 5, vec![stored(9)])), Outcome::Resync);
}

#[test]
fn changes_at_the_end_of_the_numbers_do_not_overflow_the_count() {
    let (upstream, incarnation) = (name(), Incarnation(1));
    let mut index = Index::default();
    index.reset(Snapshot { upstream, incarnation, next: u64::MAX - 1, blocks: Vec::new() });
    let changes = vec![Change::Stored(Block(1)), Change::Stored(Block(2))];
    index.take(events(1, u64::MAX - 1, changes.clone()));
    index.take(events(1, u64::MAX, changes.clone()));
    assert_eq!(index.take(events(2, 0, changes)), Outcome::Applied);
    assert_eq!(index.len(&name()), Some(2));
}
