//! Tests that an order of an operator which reaches a control instance late does not undo the orders
//! that were acknowledged elsewhere in the meantime.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use support::machines::{KEY, Machine, Machines, document};
use support::worker::{Worker, send_request, send_request_with_timeout};
use support::{Proxy, wait_for};
use test_case::test_case;

/// Data centre that the orders are about.
const EVACUATED: &str = "cairo";

/// Data centres of the instances, in turn.
const DATA_CENTRES: [&str; 3] = ["giza", EVACUATED, "delta"];

/// Time in which an order is in force at all instances.
const BOUND: Duration = Duration::from_secs(5);

/// Time for which requests are sent after the bound.
const PROBE_TIME: Duration = Duration::from_secs(2);

/// Index of the proxy for operators among those of an instance.
const OPERATORS_PROXY: usize = 1;

/// Why an order reaches a control instance late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delay {
    /// The process pauses, with the order in its socket.
    Paused,
    /// The link to the process is held up.
    Link,
}

/// A control instance that gets an order late.
struct Late {
    index: usize,
    /// Proxies for callers, operators and other instances, if the link of operators is held up.
    proxies: Vec<Proxy>,
}

impl Late {
    fn begin(&self, machines: &mut Machines) {
        match self.proxies.get(OPERATORS_PROXY) {
            Some(proxy) => proxy.change(|faults| faults.is_cut = true),
            None => machines.controls[self.index].process().signal("STOP"),
        }
    }

    fn end(&self, machines: &mut Machines) {
        match self.proxies.get(OPERATORS_PROXY) {
            Some(proxy) => proxy.change(|faults| faults.is_cut = false),
            None => machines.controls[self.index].process().signal("CONT"),
        }
    }
}

/// Starts five control instances, the last of which get orders late, and three entry instances.
fn start(delay: Delay, late_count: usize) -> (Machines, Vec<Late>) {
    let (mut number, mut late) = (0, Vec::new());
    let machines = Machines::start_with_setup(5, 3, |machine: &mut Machine| {
        machine.data_centre = DATA_CENTRES[number % DATA_CENTRES.len()].to_string();
        machine.losses_borne = 2;
        if (5 - late_count..5).contains(&number) {
            let proxies = match delay {
                Delay::Paused => Vec::new(),
                Delay::Link => machine.listen_behind_proxies(),
            };
            late.push(Late { index: number, proxies });
        }
        number += 1;
    });
    machines.put_document_until_acknowledged(&document(7));
    (machines, late)
}

/// Sends an order as an operator does, who waits for one second.
fn order(address: SocketAddr, method: &str) -> Option<u16> {
    let path = format!("/v1/evacuation/{EVACUATED}");
    Some(send_request_with_timeout(address, method, &path, &[], "", 1).ok()?.status)
}

fn order_until_acknowledged(addresses: &[SocketAddr], method: &str) {
    let mut tries = 0;
    wait_for("the acknowledgement of an order", || {
        let status = order(addresses[tries % addresses.len()], method);
        tries += 1;
        (status == Some(200)).then_some(())
    });
}

/// Sends requests to all entry instances for a time.
fn send_probes(machines: &Machines, time: Duration) {
    let (key, until) = (format!("Token {KEY}"), Instant::now() + time);
    while Instant::now() < until {
        for entry in &machines.entries {
            let headers = [("Authorization", key.as_str()), ("Request-Id", "probe")];
            let _ = send_request(entry.callers(), "GET", "/albums/1", &headers, "");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the number of requests of the last [`PROBE_TIME`] that reached `worker`.
fn probe(machines: &Machines, worker: &Worker) -> usize {
    let since = Instant::now();
    send_probes(machines, PROBE_TIME);
    worker.arrivals().into_iter().filter(|at| *at >= since).count()
}

fn is_evacuated(machine: &Machine) -> bool {
    machine.events("evacuation").pop().is_some_and(|event| event["is_evacuated"] == true)
}

/// Guards against an order that a control instance reads after its operator has sent it to another
/// one and given the opposite order: the late one became the newest.
#[test_case("DELETE", Delay::Paused, 1; "withdrawal at a paused instance")]
#[test_case("POST", Delay::Paused, 1; "evacuation at a paused instance")]
#[test_case("DELETE", Delay::Link, 1; "withdrawal on a held up link")]
#[test_case("POST", Delay::Link, 1; "evacuation on a held up link")]
#[test_case("DELETE", Delay::Paused, 2; "withdrawal at two paused instances")]
#[test_case("POST", Delay::Paused, 2; "evacuation at two paused instances")]
#[test_case("DELETE", Delay::Link, 2; "withdrawal on two held up links")]
#[test_case("POST", Delay::Link, 2; "evacuation on two held up links")]
fn an_order_that_arrives_late_undoes_no_later_one(method: &str, delay: Delay, late_count: usize) {
    let opposite = if method == "POST" { "DELETE" } else { "POST" };
    let (mut machines, late) = start(delay, late_count);
    let start_worker = |data_centre: &str| {
        let name = format!("shop-{data_centre}");
        Worker::start_in(data_centre, &name, "shop", machines.seeds())
    };
    let (evacuated, _remaining) = (start_worker(EVACUATED), start_worker("delta"));
    machines.wait_ready(7);
    let controls: Vec<SocketAddr> = machines.controls.iter().map(Machine::control).collect();
    let others = &controls[..5 - late_count];
    order_until_acknowledged(others, "POST");
    order_until_acknowledged(others, opposite);
    late.iter().for_each(|late| late.begin(&mut machines));
    for late in &late {
        assert_eq!(order(controls[late.index], method), None, "the instance is not held up");
    }
    order_until_acknowledged(&others[1..], method);
    order_until_acknowledged(others, opposite);
    late.iter().for_each(|late| late.end(&mut machines));
    send_probes(&machines, BOUND);
    let arrived = probe(&machines, &evacuated);
    let expected = opposite == "POST";
    assert_eq!(arrived == 0, expected, "{arrived} requests reached the data centre");
    for machine in machines.controls.iter().chain(&machines.entries) {
        assert_eq!(is_evacuated(machine), expected, "{}", machine.ip);
    }
    // An instance that got orders late takes new ones.
    order_until_acknowledged(&controls[late[0].index..], method);
}

/// Guards against an order that is acknowledged late, or refused, at an instance that has just
/// returned and does not know the orders in force.
#[test]
fn a_repeated_order_is_acknowledged_by_an_instance_that_was_away() {
    let (mut machines, _) = start(Delay::Paused, 0);
    let controls: Vec<SocketAddr> = machines.controls.iter().map(Machine::control).collect();
    let seeds = machines.seeds();
    machines.controls[4].kill();
    for method in ["POST", "DELETE", "POST"] {
        order_until_acknowledged(&controls[..4], method);
    }
    machines.controls[4].write_settings(&seeds, false);
    machines.controls[4].start();
    for method in ["POST", "DELETE"] {
        order_until_acknowledged(&controls[4..], method);
    }
    for machine in machines.controls.iter().chain(&machines.entries) {
        wait_for("the last order", || (!is_evacuated(machine)).then_some(()));
    }
}
