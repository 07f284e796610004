//! Statuses that promise callers that their request has not run, for each thing that can happen to
//! an attempt.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::TcpStream;
use std::time::Duration;

use support::machines::{Machines, document};
use support::platform_calls::{call_in_background, call_within, start_upstream};
use support::script::{End, Script};
use support::wait_for;
use support::worker::{Behaviour, Worker};
use test_case::test_case;

/// Statuses that promise callers that their request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Time for which callers wait, in milliseconds.
const PATIENCE: &str = "400";

/// Time for which a read runs before its upstream closes the connection.
const RUN_TIME: Duration = Duration::from_millis(300);

/// Starts an entry instance and an upstream with each of `behaviours`.
fn start(behaviours: &[Behaviour]) -> (Machines, Vec<Worker>) {
    let machines = Machines::start(1, 1);
    machines.put_document_until_acknowledged(&document(7));
    let name = |number: usize| format!("i-shop-{number}");
    let behaviours = behaviours.iter().enumerate();
    let upstreams = behaviours
        .map(|(number, behaviour)| start_upstream(&machines, &name(number), "shop", *behaviour));
    let upstreams = upstreams.collect();
    machines.wait_ready(7);
    (machines, upstreams)
}

fn runs(upstreams: &[Worker], id: &str) -> usize {
    let executed = upstreams.iter().flat_map(|upstream| upstream.executed_requests());
    executed.filter(|request| request.request == id).count()
}

/// Guards against a promise to a booking of which a byte was sent and no refusal is proven.
#[test_case(Behaviour::Answer, 200, 1; "answered")]
#[test_case(Behaviour::Refuse, 503, 0; "refused with proof")]
#[test_case(Behaviour::Misdirect, 503, 0; "read by another upstream")]
#[test_case(Behaviour::LoseAnswer, 502, 1; "closed without an answer")]
#[test_case(Behaviour::Fail, 500, 1; "failed")]
#[test_case(Behaviour::Silent, 504, 1; "running at the deadline")]
#[test_case(Behaviour::RefuseLate, 504, 0; "refused after the deadline")]
#[test_case(Behaviour::Raw("HTTP/1.1 503 No\r\n", ""), 502, 1; "half a head of a refusal")]
#[test_case(Behaviour::Raw("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n", ""), 502, 1;
    "refusal without an id")]
#[test_case(Behaviour::Raw("HTTP/1.1 429 No\r\nrequest-id: ID\r\ncontent-length: 0\r\n\r\n", ""),
    502, 1; "refusal without proof")]
fn a_booking_is_promised_not_to_have_run_only_if_it_has_not(
    behaviour: Behaviour,
    status: u16,
    executions: usize,
) {
    let (machines, upstreams) = start(&[behaviour]);
    let answer = call_within(machines.entries[0].callers(), "/bookings/1", "booking", PATIENCE);
    assert_eq!(answer.status, status);
    assert_eq!(runs(&upstreams, "booking"), executions);
    assert!(executions == 0 || !PROMISES.contains(&status));
}

/// Guards against a promise by the last refusal to a request that an earlier upstream has run.
#[test_case(Behaviour::LoseAnswer; "closed without an answer")]
#[test_case(Behaviour::Fail; "failed")]
fn a_proven_refusal_says_nothing_about_an_earlier_attempt(behaviour: Behaviour) {
    let (machines, upstreams) = start(&[behaviour, Behaviour::Refuse]);
    for number in 0..8 {
        let id = format!("read-{number}");
        let address = machines.entries[0].callers();
        let answer = call_within(address, "/albums/1", &id, PATIENCE);
        let executions = runs(&upstreams, &id);
        let is_promise = PROMISES.contains(&answer.status);
        assert!(executions == 0 || !is_promise, "{id}: {executions}, {}", answer.status);
    }
    assert!(upstreams.iter().all(|upstream| !upstream.arrivals().is_empty()));
}

/// Guards against a promise to a request that has run and finds all upstreams paused.
#[test]
fn a_read_that_has_run_is_not_promised_anything_while_its_upstream_asks_to_wait() {
    const REFUSAL: &str = "HTTP/1.1 503 No\r\nrequest-id: ID\r\nnot-executed: 1\r\n\
                           retry-after: 5\r\ncontent-length: 0\r\n\r\n";
    let (machines, upstreams) = start(&[Behaviour::Answer]);
    upstreams[0].set_script(|request| match request.path {
        "/bookings/1" => Some(Script::new(REFUSAL, End::Close)),
        _ => {
            std::thread::sleep(RUN_TIME);
            Some(Script::new("", End::Close))
        }
    });
    let address = machines.entries[0].callers();
    let read = call_in_background(address, "/albums/1", "read");
    wait_for("arrival of the read", || (runs(&upstreams, "read") == 1).then_some(()));
    assert_eq!(call_within(address, "/bookings/1", "booking", PATIENCE).status, 503);
    assert_eq!((read.join().unwrap().status, runs(&upstreams, "read")), (502, 1));
}

/// Guards against a failure without a promise of a booking of which no byte was sent.
#[test]
fn a_booking_whose_upstream_refuses_connections_is_promised_not_to_have_run() {
    let (machines, upstreams) = start(&[Behaviour::Answer]);
    upstreams[0].end();
    wait_for("end of the upstream", || TcpStream::connect(upstreams[0].address()).err());
    let answer = call_within(machines.entries[0].callers(), "/bookings/1", "booking", PATIENCE);
    assert_eq!((answer.status, runs(&upstreams, "booking")), (503, 0));
}
