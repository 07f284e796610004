//! Tests that an acknowledged document is in force soon after a kill of all processes, even while
//! the log has no leader.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;

use support::machines::{Machine, Machines, document, put_document};
use support::wait_for;
use test_case::test_case;

/// Control instance that acknowledges a document, and the only one whose disk survives.
const ROUNDS: [(usize, usize); 6] = [(0, 1), (1, 2), (2, 0), (0, 2), (1, 0), (2, 1)];

/// How an operator obtains the acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    First,
    /// The document was sent to another control instance, whose acknowledgement was lost.
    RepeatedElsewhere,
}

/// Sends the document until the control instance at `acking` acknowledges it.
fn send_document(text: &str, attempt: Attempt, [acking, other]: [SocketAddr; 2]) {
    std::thread::scope(|scope| {
        if attempt == Attempt::RepeatedElsewhere {
            scope.spawn(|| put_document(other, text));
        }
        wait_for("acknowledgement of the document", || {
            let answer = put_document(acking, text).ok()?;
            (answer.status == 200).then_some(())
        });
    });
}

/// Kills the process and removes its log file, which then has the lines of the next process only.
fn kill(machine: &mut Machine) {
    machine.kill();
    std::fs::remove_file(machine.log()).unwrap();
}

fn start(machine: &mut Machine, seeds: &[SocketAddr]) {
    machine.write_settings(seeds, false);
    machine.start();
}

fn has_document(machine: &Machine, number: u64) -> bool {
    machine.events("catalogue").iter().any(|event| event["number"] == number)
}

/// Returns the number of the first document that the process had in force.
fn first_document(machine: &Machine) -> Option<u64> {
    machine.events("catalogue").first()?["number"].as_u64()
}

fn wait_for_document(machines: &Machines, number: u64) {
    for machine in machines.controls.iter().chain(&machines.entries) {
        wait_for("the document at all instances", || has_document(machine, number).then_some(()));
    }
}

/// Guards against an acknowledged document that only the log holds: after a restart, entry
/// instances went by the document before it until the log had a leader.
#[test_case(Attempt::First; "first acknowledgement")]
#[test_case(Attempt::RepeatedElsewhere; "repeated at another control instance")]
fn an_acknowledged_document_is_in_force_without_a_leader(attempt: Attempt) {
    let set_losses = |machine: &mut Machine| machine.losses_borne = 2;
    let mut machines = Machines::start_with_setup(3, 1, set_losses);
    let seeds = machines.seeds();
    machines.put_document_until_acknowledged(&document(5));
    wait_for_document(&machines, 5);
    let mut failures = Vec::new();
    for (round, (acking, surviving)) in ROUNDS.into_iter().enumerate() {
        let number = 6 + round as u64;
        let other = 3 - acking - surviving;
        send_document(&document(number).to_string(), attempt, [seeds[acking], seeds[other]]);
        // The survivor ends first, so that it stores nothing after the acknowledgement.
        kill(&mut machines.controls[surviving]);
        [acking, other].into_iter().for_each(|index| kill(&mut machines.controls[index]));
        kill(&mut machines.entries[0]);
        // One of three control instances cannot elect a leader.
        start(&mut machines.controls[surviving], &seeds);
        start(&mut machines.entries[0], &seeds);
        let used = wait_for("a document", || first_document(&machines.entries[0]));
        if used != number {
            failures.push(format!("{used} instead of {number} from control instance {surviving}"));
        }
        [acking, other].into_iter().for_each(|index| start(&mut machines.controls[index], &seeds));
        wait_for_document(&machines, number);
    }
    assert!(failures.is_empty(), "documents in force after a restart: {failures:?}");
}

/// Guards against acknowledgements that depend on one disk, or are given although too few disks
/// accept writes.
#[test_case(1, 200; "one of three disks")]
#[test_case(2, 503; "two of three disks")]
fn a_document_is_acknowledged_if_two_disks_accept_writes(failing: usize, status: u16) {
    let machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(&document(5));
    wait_for_document(&machines, 5);
    let obstacles: Vec<_> = machines.controls[..failing]
        .iter()
        .map(|control| control.data_folder().join("feed").join("document.new"))
        .collect();
    // A folder of this name makes each write fail.
    obstacles.iter().for_each(|obstacle| std::fs::create_dir_all(obstacle).unwrap());
    let send = || {
        let answer = put_document(machines.controls[0].control(), &document(6).to_string());
        answer.unwrap().status
    };
    assert_eq!(send(), status);
    // The document is in force either way, since the log has committed it.
    machines.wait_document_in_force(6);
    obstacles.iter().for_each(|obstacle| std::fs::remove_dir(obstacle).unwrap());
    wait_for("acknowledgement of the document", || (send() == 200).then_some(()));
}
