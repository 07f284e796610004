//! Tests that an acknowledged evacuation of a data centre keeps requests from its upstreams, whatever
//! the loss of processes and disks that the fleet tolerates, until it is withdrawn.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use support::crashes::start_machines;
use support::machines::{KEY, Machine, Machines, document};
use support::wait_for;
use support::worker::{
    Behaviour, EVENTS_PER_STREAM, HttpResponse, Worker, send_request, send_request_with_timeout,
};
use test_case::test_case;

/// Time after the acknowledgement from which no request may reach the data centre.
const BOUND: Duration = Duration::from_secs(5);

/// Time for which requests are sent after the bound.
const PROBE_TIME: Duration = Duration::from_secs(2);

/// Number of entry instances from which on load trackers are asked.
const LARGE_FLEET: u8 = 16;

/// Time by which the last control instance returns later than the others. Upstreams have announced
/// themselves to the others by then.
const RETURN_DELAY: Duration = Duration::from_secs(2);

/// Data centre that the tests evacuate.
const EVACUATED: &str = "cairo";

/// Upstreams of two data centres.
struct Upstreams {
    evacuated: Vec<Worker>,
    remaining: Vec<Worker>,
}

impl Upstreams {
    fn start(machines: &Machines) -> Self {
        let start = |data_centre: &str, count: usize| -> Vec<Worker> {
            let name = |number: usize| format!("shop-{data_centre}-{number}");
            (0..count)
                .map(|number| {
                    Worker::start_in(data_centre, &name(number), "shop", machines.seeds())
                })
                .collect()
        };
        Self { evacuated: start(EVACUATED, 2), remaining: start("delta", 2) }
    }

    fn names(&self) -> Vec<String> {
        let all = self.evacuated.iter().chain(&self.remaining);
        all.map(|worker| worker.name().to_string()).collect()
    }

    /// Returns the number of requests that reached the evacuated data centre since `since`.
    fn arrivals_since(&self, since: Instant) -> usize {
        let arrivals = self.evacuated.iter().flat_map(Worker::arrivals);
        arrivals.filter(|at| *at >= since).count()
    }
}

/// Starts three control and six entry instances in three data centres with the upstreams.
fn start(losses_borne: usize) -> (Machines, Upstreams) {
    let machines = start_machines(&document(7), |machine| machine.losses_borne = losses_borne);
    with_upstreams(machines)
}

fn with_upstreams(machines: Machines) -> (Machines, Upstreams) {
    let upstreams = Upstreams::start(&machines);
    wait_until_known(&machines, &upstreams.names());
    machines.wait_ready(7);
    (machines, upstreams)
}

/// Waits until all instances know the upstreams `names`.
fn wait_until_known(machines: &Machines, names: &[String]) {
    for machine in machines.controls.iter().chain(&machines.entries) {
        wait_for("upstream discovery", || {
            let events = machine.events("upstream");
            let is_known = |name: &String| events.iter().any(|event| event["upstream"] == **name);
            names.iter().all(is_known).then_some(())
        });
    }
}

/// Sends an order as an operator does, who waits for one second.
fn order(address: SocketAddr, method: &str, data_centre: &str) -> Option<u16> {
    order_within(address, method, data_centre, 1)
}

fn order_within(address: SocketAddr, method: &str, data_centre: &str, seconds: u64) -> Option<u16> {
    let path = format!("/v1/evacuation/{data_centre}");
    let answer = send_request_with_timeout(address, method, &path, &[], "", seconds);
    answer.ok().map(|answer| answer.status)
}

/// Repeats an order until it is acknowledged, and returns the time of the acknowledgement. Fails if
/// an answer ends the order for good.
fn order_until_acknowledged(addresses: &[SocketAddr], method: &str) -> Instant {
    let mut tries = 0;
    wait_for("the acknowledgement of an evacuation", || {
        let status = order(addresses[tries % addresses.len()], method, EVACUATED);
        tries += 1;
        let is_final = status.is_some_and(|status| (400..500).contains(&status));
        assert!(!is_final, "{method} was answered with {status:?}");
        (status == Some(200)).then(Instant::now)
    })
}

fn call(entry: &Machine, method: &str, path: &str, id: &str) -> std::io::Result<HttpResponse> {
    let key = format!("Token {KEY}");
    let headers = [
        ("Authorization", key.as_str()),
        ("Request-Id", id),
        ("Prompt-Prefix", "aa:100,bb:10"),
        ("Token-Counts", "110,40"),
    ];
    send_request(entry.callers(), method, path, &headers, "")
}

fn is_served(entry: &Machine) -> bool {
    call(entry, "GET", "/albums/1", "probe").is_ok_and(|answer| answer.status == 200)
}

/// Sends requests to all entry instances for a time; returns how many were sent and served.
fn send_probes(machines: &Machines, time: Duration) -> (usize, usize) {
    let until = Instant::now() + time;
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < until {
        for entry in &machines.entries {
            sent += 1;
            served += usize::from(is_served(entry));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    (sent, served)
}

/// Asserts that no request reaches the evacuated data centre after the bound, and that requests are
/// served elsewhere.
fn assert_evacuated(machines: &Machines, upstreams: &Upstreams, acknowledged_at: Instant) {
    let bound = acknowledged_at + BOUND;
    send_probes(machines, bound.saturating_duration_since(Instant::now()));
    let begun = Instant::now();
    let (sent, served) = send_probes(machines, PROBE_TIME);
    assert_eq!(upstreams.arrivals_since(begun.max(bound)), 0, "requests after the bound");
    assert!(served * 10 >= sent * 9, "{served} of {sent} requests were served elsewhere");
}

/// Asserts that requests reach the upstreams of the data centre again.
fn wait_until_used(machines: &Machines, upstreams: &Upstreams) {
    let since = Instant::now();
    wait_for("requests at the data centre", || {
        send_probes(machines, Duration::from_millis(100));
        (upstreams.arrivals_since(since) > 0).then_some(())
    });
}

/// Kills the process and removes its log file, which then has the lines of the next process only.
fn kill(machine: &mut Machine) {
    machine.kill();
    std::fs::remove_file(machine.log()).unwrap();
}

fn start_again(machine: &mut Machine, seeds: &[SocketAddr]) {
    machine.write_settings(seeds, false);
    machine.start();
}

/// Returns the index of the control instance that leads the log.
fn wait_for_leader(machines: &Machines) -> usize {
    wait_for("a leader", || {
        machines.controls.iter().position(|machine| {
            let page = send_request(machine.metrics(), "GET", "/metrics", &[], "");
            page.is_ok_and(|page| {
                page.text().lines().any(|line| line == "turmericrelay_replica_is_leader 1")
            })
        })
    })
}

/// Makes writes of evacuations fail: a folder of this name is in the place of the new file.
fn block_writes(machine: &Machine) -> std::path::PathBuf {
    let obstacle = machine.data_folder().join("feed").join("evacuations.new");
    std::fs::create_dir_all(&obstacle).unwrap();
    obstacle
}

/// Guards against orders that are refused or have no effect, at the first instance or at the one to
/// which the operator repeats them, and against requests that are sent after the bound.
#[test]
fn an_evacuated_data_centre_gets_no_requests_until_the_withdrawal() {
    let (machines, upstreams) = start(2);
    let seeds = machines.seeds();
    wait_until_used(&machines, &upstreams);
    let acknowledged_at = order_until_acknowledged(&seeds[..1], "POST");
    order_until_acknowledged(&seeds[1..], "POST");
    assert_evacuated(&machines, &upstreams, acknowledged_at);
    order_until_acknowledged(&seeds[2..], "DELETE");
    order_until_acknowledged(&seeds[..1], "DELETE");
    wait_until_used(&machines, &upstreams);
}

/// Guards against requests of a large fleet, in which load trackers are asked about upstreams, that
/// are sent although the upstream was evacuated in the meantime.
#[test]
fn an_evacuated_data_centre_gets_no_requests_of_a_large_fleet() {
    let mut number = 0;
    let machines = Machines::start_with_setup(3, LARGE_FLEET, |machine| {
        machine.data_centre = ["giza", EVACUATED, "delta"][number % 3].to_string();
        machine.losses_borne = 2;
        number += 1;
    });
    machines.put_document_until_acknowledged(&document(7));
    let (machines, upstreams) = with_upstreams(machines);
    let seeds = machines.seeds();
    wait_until_used(&machines, &upstreams);
    let acknowledged_at = order_until_acknowledged(&seeds, "POST");
    assert_evacuated(&machines, &upstreams, acknowledged_at);
    order_until_acknowledged(&seeds, "DELETE");
    wait_until_used(&machines, &upstreams);
}

/// Guards against retries and resumptions at evacuated upstreams after a failure of the others.
#[test_case("GET", "/albums/1", "shop", Behaviour::Fail; "retries of failed requests")]
#[test_case("GET", "/albums/1", "shop", Behaviour::Refuse; "retries of refused requests")]
#[test_case("POST", "/captions/1", "engines", Behaviour::BreakAfter(3); "resumptions of streams")]
fn requests_that_fail_elsewhere_are_not_sent_to_an_evacuated_data_centre(
    method: &str,
    path: &str,
    service: &str,
    behaviour: Behaviour,
) {
    let machines = start_machines(&document(7), |_| {});
    let start = |data_centre: &str, name: &str| {
        Worker::start_in(data_centre, name, service, machines.seeds())
    };
    let upstreams = Upstreams {
        evacuated: vec![start(EVACUATED, "evacuated")],
        remaining: vec![start("delta", "remaining")],
    };
    upstreams.remaining[0].set_behaviour(behaviour);
    wait_until_known(&machines, &upstreams.names());
    machines.wait_ready(7);
    let send = |id: &str| {
        for entry in &machines.entries {
            let _ = call(entry, method, path, id);
        }
    };
    let since = Instant::now();
    wait_for("requests at the data centre", || {
        send("before");
        (upstreams.arrivals_since(since) > 0).then_some(())
    });
    let evacuated_at = order_until_acknowledged(&machines.seeds(), "POST") + BOUND;
    std::thread::sleep(evacuated_at.saturating_duration_since(Instant::now()));
    let is_new = |at: &Instant| *at >= evacuated_at;
    wait_for("failures of the other upstream", || {
        send("after");
        let arrivals = upstreams.remaining[0].arrivals();
        (arrivals.iter().filter(|at| is_new(at)).count() >= 20).then_some(())
    });
    assert_eq!(upstreams.arrivals_since(evacuated_at), 0, "requests after the evacuation");
}

/// Guards against the end of requests in progress, and against requests that are held until their
/// deadline although all upstreams of their service are evacuated.
#[test]
fn an_evacuation_lets_running_requests_end_and_refuses_new_ones_at_once() {
    let (machines, _upstreams) = start(2);
    let engine = Worker::start_in(EVACUATED, "engine-1", "engines", machines.seeds());
    engine.set_behaviour(Behaviour::EventsEvery(300));
    wait_until_known(&machines, &["engine-1".to_string()]);
    let entry = &machines.entries[0];
    wait_for("a stream at the engine", || {
        let answer = call(entry, "POST", "/captions/1", "first").ok()?;
        (answer.status == 200 && answer.is_complete).then_some(())
    });
    let (answer, acknowledged_at) = std::thread::scope(|scope| {
        let running = scope.spawn(|| call(entry, "POST", "/captions/1", "running").unwrap());
        wait_for("the stream to begin", || {
            let requests = engine.executed_requests();
            requests.iter().any(|executed| executed.request == "running").then_some(())
        });
        let acknowledged_at = order_until_acknowledged(&machines.seeds(), "POST");
        (running.join().unwrap(), acknowledged_at)
    });
    assert!(answer.status == 200 && answer.is_complete, "{answer:?}");
    assert_eq!(answer.text().matches("id:").count(), EVENTS_PER_STREAM, "{}", answer.text());
    std::thread::sleep((acknowledged_at + BOUND).saturating_duration_since(Instant::now()));
    for machine in &machines.entries {
        let begun = Instant::now();
        let refusal = call(machine, "POST", "/captions/1", "late").unwrap();
        assert_eq!(refusal.status, 503, "{refusal:?}");
        assert!(refusal.headers.contains_key("retry-after"), "{refusal:?}");
        // The route has a deadline of six seconds.
        assert!(begun.elapsed() < Duration::from_secs(2), "the refusal is late");
    }
    let arrived = engine.received_requests();
    assert!(arrived.iter().all(|request| request.request != "late"), "{arrived:?}");
}

/// Guards against an order that is lost, or refused when it is repeated, because the leader died
/// before it was acknowledged.
#[test]
fn an_order_that_the_leader_did_not_acknowledge_is_acknowledged_elsewhere() {
    let (mut machines, upstreams) = start(1);
    let seeds = machines.seeds();
    let leader = wait_for_leader(&machines);
    let others: Vec<usize> = (0..3).filter(|index| *index != leader).collect();
    // One disk is too few for an acknowledgement, so that the order waits when the leader ends.
    let obstacles: Vec<_> =
        others.iter().map(|index| block_writes(&machines.controls[*index])).collect();
    std::thread::scope(|scope| {
        let address = seeds[leader];
        let waiting = scope.spawn(move || order_within(address, "POST", EVACUATED, 3));
        std::thread::sleep(Duration::from_millis(300));
        machines.controls[leader].kill();
        let status = waiting.join().unwrap();
        assert!(status.is_none_or(|status| status == 503), "{status:?}");
    });
    obstacles.iter().for_each(|obstacle| std::fs::remove_dir(obstacle).unwrap());
    let addresses: Vec<SocketAddr> = others.iter().map(|index| seeds[*index]).collect();
    let acknowledged_at = order_until_acknowledged(&addresses, "POST");
    assert_evacuated(&machines, &upstreams, acknowledged_at);
    // The order survives the return of the instance that did not acknowledge it.
    machines.controls[leader].start();
    order_until_acknowledged(&seeds[leader..=leader], "POST");
    assert_evacuated(&machines, &upstreams, acknowledged_at);
    order_until_acknowledged(&seeds[leader..=leader], "DELETE");
    wait_until_used(&machines, &upstreams);
}

/// Kills all processes and deletes the data of `lost`. Control instances that keep their disk end
/// first, so that they store nothing after the acknowledgement. Starts entry instances, and the
/// control instances of `returning` in this order, the last of them after requests for
/// [`RETURN_DELAY`]. Returns the time of the restart.
fn restart_after_losses(machines: &mut Machines, lost: &[usize], returning: &[usize]) -> Instant {
    let seeds = machines.seeds();
    let surviving = (0..3).filter(|index| !lost.contains(index));
    let order: Vec<usize> = surviving.chain(lost.iter().copied()).collect();
    order.into_iter().for_each(|index| kill(&mut machines.controls[index]));
    machines.entries.iter_mut().for_each(kill);
    lost.iter().for_each(|index| machines.controls[*index].delete_data());
    let restarted_at = Instant::now();
    machines.entries.iter_mut().for_each(|entry| start_again(entry, &seeds));
    for (place, index) in returning.iter().enumerate() {
        if place + 1 == returning.len() {
            send_probes(machines, RETURN_DELAY);
        }
        start_again(&mut machines.controls[*index], &seeds);
    }
    restarted_at
}

fn wait_until_served(machines: &Machines) {
    for entry in &machines.entries {
        wait_for("a served request", || is_served(entry).then_some(()));
    }
}

/// Guards against an acknowledged evacuation that is lost with all processes and the tolerated number
/// of disks, and against requests that are sent before it is known again. Two of three disks are more
/// than the log survives, which has no leader afterwards.
#[test_case(&[0, 1], &[0, 1, 2]; "instances without a disk return first")]
#[test_case(&[1, 2], &[1, 2, 0]; "disk of the acknowledging instance survives")]
#[test_case(&[2, 0], &[1]; "only one control instance returns")]
fn an_acknowledged_evacuation_survives_the_loss_of_all_processes_and_two_disks(
    lost: &[usize],
    returning: &[usize],
) {
    let (mut machines, upstreams) = start(2);
    let seeds = machines.seeds();
    wait_until_used(&machines, &upstreams);
    order_until_acknowledged(&seeds[..1], "POST");
    let restarted_at = restart_after_losses(&mut machines, lost, returning);
    wait_until_served(&machines);
    send_probes(&machines, PROBE_TIME);
    assert_eq!(upstreams.arrivals_since(restarted_at), 0, "requests after the restart");
}

/// Waits until the log has given the place of a lost disk to the new one. Another disk that is lost
/// before would be one too many for the log.
fn wait_until_all_vote(machines: &Machines) {
    for machine in &machines.controls {
        wait_for("a control instance to vote", || {
            let page = send_request(machine.metrics(), "GET", "/metrics", &[], "").ok()?;
            let text = page.text();
            let is_voting = |line: &str| line == "turmericrelay_replica_is_voting 1";
            text.lines().any(is_voting).then_some(())
        });
    }
}

/// Guards against an acknowledged withdrawal that is lost with all processes and one disk, or that is
/// undone by copies of the evacuation, and against orders that later ones cannot replace.
#[test_case(0, 0; "disk of the acknowledging instance is lost")]
#[test_case(1, 2; "another disk is lost")]
fn acknowledged_orders_survive_repeated_losses_of_all_processes_and_one_disk(
    acking: usize,
    lost: usize,
) {
    let (mut machines, upstreams) = start(1);
    let seeds = machines.seeds();
    order_until_acknowledged(&seeds[acking..=acking], "POST");
    let restarted_at = restart_after_losses(&mut machines, &[lost], &[0, 1, 2]);
    wait_until_served(&machines);
    send_probes(&machines, PROBE_TIME);
    assert_eq!(upstreams.arrivals_since(restarted_at), 0, "requests after the restart");
    wait_until_all_vote(&machines);
    order_until_acknowledged(&seeds[acking..=acking], "DELETE");
    let lost = (lost + 1) % 3;
    restart_after_losses(&mut machines, &[lost], &[0, 1, 2]);
    wait_until_served(&machines);
    wait_until_used(&machines, &upstreams);
    wait_until_all_vote(&machines);
    let acknowledged_at = order_until_acknowledged(&seeds, "POST");
    assert_evacuated(&machines, &upstreams, acknowledged_at);
}

/// Guards against older state of an instance that was away, which undoes a later order.
#[test_case("POST", "DELETE"; "withdrawal")]
#[test_case("DELETE", "POST"; "evacuation")]
fn an_instance_that_was_away_does_not_undo_a_later_order(before: &str, after: &str) {
    let (mut machines, upstreams) = start(1);
    let seeds = machines.seeds();
    order_until_acknowledged(&seeds, "POST");
    order_until_acknowledged(&seeds, before);
    for machine in &machines.controls {
        wait_for("the order at all control instances", || {
            let newest = machine.events("evacuation").pop()?;
            (newest["is_evacuated"] == (before == "POST")).then_some(())
        });
    }
    kill(&mut machines.controls[0]);
    order_until_acknowledged(&seeds[1..], after);
    machines.controls[1..].iter_mut().chain(&mut machines.entries).for_each(kill);
    for machine in machines.controls.iter_mut().chain(&mut machines.entries) {
        start_again(machine, &seeds);
    }
    let restarted_at = Instant::now();
    machines.wait_ready(7);
    match after {
        "POST" => assert_evacuated(&machines, &upstreams, restarted_at),
        _ => wait_until_used(&machines, &upstreams),
    }
    let expected = after == "POST";
    for machine in machines.controls.iter().chain(&machines.entries) {
        wait_for("the later order", || {
            let is_evacuated = machine.events("evacuation").pop()?["is_evacuated"].as_bool()?;
            (is_evacuated == expected).then_some(())
        });
    }
}

/// Guards against acknowledgements although too few disks accept writes, and against orders that have
/// no effect until they are acknowledged.
#[test_case(1, 200; "one of three disks")]
#[test_case(2, 503; "two of three disks")]
fn an_order_is_acknowledged_if_two_disks_accept_writes(failing: usize, status: u16) {
    let (machines, upstreams) = start(1);
    let obstacles: Vec<_> = machines.controls[..failing].iter().map(block_writes).collect();
    let address = machines.controls[0].control();
    assert_eq!(order_within(address, "POST", EVACUATED, 5), Some(status));
    // The order is in force either way, since the log has committed it.
    assert_evacuated(&machines, &upstreams, Instant::now());
    obstacles.iter().for_each(|obstacle| std::fs::remove_dir(obstacle).unwrap());
    order_until_acknowledged(&[address], "POST");
}

/// Guards against orders that are refused because no upstream has announced itself from the data
/// centre yet, and against invalid names that an operator would repeat.
#[test]
fn unknown_data_centres_are_accepted_and_invalid_names_refused() {
    let (machines, _upstreams) = start(2);
    let address = machines.controls[0].control();
    for method in ["POST", "DELETE"] {
        assert_eq!(order_within(address, method, "unknown", 5), Some(200), "{method}");
        for name in ["", "no%20name", &"long".repeat(40)] {
            assert_eq!(order_within(address, method, name, 5), Some(400), "{method} {name:?}");
        }
    }
}
