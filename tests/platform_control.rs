//! Tests of control instances in a fleet that is discovered from seeds: the first start, lost
//! disks, replaced and frozen instances, a crash of all instances at once, and changed seeds.

#![allow(clippy::unwrap_used)]

mod support;

use std::fs::File;
use std::io::Write;
use std::process::Command;
use std::time::{Duration, Instant};

use support::machines::{KEY, Machine, Machines, document, newest_number, put_document};
use support::worker::{Worker, send_request};
use support::{output, wait_for};

/// Upper bound on the time until a fleet serves requests again after a crash of all its instances.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Upper bound on the time until a replaced control instance is a voter.
const MAX_CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Waits until `instance` reports `number` as the newest document.
fn wait_for_document(instance: &Machine, number: u64) {
    wait_for("arrival of the newest document", || {
        newest_number(instance.control()).filter(|newest| *newest == number)
    });
}

/// Sends a document to `instance` until it is acknowledged.
fn declare(instance: &Machine, number: u64) {
    let text = document(number).to_string();
    wait_for("acknowledgement of the document", || {
        let answer = put_document(instance.control(), &text).ok()?;
        (answer.status == 200).then_some(())
    });
}

#[test]
fn a_control_instance_that_lost_its_disk_is_repaired() {
    let mut machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(&document(5));
    for lost in 0..3 {
        machines.controls[lost].kill();
        machines.controls[lost].delete_data();
        machines.controls[lost].write_settings(&machines.seeds(), false);
        machines.controls[lost].start();
        let started = Instant::now();
        wait_for_document(&machines.controls[lost], 5 + lost as u64);
        wait_for("promotion to voter", || check_voting(&machines.controls[lost]));
        assert!(started.elapsed() < MAX_CATCH_UP_TIME, "{:?}", started.elapsed());
        declare(&machines.controls[(lost + 1) % 3], 6 + lost as u64);
    }
    machines.wait_document_in_force(8);
}

/// Returns `Some` if the metrics of `instance` report that it is a voter.
fn check_voting(instance: &Machine) -> Option<()> {
    let metrics = send_request(instance.metrics(), "GET", "/metrics", &[], "").ok()?;
    let is_voting = metrics.text().lines().any(|line| line == "turmericrelay_replica_is_voting 1");
    is_voting.then_some(())
}

#[test]
fn a_replacement_instance_becomes_a_voter_without_an_operator() {
    let mut machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(&document(5));
    machines.controls[0].kill();
    let mut replacement = machines.machine(9);
    replacement.write_settings(&machines.seeds(), false);
    replacement.start();
    let started = Instant::now();
    wait_for("promotion to voter", || check_voting(&replacement));
    assert!(started.elapsed() < MAX_CATCH_UP_TIME, "{:?}", started.elapsed());
    // With the replacement as a voter, the quorum survives the loss of one more instance.
    machines.controls[1].kill();
    declare(&machines.controls[2], 6);
    wait_for_document(&replacement, 6);
    let seeds = vec![replacement.control(), machines.controls[2].control()];
    machines.entries[0].write_settings(&seeds, false);
    wait_for("reload of the changed seeds", || machines.entries[0].events("reloaded").pop());
    machines.wait_document_in_force(6);
}

#[test]
fn a_spare_instance_serves_documents_and_replaces_a_lost_voter() {
    let mut machines = Machines::start(4, 1);
    machines.put_document_until_acknowledged(&document(5));
    wait_for_document(&machines.controls[3], 5);
    machines.controls[1].kill();
    wait_for("promotion to voter", || check_voting(&machines.controls[3]));
    machines.controls[0].kill();
    declare(&machines.controls[3], 6);
    wait_for_document(&machines.controls[2], 6);
}

#[test]
fn acknowledged_documents_survive_a_crash_of_all_instances() {
    let mut machines = Machines::start(3, 2);
    let shop = Worker::start("i-shop", "shop", machines.seeds());
    for number in 1..=20 {
        machines.put_document_until_acknowledged(&document(number));
    }
    machines.wait_ready(20);
    let instances = machines.controls.iter_mut().chain(&mut machines.entries);
    instances.for_each(Machine::kill);
    let seeds = machines.seeds();
    for instance in machines.controls.iter_mut().chain(&mut machines.entries) {
        instance.write_settings(&seeds, false);
        instance.start();
    }
    let started = Instant::now();
    for entry in &machines.entries {
        wait_for("a successful answer", || {
            let key = format!("Token {KEY}");
            let headers = [("Authorization", key.as_str()), ("Request-Id", "again")];
            let answer = send_request(entry.callers(), "GET", "/albums/1", &headers, "").ok()?;
            (answer.status == 200).then_some(())
        });
    }
    for control in &machines.controls {
        wait_for_document(control, 20);
    }
    assert!(started.elapsed() < MAX_RECOVERY_TIME, "{:?}", started.elapsed());
    assert!(!shop.executed_requests().is_empty());
}

#[test]
fn a_frozen_leader_never_answers_with_an_older_document() {
    let mut machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(&document(5));
    let leader = wait_for("election of a leader", || {
        machines.controls.iter().position(|instance| {
            let metrics = send_request(instance.metrics(), "GET", "/metrics", &[], "");
            metrics.is_ok_and(|page| {
                page.text().lines().any(|line| line == "turmericrelay_replica_is_leader 1")
            })
        })
    });
    machines.controls[leader].process().signal("STOP");
    let other = (leader + 1) % 3;
    declare(&machines.controls[other], 6);
    machines.controls[leader].process().signal("CONT");
    for _ in 0..50 {
        let number = newest_number(machines.controls[leader].control());
        assert!(
            number.is_none_or(|number| number == 6),
            "the former leader returned document {number:?}"
        );
    }
    wait_for_document(&machines.controls[leader], 6);
}

#[test]
fn a_minority_refuses_reads_and_writes() {
    let mut machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(&document(5));
    machines.controls[0].kill();
    machines.controls[1].kill();
    let remaining = &machines.controls[2];
    std::thread::sleep(Duration::from_secs(1));
    for _ in 0..3 {
        assert_eq!(newest_number(remaining.control()), None);
        let answer = put_document(remaining.control(), &document(6).to_string());
        assert!(answer.is_ok_and(|answer| answer.status == 503));
    }
    let lost = wait_for("log event of the lost quorum", || remaining.events("lost").pop());
    assert_eq!(lost["dependency"], "quorum");
}

/// Guards against a process that is killed by a signal which arrives before the process handles
/// signals. The soak test met this failure with seed 19: a process was told to stop just after its
/// start.
#[test]
fn signals_during_startup_do_not_kill_the_process() {
    let mut machines = Machines::start(1, 0);
    let instance = &mut machines.controls[0];
    instance.kill();
    let path = instance.settings();
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(output(Command::new("mkfifo").arg(&path)).status.success());
    instance.start();
    // The open returns once the process reads the pipe, that is, while it waits for its settings.
    let mut pipe = File::options().write(true).open(&path).unwrap();
    instance.process().signal("HUP");
    instance.process().signal("TERM");
    std::fs::remove_file(&path).unwrap();
    std::fs::write(&path, &text).unwrap();
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    assert_eq!(instance.process().wait(), Some(0));
}

/// Guards against entry instances that receive no feed after a restart of all control instances at
/// once, because the restarted instances have lost their membership view. On the users' test bench,
/// one entry instance received no feed for more than three seconds.
#[test]
fn restarted_control_instances_feed_all_entry_instances_promptly() {
    let mut machines = Machines::start(3, 6);
    machines.put_document_until_acknowledged(&document(5));
    machines.wait_document_in_force(5);
    let seeds = machines.seeds();
    for round in 0..3 {
        machines.controls.iter_mut().for_each(Machine::kill);
        for control in &mut machines.controls {
            control.write_settings(&seeds, false);
            control.start();
        }
        let number = 6 + round;
        machines.put_document_until_acknowledged(&document(number));
        let acknowledged = Instant::now();
        machines.wait_document_in_force(number);
        let elapsed = acknowledged.elapsed();
        assert!(elapsed < Duration::from_secs(2), "round {round}: {elapsed:?}");
    }
}
