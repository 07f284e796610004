//! Changes of a large document through the replicated log over slow links.
//!
//! The document has 245 KB and is changed again as soon as the previous change is acknowledged,
//! while operators read the document two or three times a second. Two of five control instances are
//! partitioned from the others for five seconds. The tests guard against a loss of the leader: the
//! log had no leader for five seconds after a network partition had healed.

#![allow(clippy::unwrap_used)]

mod simulation;

use std::time::Duration;

use simulation::Simulation;
use simulation::operator::{compressed_bytes, text};
use state::Term;
use test_case::test_case;

/// Maximum time until a change is acknowledged.
const MAX_ACKNOWLEDGEMENT_TIME: Duration = Duration::from_secs(5);

/// Time during which the document keeps changing.
const CHANGE_DURATION: Duration = Duration::from_secs(20);

/// Maximum time after a partition until all instances have the newest document.
const MAX_CATCH_UP_TIME: Duration = Duration::from_secs(6);

/// Keeps changing the document and checks that the leader of `term` remains the leader.
fn check_leader_is_stable(simulation: &mut Simulation, term: Term) {
    simulation.change_for(CHANGE_DURATION);
    println!(
        "{} changes, the longest took {:?}",
        simulation.document_number(),
        simulation.longest_change()
    );
    assert_eq!(
        (simulation.highest_term(), simulation.leader_count()),
        (term, 1),
        "the leader has changed"
    );
    assert!(
        simulation.longest_change() <= MAX_ACKNOWLEDGEMENT_TIME,
        "{:?}",
        simulation.longest_change()
    );
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn the_leader_is_stable_while_a_large_document_is_changed_and_read(seed: u64) {
    let mut simulation = Simulation::new(seed);
    let term = simulation.highest_term();
    simulation.start_reads();
    check_leader_is_stable(&mut simulation, term);
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn the_leader_is_stable_after_a_partition_while_a_large_document_is_changed_and_read(seed: u64) {
    let mut simulation = Simulation::new(seed);
    simulation.start_reads();
    simulation.partitioned = simulation.followers(2);
    simulation.change_for(Duration::from_secs(5));
    let term = simulation.highest_term();
    simulation.partitioned.clear();
    check_leader_is_stable(&mut simulation, term);
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_partitioned_instance_receives_each_missing_document_once(seed: u64) {
    let mut simulation = Simulation::new(seed);
    simulation.partitioned = simulation.followers(2);
    (0..4).for_each(|_| simulation.change());
    simulation.run(Duration::from_secs(2));
    simulation.nodes.iter_mut().for_each(|node| node.sent_bytes = 0);
    simulation.partitioned.clear();
    let has_converged = simulation.run_until(MAX_CATCH_UP_TIME, Simulation::has_converged);
    simulation.run(Duration::from_secs(2));
    let max_sent_bytes = simulation.nodes.iter().map(|node| node.sent_bytes).max().unwrap();
    let document_bytes = compressed_bytes();
    println!(
        "{max_sent_bytes} bytes sent at most, {} bytes of text compressed to {document_bytes}",
        text(1).len()
    );
    assert!(
        has_converged,
        "some instances do not have the newest document after {MAX_CATCH_UP_TIME:?}"
    );
    assert!(
        max_sent_bytes <= 2 * 5 * document_bytes,
        "{max_sent_bytes} bytes sent to two instances that miss four documents"
    );
}
