//! Requests with an idempotency key run at most once, and a refusal as not run is true.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use support::{API_KEY, Answer, BOOKINGS, Fleet, Plan, book, booking, post, set_fault, wait_for};

fn fleet(voters: usize) -> Fleet {
    let mut fleet = Fleet::start_plan(Plan::new(&["giza", "giza", "giza"]).with_voters(voters));
    fleet.add_shop("shop-1");
    if voters > 0 {
        fleet.wait_quorum();
    }
    fleet
}

/// How often the booking of `family` ran.
fn runs(fleet: &Fleet, family: &str) -> usize {
    support::runs(&fleet.journal(), family)
}

#[test]
fn a_resend_gets_the_first_answer() {
    let fleet = fleet(1);
    let address = fleet.instances[0].addresses.callers;
    let first = book(address, "k1", "Hassan").unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    for _ in 0..3 {
        let again = book(address, "k1", "Hassan").unwrap();
        assert_eq!((again.status, &again.body), (200, &first.body));
    }
    assert_eq!(runs(&fleet, "Hassan"), 1);
    let other = book(address, "k1", "Mansour").unwrap();
    assert_eq!(other.status, 409, "{other:?}");
    assert_eq!(other.verdict.as_deref(), Some("not-run"));
    assert_eq!(runs(&fleet, "Mansour"), 0);
}

#[test]
fn a_resend_through_another_instance_gets_the_first_answer() {
    let fleet = fleet(3);
    let callers: Vec<SocketAddr> =
        fleet.instances.iter().map(|instance| instance.addresses.callers).collect();
    for (number, first) in callers.iter().enumerate() {
        let (key, family) = (format!("k{number}"), format!("family {number}"));
        let answer = book(*first, &key, &family).unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        for other in &callers {
            let again = book(*other, &key, &family).unwrap();
            assert_eq!((again.status, &again.body), (200, &answer.body));
        }
        assert_eq!(runs(&fleet, &family), 1);
    }
}

#[test]
fn resends_at_once_wait_for_the_one_that_runs() {
    let fleet = fleet(3);
    let answers: Vec<Answer> = std::thread::scope(|scope| {
        let book = |number: usize| {
            let address = fleet.instances[number % 3].addresses.callers;
            scope.spawn(move || book(address, "k1", "Hassan").unwrap())
        };
        let callers: Vec<_> = (0..9).map(book).collect();
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    });
    for answer in &answers {
        assert_eq!((answer.status, &answer.body), (200, &answers[0].body));
    }
    assert_eq!(runs(&fleet, "Hassan"), 1);
}

#[test]
fn what_may_have_run_is_not_run_again() {
    let fleet = fleet(1);
    let address = fleet.instances[0].addresses.callers;
    let shop = fleet.upstreams[0].address;
    set_fault(shop, "cut:0");
    let first = book(address, "k1", "Hassan").unwrap();
    assert_eq!(first.verdict.as_deref(), Some("may-have-run"), "{first:?}");
    set_fault(shop, "none");
    let again = book(address, "k1", "Hassan").unwrap();
    assert_eq!((again.status, again.verdict.as_deref()), (409, Some("may-have-run")));
    assert_eq!(runs(&fleet, "Hassan"), 1);
}

#[test]
fn what_did_not_run_may_run_later() {
    let fleet = fleet(1);
    let address = fleet.instances[0].addresses.callers;
    let shop = fleet.upstreams[0].address;
    set_fault(shop, "refuse");
    let first = book(address, "k1", "Hassan").unwrap();
    assert_eq!(first.verdict.as_deref(), Some("not-run"), "{first:?}");
    assert!(first.retry_after.is_some());
    assert_eq!(runs(&fleet, "Hassan"), 0);
    set_fault(shop, "none");
    let again = book(address, "k1", "Hassan").unwrap();
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(runs(&fleet, "Hassan"), 1);
}

#[test]
fn a_caller_that_leaves_finds_its_booking() {
    let fleet = fleet(1);
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
    let again = book(address, "k1", "Hassan").unwrap();
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(runs(&fleet, "Hassan"), 1);
}

#[test]
fn without_a_quorum_a_booking_is_refused_at_once() {
    let fleet = fleet(0);
    for instance in &fleet.instances {
        let started = Instant::now();
        let answer = book(instance.addresses.callers, "k1", "Hassan").unwrap();
        let elapsed = started.elapsed();
        println!("refused after {elapsed:?}");
        assert_eq!((answer.status, answer.verdict.as_deref()), (503, Some("not-run")));
        assert!(answer.retry_after.is_some());
        assert!(elapsed < Duration::from_secs(3));
    }
    assert_eq!(runs(&fleet, "Hassan"), 0);
}

#[test]
fn an_invalid_key_is_named() {
    let fleet = fleet(1);
    let address = fleet.instances[0].addresses.callers;
    let answer = book(address, "a key", "Hassan").unwrap();
    assert_eq!(answer.status, 400);
    assert!(answer.body.contains("idempotency-key"), "{answer:?}");
}

#[test]
fn an_owner_killed_while_the_call_runs_leaves_the_outcome_unknown() {
    let mut fleet = fleet(3);
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
        let again = book(fleet.instances[0].addresses.callers, "k1", "Hassan").unwrap();
        assert_eq!(again.verdict.as_deref(), Some("may-have-run"), "{again:?}");
        assert_eq!(runs(&fleet, "Hassan"), 1);
        (again.status == 409).then_some(())
    });
}
