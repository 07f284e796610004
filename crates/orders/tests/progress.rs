//! Tests that rollouts proceed in steps at the declared interval and halt on a failure.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use declare::{Action, Rollout};
use names::Upstream;
use orders::{Engine, Plan, RolloutProgress, RolloutStatus};
use units::Span;

fn rollout(at_once: u32) -> Rollout {
    Rollout {
        model: "caption-2".parse().unwrap(),
        action: Action::Load,
        upstreams: "app=captions".parse().unwrap(),
        at_once,
        interval: Span::from_seconds(2),
    }
}

fn plan(at_once: u32) -> Plan {
    Plan::from(&rollout(at_once))
}

fn upstream(number: usize) -> Upstream {
    format!("engine-{number}").parse().unwrap()
}

fn engines(done: &[bool]) -> Vec<Engine> {
    let numbered = done.iter().enumerate();
    numbered
        .map(|(number, is_done)| Engine {
            upstream: upstream(number),
            is_done: *is_done,
            can_apply: true,
        })
        .collect()
}

#[test]
fn engines_load_one_after_another_at_the_declared_interval() {
    let now = Instant::now();
    let mut progress = RolloutProgress::new(plan(1));
    assert_eq!(progress.next_order(now, &engines(&[false, false])), Some(upstream(0)));
    let later = now + Duration::from_secs(3);
    assert_eq!(progress.next_order(later, &engines(&[false, false])), None);
    assert_eq!(progress.next_order(later, &engines(&[true, false])), Some(upstream(1)));
    assert_eq!(progress.status(&engines(&[true, true])), RolloutStatus::Done);
}

/// The interval limits the rate at which engines load models from the weight store.
#[test]
fn orders_are_at_least_the_declared_interval_apart() {
    let now = Instant::now();
    let mut progress = RolloutProgress::new(plan(3));
    let waiting = engines(&[false, false, false]);
    assert_eq!(progress.next_order(now, &waiting), Some(upstream(0)));
    assert_eq!(progress.next_order(now + Duration::from_millis(1999), &waiting), None);
    assert_eq!(progress.next_order(now + Duration::from_secs(2), &waiting), Some(upstream(1)));
}

#[test]
fn an_engine_that_disappears_halts_the_rollout() {
    let now = Instant::now();
    let mut progress = RolloutProgress::new(plan(1));
    assert_eq!(progress.next_order(now, &engines(&[false, false])), Some(upstream(0)));
    let remaining = engines(&[true, false])[1..].to_vec();
    assert_eq!(progress.next_order(now + Duration::from_secs(3), &remaining), None);
    assert_eq!(progress.status(&remaining), RolloutStatus::Halted(upstream(0)));
}

#[test]
fn an_engine_that_never_announces_the_model_halts_the_rollout() {
    let now = Instant::now();
    let mut progress = RolloutProgress::new(plan(1));
    let waiting = engines(&[false, false]);
    assert_eq!(progress.next_order(now, &waiting), Some(upstream(0)));
    assert_eq!(progress.next_order(now + Duration::from_secs(121), &waiting), None);
    assert_eq!(progress.status(&waiting), RolloutStatus::Halted(upstream(0)));
}

#[test]
fn a_failed_order_is_sent_again() {
    let now = Instant::now();
    let mut progress = RolloutProgress::new(plan(1));
    let waiting = engines(&[false]);
    assert_eq!(progress.next_order(now, &waiting), Some(upstream(0)));
    progress.order_failed(&upstream(0));
    assert_eq!(progress.next_order(now + Duration::from_secs(2), &waiting), Some(upstream(0)));
}

#[test]
fn an_engine_that_cannot_carry_out_its_order_halts_the_rollout_without_an_order() {
    let now = Instant::now();
    let mut progress =
        RolloutProgress::new(Plan::from(&Rollout { action: Action::Unload, ..rollout(1) }));
    let mut waiting = engines(&[true, false]);
    waiting[1].can_apply = false;
    assert_eq!(progress.next_order(now, &waiting), None);
    assert_eq!(progress.status(&waiting), RolloutStatus::Halted(upstream(1)));
}
