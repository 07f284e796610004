//! Checks that a request with an idempotency key runs at most once, and that a request refused as
//! not run has not run.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use support::{
    API_KEY, Answer, BOOKINGS, Fleet, Plan, booking, post, post_booking, post_first_booking,
    set_fault, wait_for,
};

fn start_fleet(voters: usize) -> Fleet {
    let mut fleet = Fleet::start_plan(Plan::new(&["giza", "giza", "giza"]).with_voters(voters));
    fleet.add_booking_service("shop-1");
    if voters > 0 {
        fleet.wait_for_quorum();
    }
    fleet
}

/// Returns how often the booking of `family` ran.
fn runs(fleet: &Fleet, family: &str) -> usize {
    support::count_executions(&fleet.journal(), family)
}

#[test]
fn a_resent_booking_gets_the_original_answer() {
    let fleet = start_fleet(1);
    let address = fleet.instances[0].addresses.callers;
    let first = post_booking(address, "k1", "Hassan").unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    for _ in 0..3 {
        let resent = post_booking(address, "k1", "Hassan").unwrap();
        assert_eq!((resent.status, &resent.body), (200, &first.body));
    }
    assert_eq!(runs(&fleet, "Hassan"), 1);
    let other = post_booking(address, "k1", "Mansour").unwrap();
    assert_eq!(other.status, 409, "{other:?}");
    assert_eq!(other.verdict.as_deref(), Some("not-run"));
    assert_eq!(runs(&fleet, "Mansour"), 0);
}

#[test]
fn a_resent_booking_gets_the_original_answer_through_another_instance() {
    let fleet = start_fleet(3);
    let caller_addresses: Vec<SocketAddr> =
        fleet.instances.iter().map(|instance| instance.addresses.callers).collect();
    for (number, first) in caller_addresses.iter().enumerate() {
        let (key, family) = (format!("k{number}"), format!("family {number}"));
        let answer = post_booking(*first, &key, &family).unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        for other in &caller_addresses {
            let resent = post_booking(*other, &key, &family).unwrap();
            assert_eq!((resent.status, &resent.body), (200, &answer.body));
        }
        assert_eq!(runs(&fleet, &family), 1);
    }
}

#[test]
fn concurrent_resends_wait_for_the_running_request() {
    let fleet = start_fleet(3);
    let answers: Vec<Answer> = std::thread::scope(|scope| {
        let book = |number: usize| {
            let address = fleet.instances[number % 3].addresses.callers;
            scope.spawn(move || post_booking(address, "k1", "Hassan").unwrap())
        };
        let threads: Vec<_> = (0..9).map(book).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    for answer in &answers {
        assert_eq!((answer.status, &answer.body), (200, &answers[0].body));
    }
    assert_eq!(runs(&fleet, "Hassan"), 1);
}

#[test]
fn a_booking_that_may_have_run_is_not_run_again() {
    let fleet = start_fleet(1);
    let address = fleet.instances[0].addresses.callers;
    let shop = fleet.upstreams[0].address;
    set_fault(shop, "cut:0");
    let first = post_booking(address, "k1", "Hassan").unwrap();
    assert_eq!(first.verdict.as_deref(), Some("may-have-run"), "{first:?}");
    set_fault(shop, "none");
    let resent = post_booking(address, "k1", "Hassan").unwrap();
    assert_eq!((resent.status, resent.verdict.as_deref()), (409, Some("may-have-run")));
    assert_eq!(runs(&fleet, "Hassan"), 1);
}

#[test]
fn a_booking_refused_as_not_run_can_run_later() {
    let fleet = start_fleet(1);
    let address = fleet.instances[0].addresses.callers;
    let shop = fleet.upstreams[0].address;
    set_fault(shop, "refuse");
    let first = post_booking(address, "k1", "Hassan").unwrap();
    assert_eq!(first.verdict.as_deref(), Some("not-run"), "{first:?}");
    assert!(first.retry_after.is_some());
    assert_eq!(runs(&fleet, "Hassan"), 0);
    set_fault(shop, "none");
    let resent = post_booking(address, "k1", "Hassan").unwrap();
    assert_eq!(resent.status, 200, "{resent:?}");
    assert_eq!(runs(&fleet, "Hassan"), 1);
}

#[test]
fn a_caller_gets_the_answer_to_its_booking_after_a_disconnect() {
    let fleet = start_fleet(1);
    let address = fleet.instances[0].addresses.callers;
    let body = booking("Hassan").to_string();
    let mut stream = TcpStream::connect(address).unwrap();
    write!(
        stream,
        "POST {BOOKINGS} HTTP/1.1\r\nauthorization: Bearer {API_KEY}\r\nidempotency-key: k1\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    wait_for("booking", || (runs(&fleet, "Hassan") == 1).then_some(()));
    drop(stream);
    let resent = post_booking(address, "k1", "Hassan").unwrap();
    assert_eq!(resent.status, 200, "{resent:?}");
    assert_eq!(runs(&fleet, "Hassan"), 1);
}

#[test]
fn a_booking_without_a_quorum_is_refused_without_delay() {
    let fleet = start_fleet(0);
    for instance in &fleet.instances {
        let started = Instant::now();
        let answer = post_booking(instance.addresses.callers, "k1", "Hassan").unwrap();
        let elapsed = started.elapsed();
        println!("refused after {elapsed:?}");
        assert_eq!((answer.status, answer.verdict.as_deref()), (503, Some("not-run")));
        assert!(answer.retry_after.is_some());
        assert!(elapsed < Duration::from_secs(3));
    }
    assert_eq!(runs(&fleet, "Hassan"), 0);
}

/// Guards against a refusal whose text says that the request did not run while its verdict says that
/// it may have: an instance that cannot reach the ledger does not know of earlier requests.
#[test]
fn the_text_of_a_refusal_without_a_quorum_agrees_with_its_verdict() {
    let mut fleet = start_fleet(3);
    fleet.kill(0);
    fleet.kill(1);
    let address = fleet.instances[2].addresses.callers;
    let refusal = |post: fn(SocketAddr, &str, &str) -> Result<Answer, String>, key: &str| {
        wait_for("a refusal without a quorum", || {
            let answer = post(address, key, "Hassan").unwrap();
            answer.body.contains("no_quorum").then_some(answer)
        })
    };
    let possible_resend = refusal(post_booking, "k1");
    assert_eq!(possible_resend.verdict.as_deref(), Some("may-have-run"), "{possible_resend:?}");
    assert!(!possible_resend.body.contains("did not run"), "{possible_resend:?}");
    let first = refusal(post_first_booking, "k2");
    assert_eq!(first.verdict.as_deref(), Some("not-run"), "{first:?}");
    assert!(first.body.contains("did not run"), "{first:?}");
    assert_eq!(runs(&fleet, "Hassan"), 0);
}

#[test]
fn an_invalid_idempotency_key_is_named_in_the_error() {
    let fleet = start_fleet(1);
    let address = fleet.instances[0].addresses.callers;
    let answer = post_booking(address, "a key", "Hassan").unwrap();
    assert_eq!(answer.status, 400);
    assert!(answer.body.contains("idempotency-key"), "{answer:?}");
}

#[test]
fn a_claim_owner_killed_during_a_request_leaves_the_outcome_unknown() {
    let mut fleet = start_fleet(3);
    set_fault(fleet.upstreams[0].address, "hang");
    let address = fleet.instances[2].addresses.callers;
    let deadline = ("x-turmericrelay-deadline", "2s");
    let caller = std::thread::spawn(move || {
        post(address, BOOKINGS, &[("idempotency-key", "k1"), deadline], &booking("Hassan"))
    });
    wait_for("booking", || (runs(&fleet, "Hassan") == 1).then_some(()));
    fleet.kill(2);
    assert!(caller.join().unwrap().is_err());
    set_fault(fleet.upstreams[0].address, "none");
    wait_for("unknown outcome", || {
        let resent = post_booking(fleet.instances[0].addresses.callers, "k1", "Hassan").unwrap();
        assert_eq!(resent.verdict.as_deref(), Some("may-have-run"), "{resent:?}");
        assert_eq!(runs(&fleet, "Hassan"), 1);
        (resent.status == 409).then_some(())
    });
}
