//! Proposals that are in flight when the leader is lost.

#![allow(clippy::unwrap_used)]

mod support;

use serde_json::json;
use support::log::{Outcome, TOKEN, leader_of, operators, take, take_surely, wait_for_lease};
use support::{Fleet, Plan};

/// Leaders that are frozen, one after the other; an election may take as long as a proposal waits.
const ROUNDS: usize = 4;

fn fleet() -> Fleet {
    let plan = Plan::new(&["giza", "cairo", "delta", "giza"])
        .with_voters(3)
        .with_setting("operator_tokens", json!({ "tester": TOKEN }));
    Fleet::start_plan(plan)
}

#[test]
fn a_proposal_at_a_frozen_leader_is_answered_by_the_next_one() {
    let fleet = fleet();
    let mut answered = 0;
    for round in 0..ROUNDS {
        let leader = leader_of(&fleet, &[0, 1, 2]);
        take_surely(&fleet, 3, &format!("before-{round}"));
        fleet.instances[leader].process.signal("STOP");
        let resource = format!("in-flight-{round}");
        let outcome = take(operators(&fleet, 3), &resource);
        fleet.instances[leader].process.signal("CONT");
        if matches!(outcome, Outcome::Granted(_)) {
            answered += 1;
            wait_for_lease(&fleet, leader, &resource);
        }
        take_surely(&fleet, 3, &format!("after-{round}"));
    }
    println!("{answered} of {ROUNDS} proposals were answered");
    assert!(answered > 0, "no proposal outlived its leader");
}
