//! Tests that an upstream which leaves before its first announcement arrives is not used when the
//! announcement does, whatever is lost in between, and that its next run is.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use support::machines::{KEY, Machine, Machines, document};
use support::worker::{Worker, send_request, send_request_with_timeout};
use support::{free_address, wait_for};
use test_case::test_case;

/// Time in which a change of an upstream is known to all instances.
const CONTACT_TIME: Duration = Duration::from_secs(2);

/// Time for which requests are sent that may reach an upstream that left.
const PROBE_TIME: Duration = Duration::from_secs(2);

/// Time after a leave from which the next run is used, and some announcements.
const NEXT_RUN_TIME: Duration = Duration::from_secs(13);

/// How an upstream says that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leave {
    /// The leave names the run that ends.
    Named,
    Unnamed,
}

/// What is lost between the acknowledgement and the late announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Nothing,
    /// All processes.
    Processes,
    /// All processes and the disk of the control instance that acknowledged.
    Disk,
    /// The processes of entry instances.
    Entries,
}

/// An upstream whose announcements the test sends.
struct Upstream {
    worker: Worker,
    path: String,
}

impl Upstream {
    fn start(name: &str) -> Self {
        // Nobody listens at the control address of the worker.
        let worker = Worker::start(name, "shop", vec![free_address()]);
        worker.stop_announcing();
        Self { worker, path: format!("/v1/workers/{name}") }
    }

    /// Sends an announcement, and returns whether it was acknowledged.
    fn announce(&self, control: SocketAddr, announcement: &str) -> bool {
        let answer = send_request_with_timeout(control, "PUT", &self.path, &[], announcement, 2);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Sends a leave as an upstream does, which waits for one second.
    fn leave(&self, control: SocketAddr, leave: Leave) -> Option<u16> {
        let announcement: serde_json::Value =
            serde_json::from_str(&self.worker.announcement("ready")).unwrap();
        let body = match leave {
            Leave::Named => serde_json::json!({ "born": announcement["born"] }).to_string(),
            Leave::Unnamed => String::new(),
        };
        let answer = send_request_with_timeout(control, "DELETE", &self.path, &[], &body, 1);
        Some(answer.ok()?.status)
    }

    fn leave_until_acknowledged(&self, control: SocketAddr, leave: Leave) {
        wait_for("the acknowledgement of a leave", || {
            (self.leave(control, leave) == Some(200)).then_some(())
        });
    }

    fn requests_since(&self, since: Instant) -> usize {
        self.worker.arrivals().into_iter().filter(|at| *at >= since).count()
    }
}

/// Starts three control instances and two entry instances with an upstream that stays.
fn start<F>(setup: F) -> (Machines, Worker)
where
    F: FnMut(&mut Machine),
{
    let machines = Machines::start_with_setup(3, 2, setup);
    machines.put_document_until_acknowledged(&document(5));
    let remaining = Worker::start("i-stays", "shop", machines.seeds());
    machines.wait_ready(5);
    wait_until_served(&machines);
    (machines, remaining)
}

fn call(entry: &Machine) -> Option<u16> {
    let key = format!("Token {KEY}");
    let headers = [("Authorization", key.as_str()), ("Request-Id", "probe")];
    Some(send_request(entry.callers(), "GET", "/albums/1", &headers, "").ok()?.status)
}

fn wait_until_served(machines: &Machines) {
    for entry in &machines.entries {
        wait_for("a served request", || (call(entry) == Some(200)).then_some(()));
    }
}

/// Sends requests to all entry instances for a time, and returns how many were served.
fn send_probes(machines: &Machines, time: Duration) -> usize {
    let until = Instant::now() + time;
    let mut served = 0;
    while Instant::now() < until {
        let answers = machines.entries.iter().map(call);
        served += answers.filter(|status| *status == Some(200)).count();
        std::thread::sleep(Duration::from_millis(10));
    }
    served
}

/// Asserts that requests are served, and that none reaches the upstreams.
fn assert_unused(machines: &Machines, upstreams: &[&Upstream]) {
    let since = Instant::now();
    assert!(send_probes(machines, PROBE_TIME) > 0, "no request was served");
    for upstream in upstreams {
        let arrived = upstream.requests_since(since);
        assert_eq!(arrived, 0, "{} requests reached {}", arrived, upstream.worker.name());
    }
}

fn wait_until_used(machines: &Machines, upstream: &Upstream, time: Duration) {
    let since = Instant::now();
    while upstream.requests_since(since) == 0 {
        assert!(since.elapsed() < time, "{} is not used", upstream.worker.name());
        send_probes(machines, Duration::from_millis(100));
    }
}

fn lose(machines: &mut Machines, loss: Loss, acking: usize) {
    let seeds = machines.seeds();
    let loses_processes = matches!(loss, Loss::Processes | Loss::Disk);
    let lost_controls = if loses_processes { machines.controls.len() } else { 0 };
    let entries = machines.entries.iter_mut().filter(|_| loss != Loss::Nothing);
    let mut lost: Vec<&mut Machine> =
        machines.controls[..lost_controls].iter_mut().chain(entries).collect();
    lost.iter_mut().for_each(|machine| machine.kill());
    if loss == Loss::Disk {
        lost[acking].delete_data();
    }
    for machine in lost {
        machine.write_settings(&seeds, false);
        machine.start();
    }
}

/// Announces an upstream to all control instances until the time is over or it is used.
fn announce_until_used(machines: &Machines, upstream: &Upstream, time: Duration) {
    let since = Instant::now();
    while upstream.requests_since(since) == 0 {
        assert!(since.elapsed() < time, "{} is not used", upstream.worker.name());
        let announcement = upstream.worker.announcement("ready");
        upstream.announce(machines.controls[0].control(), &announcement);
        send_probes(machines, Duration::from_millis(300));
    }
}

/// Guards against a leave that is acknowledged and kept nowhere, because the upstream is not known yet:
/// an announcement that arrives later brought the upstream into use.
#[test_case(Leave::Named, Loss::Nothing; "named run")]
#[test_case(Leave::Named, Loss::Processes; "named run and all processes killed")]
#[test_case(Leave::Named, Loss::Disk; "named run and a lost disk")]
#[test_case(Leave::Named, Loss::Entries; "named run and entry instances killed")]
#[test_case(Leave::Unnamed, Loss::Nothing; "no run")]
#[test_case(Leave::Unnamed, Loss::Processes; "no run and all processes killed")]
#[test_case(Leave::Unnamed, Loss::Disk; "no run and a lost disk")]
#[test_case(Leave::Unnamed, Loss::Entries; "no run and entry instances killed")]
fn an_upstream_that_left_before_its_announcement_arrived_is_not_used(leave: Leave, loss: Loss) {
    let (mut machines, _remaining) = start(|_| {});
    let seeds = machines.seeds();
    // Their announcements arrive at the control instance that gets the leaves, and at another one.
    let upstreams = ["i-same", "i-other"].map(Upstream::start);
    let late = upstreams.each_ref().map(|upstream| upstream.worker.announcement("ready"));
    for upstream in &upstreams {
        upstream.leave_until_acknowledged(seeds[0], leave);
    }
    lose(&mut machines, loss, 0);
    wait_until_served(&machines);
    for ((upstream, announcement), control) in upstreams.iter().zip(&late).zip(&seeds) {
        wait_for("the acknowledgement of a late announcement", || {
            upstream.announce(*control, announcement).then_some(())
        });
    }
    assert_unused(&machines, &[&upstreams[0], &upstreams[1]]);
    // The next run, under the same name.
    let next = Upstream::start("i-same");
    announce_until_used(&machines, &next, NEXT_RUN_TIME);
    assert_unused(&machines, &[&upstreams[0], &upstreams[1]]);
}

/// Guards against a leave that does not reach the control instance at which the announcement arrives
/// first.
#[test_case(Leave::Named; "named run")]
#[test_case(Leave::Unnamed; "no run")]
fn an_instance_that_learns_of_the_leave_last_takes_the_upstream_out_of_use(leave: Leave) {
    let (mut machines, _remaining) = start(|_| {});
    let controls: Vec<SocketAddr> = machines.controls.iter().map(Machine::control).collect();
    let upstream = Upstream::start("i-early");
    let late = upstream.worker.announcement("ready");
    machines.controls[2].process().signal("STOP");
    std::thread::scope(|scope| {
        let announcing = scope.spawn(|| upstream.announce(controls[2], &late));
        upstream.leave_until_acknowledged(controls[0], leave);
        machines.controls[2].process().signal("CONT");
        assert!(announcing.join().unwrap(), "the announcement is not acknowledged");
    });
    std::thread::sleep(CONTACT_TIME);
    assert_unused(&machines, &[&upstream]);
    assert!(upstream.announce(controls[2], &late));
    assert_unused(&machines, &[&upstream]);
}

/// Guards against a leave that is taken for that of an earlier run, which is the one that is known.
#[test_case(Leave::Named; "named run")]
#[test_case(Leave::Unnamed; "no run")]
fn a_run_that_left_is_not_used_if_an_earlier_one_was_known(leave: Leave) {
    let (machines, _remaining) = start(|_| {});
    let controls: Vec<SocketAddr> = machines.controls.iter().map(Machine::control).collect();
    let earlier = Upstream::start("i-early");
    assert!(earlier.announce(controls[1], &earlier.worker.announcement("ready")));
    wait_until_used(&machines, &earlier, CONTACT_TIME);
    // The earlier run still accepts connections, so that its address is not avoided as unreachable.
    let later = Upstream::start("i-early");
    let late = later.worker.announcement("ready");
    later.leave_until_acknowledged(controls[0], leave);
    assert!(later.announce(controls[1], &late));
    std::thread::sleep(CONTACT_TIME);
    assert_unused(&machines, &[&earlier, &later]);
}

/// Guards against a leave of an earlier run that ends the next one, because it was held up on its way.
#[test]
fn a_leave_that_arrives_late_does_not_end_the_next_run() {
    let mut proxies = Vec::new();
    let (machines, _remaining) = start(|machine| {
        if proxies.is_empty() {
            proxies = machine.listen_behind_proxies();
        }
    });
    let controls: Vec<SocketAddr> = machines.controls.iter().map(Machine::control).collect();
    let earlier = Upstream::start("i-early");
    assert!(earlier.announce(controls[1], &earlier.worker.announcement("ready")));
    wait_until_used(&machines, &earlier, CONTACT_TIME);
    // The second proxy is that for operators and announcements.
    proxies[1].change(|faults| faults.is_cut = true);
    assert_eq!(earlier.leave(controls[0], Leave::Unnamed), None);
    earlier.leave_until_acknowledged(controls[1], Leave::Unnamed);
    earlier.worker.end();
    let next = Upstream::start("i-early");
    wait_for("the next run to be used", || {
        assert!(next.announce(controls[1], &next.worker.announcement("ready")));
        let since = Instant::now();
        send_probes(&machines, Duration::from_millis(300));
        (next.requests_since(since) > 0).then_some(())
    });
    proxies[1].change(|faults| faults.is_cut = false);
    std::thread::sleep(CONTACT_TIME);
    assert!(next.announce(controls[1], &next.worker.announcement("ready")));
    wait_until_used(&machines, &next, CONTACT_TIME);
}
