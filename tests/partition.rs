//! Test of a network partition between data centres under load. Chats continue on both sides. The
//! minority promptly refuses operations that need a quorum, with a correct verdict. After the
//! partition nothing runs twice and no revision is reverted.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use support::{
    AMAL_TOKEN, BERT_TOKEN, BOOKINGS, CHAT, Fleet, MAX_RECOVERY_TIME, apply, booking, chat,
    count_executions, expected_answer, plan_with_operators, post, post_booking, post_first_booking,
    revision, streamed_text, wait_for, wait_until_in_force,
};

const MAJORITY: [usize; 4] = [0, 1, 2, 3];
const MINORITY: [usize; 2] = [4, 5];
const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

/// Upper bound on the time to a refusal without a quorum: an instance gives up a claim after it.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(3);

/// Starts three data centres with one engine and one booking service each. Dokki has one voter, the
/// other two data centres have two each.
fn start_fleet() -> Fleet {
    let data_centres = ["giza", "giza", "maadi", "maadi", "dokki", "dokki"];
    let mut fleet =
        Fleet::start_plan(plan_with_operators(&data_centres).with_voters(5).with_proxies());
    let journal = fleet.journal().display().to_string();
    for data_centre in ["giza", "maadi", "dokki"] {
        let name = format!("engine-{data_centre}");
        fleet.add_upstream(&name, data_centre, &["--model", "caption-small"]);
        let flags = ["--label", "app=shop", "--journal", &journal];
        fleet.add_upstream(&format!("shop-{data_centre}"), data_centre, &flags);
    }
    fleet.wait_for_quorum();
    fleet
}

/// Checks that every instance answers a chat completely.
fn expect_chats(fleet: &Fleet, phase: &str) {
    for instance in &fleet.instances {
        let text = format!("{phase} through {}", instance.addresses.name);
        let answer = post(instance.addresses.callers, CHAT, &[], &chat(&text, 8, true)).unwrap();
        assert_eq!(streamed_text(&answer.body), Some(expected_answer(&text, 8)), "{answer:?}");
    }
}

/// Checks that a booking is refused as not run. Returns the time to the refusal.
fn expect_refusal(fleet: &Fleet, instance: usize, family: &str) -> Duration {
    let started = Instant::now();
    let address = fleet.instances[instance].addresses.callers;
    let answer = post_first_booking(address, family, family).unwrap();
    assert_eq!((answer.status, answer.verdict.as_deref()), (503, Some("not-run")), "{answer:?}");
    assert!(answer.retry_after.is_some(), "{answer:?}");
    started.elapsed()
}

/// Repeats an order until it is accepted, as an operator does. Returns the new revision.
fn declare_until_accepted(
    fleet: &Fleet,
    instance: usize,
    base: u64,
    order: &str,
    weight: u64,
) -> u64 {
    wait_for("acceptance of the order", || {
        let reply = apply(fleet, instance, AMAL_TOKEN, base, order, weight);
        (reply.status == 200).then(|| reply.body["revision"].as_u64().unwrap())
    })
}

#[test]
fn a_partitioned_data_centre_serves_chats_refuses_quorum_operations_and_runs_nothing_twice() {
    let fleet = start_fleet();
    assert_eq!(declare_until_accepted(&fleet, 0, 0, "order-0", 2), 1);
    wait_until_in_force(&fleet, &ALL, 1);
    let address = |instance: usize| fleet.instances[instance].addresses.callers;
    let before = post_booking(address(4), "before", "before").unwrap();
    assert_eq!(before.status, 200, "{before:?}");

    fleet.set_partition(&MINORITY, true);
    expect_chats(&fleet, "at the start of the partition");
    for instance in MINORITY {
        let elapsed = expect_refusal(&fleet, instance, &format!("cut-{instance}"));
        println!("instance {instance} refused after {elapsed:?}");
        assert!(elapsed < MAX_REFUSAL_TIME, "{elapsed:?}");
        let refused = apply(&fleet, instance, BERT_TOKEN, 1, "order-cut", 9);
        assert!(matches!(refused.status, 503 | 504), "{refused:?}");
        let replayed = post_booking(address(instance), "before", "before").unwrap();
        println!(
            "instance {instance} answered the replayed booking with status {}",
            replayed.status
        );
        let is_correct =
            replayed.body == before.body || replayed.verdict.as_deref() == Some("may-have-run");
        assert!(is_correct, "{replayed:?}");
    }
    assert_eq!(declare_until_accepted(&fleet, 0, 1, "order-1", 3), 2);
    wait_until_in_force(&fleet, &MAJORITY, 2);
    for instance in MAJORITY {
        let family = format!("majority-{instance}");
        wait_for("a booking at the majority", || {
            (post_booking(address(instance), &family, &family).ok()?.status == 200).then_some(())
        });
    }
    assert_eq!(MINORITY.map(|instance| revision(&fleet, instance)), [Some(1), Some(1)]);
    expect_chats(&fleet, "during the partition");

    fleet.set_partition(&MINORITY, false);
    let elapsed = wait_until_in_force(&fleet, &ALL, 2);
    println!("in force {elapsed:?} after the end of the partition");
    assert!(elapsed <= MAX_RECOVERY_TIME, "{elapsed:?}");
    expect_chats(&fleet, "after the partition");
    assert_eq!(apply(&fleet, 4, BERT_TOKEN, 1, "order-cut", 9).status, 409);
    for instance in MINORITY {
        let family = format!("cut-{instance}");
        wait_for("success of the booking that was refused", || {
            let headers = [("idempotency-key", family.as_str())];
            let other = address((instance + 1) % 6);
            let answer = post(other, BOOKINGS, &headers, &booking(&family)).ok()?;
            assert_ne!(answer.verdict.as_deref(), Some("may-have-run"), "{family}: {answer:?}");
            (answer.status == 200).then_some(())
        });
    }
    let replayed = post_booking(address(0), "before", "before").unwrap();
    assert_eq!(replayed.body, before.body);
    for family in ["before", "cut-4", "cut-5", "majority-0", "majority-3"] {
        assert_eq!(count_executions(&fleet.journal(), family), 1, "{family}");
    }
    assert_eq!(ALL.map(|instance| revision(&fleet, instance)), [Some(2); 6]);
}
