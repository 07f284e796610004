//! Test of proposals that are in flight when the leader freezes.

#![allow(clippy::unwrap_used)]

mod support;

use serde_json::json;
use support::replicated_log::{
    Outcome, TOKEN, operators, request_lease, request_lease_until_granted, wait_for_leader,
    wait_for_lease,
};
use support::{Fleet, Plan};

/// Number of leaders that are frozen in turn. An election may take as long as a proposal waits, so
/// some proposals may get no answer.
const ROUNDS: usize = 4;

fn start_fleet() -> Fleet {
    let plan = Plan::new(&["giza", "cairo", "delta", "giza"])
        .with_voters(3)
        .with_setting("operator_tokens", json!({ "tester": TOKEN }));
    Fleet::start_plan(plan)
}

#[test]
fn a_proposal_in_flight_at_a_frozen_leader_is_answered_by_the_next_leader() {
    let fleet = start_fleet();
    let mut answered_count = 0;
    for round in 0..ROUNDS {
        let leader = wait_for_leader(&fleet, &[0, 1, 2]);
        request_lease_until_granted(&fleet, 3, &format!("before-{round}"));
        fleet.instances[leader].process.signal("STOP");
        let resource = format!("in-flight-{round}");
        let outcome = request_lease(operators(&fleet, 3), &resource);
        fleet.instances[leader].process.signal("CONT");
        if matches!(outcome, Outcome::Granted(_)) {
            answered_count += 1;
            wait_for_lease(&fleet, leader, &resource);
        }
        request_lease_until_granted(&fleet, 3, &format!("after-{round}"));
    }
    println!("{answered_count} of {ROUNDS} proposals were answered");
    assert!(answered_count > 0, "no proposal was answered after its leader froze");
}
