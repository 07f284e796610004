//! Upstreams that announce more slots than the sum of all can count.

#![allow(clippy::unwrap_used)]

mod simulation;

use simulation::Simulation;

#[test]
fn slots_whose_sum_no_number_holds_neither_end_an_owner_nor_refuse_a_request() {
    let mut simulation = Simulation::with_slots(3, 4, 20, u32::MAX, 1);
    simulation.run(1000);
    assert_eq!(simulation.refused, 0);
    assert!(simulation.answered > 0);
}
