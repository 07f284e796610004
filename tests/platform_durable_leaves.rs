//! Tests that an acknowledged leave, or an acknowledged report of draining, survives a kill of all
//! processes right after the acknowledgement, the loss of one disk, and a control instance that
//! stays away.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use support::machines::{KEY, Machine, Machines, document};
use support::wait_for;
use support::worker::{Worker, send_request, send_request_with_timeout};
use test_case::test_case;

/// Times between the acknowledgement and the kill, in milliseconds.
const KILL_DELAYS: [u64; 4] = [0, 5, 50, 150];

/// Time after the start of all processes from which the entry instance has to know the leave.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after which no announcement of an upstream that stopped announcing is on its way.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(400);

/// Number of requests that probe for an upstream that left.
const PROBES: usize = 18;

/// What an upstream says when it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Notice {
    Leave,
    Draining,
}

/// What is lost in addition to the processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Nothing,
    /// Disk of the control instance that acknowledged.
    Disk,
    /// The control instance that acknowledged stays away.
    Instance,
}

/// How an upstream obtains its acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    First,
    /// The first acknowledgement was lost, and the notice is repeated.
    Repeated,
    /// The first acknowledgement was lost, and the notice is repeated at another control instance.
    RepeatedElsewhere,
}

impl Notice {
    /// Returns the method, the path and the body of the notice of `worker`.
    fn request(self, name: &str, worker: &Worker) -> (&'static str, String, String) {
        let path = format!("/v1/workers/{name}");
        match self {
            Self::Leave => ("DELETE", path, String::new()),
            Self::Draining => ("PUT", path, worker.announcement("draining")),
        }
    }
}

/// Sends a request and closes the connection without reading the response.
fn send_without_reading(address: SocketAddr, method: &str, path: &str, body: &str) {
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nHost: api.example\r\n");
    let request = format!("{head}Content-Length: {length}\r\n\r\n{body}");
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
}

/// Sends the notice until a control instance acknowledges it.
fn send_notice(
    (name, worker): (&str, &Worker),
    notice: Notice,
    attempt: Attempt,
    [acking, other]: [SocketAddr; 2],
) {
    let (method, path, body) = notice.request(name, worker);
    match attempt {
        Attempt::First => {}
        Attempt::Repeated => send_without_reading(acking, method, &path, &body),
        Attempt::RepeatedElsewhere => send_without_reading(other, method, &path, &body),
    }
    wait_for("acknowledgement of the notice", || {
        let answer = send_request_with_timeout(acking, method, &path, &[], &body, 1);
        answer.is_ok_and(|answer| answer.status == 200).then_some(())
    });
}

/// Waits until `machines` know all of `names`.
fn wait_until_known<'machine, I>(machines: I, names: &[String])
where
    I: IntoIterator<Item = &'machine Machine>,
{
    for machine in machines {
        wait_for("upstream discovery", || {
            let events = machine.events("upstream");
            let is_known = |name: &String| events.iter().any(|event| event["upstream"] == **name);
            names.iter().all(is_known).then_some(())
        });
    }
}

fn call(entry: &Machine, id: &str) -> Option<u16> {
    let key = format!("Token {KEY}");
    let headers = [("Authorization", key.as_str()), ("Request-Id", id)];
    Some(send_request(entry.callers(), "GET", "/albums/1", &headers, "").ok()?.status)
}

/// Returns the number of `workers` that executed a request of `probes`.
fn count_used(workers: &[Worker], probes: &[String]) -> usize {
    let is_used = |worker: &&Worker| {
        worker.executed_requests().iter().any(|executed| probes.contains(&executed.request))
    };
    workers.iter().filter(is_used).count()
}

/// Guards against acknowledgements of a leave that no disk holds yet: the upstream returned after a
/// kill of all processes.
#[test_case(Notice::Leave, Loss::Nothing; "leave and all processes killed")]
#[test_case(Notice::Leave, Loss::Disk; "leave and a lost disk")]
#[test_case(Notice::Leave, Loss::Instance; "leave and an instance that stays away")]
#[test_case(Notice::Draining, Loss::Nothing; "draining and all processes killed")]
#[test_case(Notice::Draining, Loss::Disk; "draining and a lost disk")]
#[test_case(Notice::Draining, Loss::Instance; "draining and an instance that stays away")]
fn an_acknowledged_leave_survives_a_kill_of_all_processes(notice: Notice, loss: Loss) {
    // Upstreams that announce nothing are still in use when the requests are sent.
    let set_period = |machine: &mut Machine| machine.announce_period_millis = 1200;
    let mut machines = Machines::start_with_setup(3, 1, set_period);
    let seeds = machines.seeds();
    let _remaining = Worker::start("i-stays", "shop", seeds.clone());
    machines.put_document_until_acknowledged(&document(5));
    machines.wait_ready(5);
    let mut failures = Vec::new();
    for (round, delay) in KILL_DELAYS.into_iter().enumerate() {
        let acking = round % 3;
        let addresses = [seeds[acking], seeds[(acking + 1) % 3]];
        let attempts = [Attempt::First, Attempt::Repeated, Attempt::RepeatedElsewhere];
        let names: Vec<String> =
            attempts.iter().map(|attempt| format!("i-{round}-{attempt:?}")).collect();
        let workers: Vec<Worker> =
            names.iter().map(|name| Worker::start(name, "shop", seeds.clone())).collect();
        wait_until_known(machines.controls.iter().chain(&machines.entries), &names);
        workers.iter().for_each(Worker::stop_announcing);
        std::thread::sleep(ANNOUNCEMENT_TIME);
        std::thread::scope(|scope| {
            for ((name, worker), attempt) in names.iter().zip(&workers).zip(attempts) {
                scope.spawn(move || send_notice((name, worker), notice, attempt, addresses));
            }
        });
        std::thread::sleep(Duration::from_millis(delay));
        for machine in machines.controls.iter_mut().chain(&mut machines.entries) {
            machine.kill();
        }
        if loss == Loss::Disk {
            machines.controls[acking].delete_data();
        }
        let is_away = |index: usize| loss == Loss::Instance && index == acking;
        for (index, control) in machines.controls.iter_mut().enumerate() {
            control.write_settings(&seeds, false);
            if !is_away(index) {
                control.start();
            }
        }
        let entry = &mut machines.entries[0];
        entry.write_settings(&seeds, false);
        entry.start();
        let in_touch_at = Instant::now() + CONTACT_TIME;
        let entry = &machines.entries[0];
        wait_for("a served request", || (call(entry, "early") == Some(200)).then_some(()));
        std::thread::sleep(in_touch_at.saturating_duration_since(Instant::now()));
        let probes: Vec<String> =
            (0..PROBES).map(|number| format!("probe-{round}-{number}")).collect();
        let served = probes.iter().filter(|probe| call(entry, probe) == Some(200)).count();
        assert!(served > 0, "{delay} ms: no request was served");
        let used = count_used(&workers, &probes);
        if used > 0 {
            failures.push(format!("{delay} ms: {used} of {} returned", workers.len()));
        }
        workers.iter().for_each(Worker::end);
        if is_away(acking) {
            machines.controls[acking].start();
        }
    }
    assert!(failures.is_empty(), "upstreams that left: {failures:?}");
}

/// Starts a fleet of three control instances and one entry instance with two upstreams.
fn start_with_two_upstreams() -> (Machines, Worker, Worker) {
    let set_period = |machine: &mut Machine| machine.announce_period_millis = 1200;
    let machines = Machines::start_with_setup(3, 1, set_period);
    let remaining = Worker::start("i-stays", "shop", machines.seeds());
    let leaving = Worker::start("i-leaves", "shop", machines.seeds());
    machines.put_document_until_acknowledged(&document(5));
    machines.wait_ready(5);
    let names = ["i-stays", "i-leaves"].map(String::from);
    wait_until_known(machines.controls.iter().chain(&machines.entries), &names);
    (machines, remaining, leaving)
}

/// Stops the announcements of `worker`, and waits for the one that may be on its way.
fn stop_announcing(worker: &Worker) {
    worker.stop_announcing();
    std::thread::sleep(ANNOUNCEMENT_TIME);
}

/// Sends requests to the entry instance, and returns whether `worker` executed one of them.
fn is_used(machines: &Machines, worker: &Worker, step: &str) -> bool {
    let probes: Vec<String> = (0..PROBES).map(|number| format!("{step}-{number}")).collect();
    for probe in &probes {
        assert_eq!(call(&machines.entries[0], probe), Some(200));
    }
    count_used(std::slice::from_ref(worker), &probes) > 0
}

fn wait_until_unused(machines: &Machines, worker: &Worker) {
    let mut tries = 0;
    wait_for("the upstream to be out of use", || {
        tries += 1;
        (!is_used(machines, worker, &format!("try-{tries}"))).then_some(())
    });
}

fn send_leave(address: SocketAddr) -> u16 {
    send_request_with_timeout(address, "DELETE", "/v1/workers/i-leaves", &[], "", 2).unwrap().status
}

/// Guards against acknowledgements that depend on one disk, or are given although too few disks
/// accept writes.
#[test_case(1, true; "one of three disks")]
#[test_case(2, false; "two of three disks")]
fn a_leave_is_acknowledged_if_two_disks_accept_writes(failing: usize, is_acknowledged: bool) {
    let (machines, remaining, leaving) = start_with_two_upstreams();
    stop_announcing(&leaving);
    let obstacles: Vec<_> = machines.controls[..failing]
        .iter()
        .map(|control| control.data_folder().join("feed").join("leaves.new"))
        .collect();
    // A folder of this name makes each write fail.
    obstacles.iter().for_each(|obstacle| std::fs::create_dir_all(obstacle).unwrap());
    let address = machines.controls[0].control();
    let began = Instant::now();
    let status = send_leave(address);
    assert_eq!(status, if is_acknowledged { 200 } else { 503 });
    assert!(began.elapsed() < Duration::from_secs(1), "the answer is late");
    // The leave is in force either way, and other announcements are acknowledged.
    wait_until_unused(&machines, &leaving);
    let path = "/v1/workers/i-stays";
    let ready = send_request(address, "PUT", path, &[], &remaining.announcement("ready")).unwrap();
    assert_eq!(ready.status, 200);
    obstacles.iter().for_each(|obstacle| std::fs::remove_dir(obstacle).unwrap());
    wait_for("acknowledgement of the leave", || (send_leave(address) == 200).then_some(()));
}

/// Guards against the loss of a leave that reaches a control instance which does not know the
/// upstream, because it restarts without its disk.
#[test]
fn a_leave_at_a_control_instance_that_lost_its_disk_takes_the_upstream_out_of_use() {
    let (mut machines, _remaining, leaving) = start_with_two_upstreams();
    stop_announcing(&leaving);
    let seeds = machines.seeds();
    let control = &mut machines.controls[0];
    control.kill();
    control.delete_data();
    control.write_settings(&seeds, false);
    control.start();
    let address = control.control();
    wait_for("acknowledgement of the leave", || {
        let answer =
            send_request_with_timeout(address, "DELETE", "/v1/workers/i-leaves", &[], "", 2);
        answer.is_ok_and(|answer| answer.status == 200).then_some(())
    });
    std::thread::sleep(Duration::from_secs(2));
    assert!(!is_used(&machines, &leaving, "left"));
}

/// Guards against an older disk that brings an upstream back although another disk holds its leave.
#[test_case(Notice::Leave; "leave")]
#[test_case(Notice::Draining; "draining")]
fn an_older_disk_that_is_read_first_brings_no_upstream_back(notice: Notice) {
    let (mut machines, _remaining, leaving) = start_with_two_upstreams();
    stop_announcing(&leaving);
    let seeds = machines.seeds();
    machines.controls[0].kill();
    let addresses = [seeds[1], seeds[2]];
    send_notice(("i-leaves", &leaving), notice, Attempt::First, addresses);
    for machine in machines.controls.iter_mut().chain(&mut machines.entries) {
        machine.kill();
        machine.write_settings(&seeds, false);
    }
    machines.entries[0].start();
    machines.controls[0].start();
    std::thread::sleep(Duration::from_secs(1));
    machines.controls[1].start();
    machines.controls[2].start();
    std::thread::sleep(CONTACT_TIME);
    wait_for("a served request", || {
        (call(&machines.entries[0], "early") == Some(200)).then_some(())
    });
    assert!(!is_used(&machines, &leaving, "left"));
}
