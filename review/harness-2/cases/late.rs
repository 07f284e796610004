//! A worker leaves before its first liveness report has arrived, which is seconds late.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use super::{document, small_deployment, start, start_worker, wait, worker_setup, HOST, KEY};
use crate::fleet::Fleet;
use crate::http::call;
use crate::record::Record;
use crate::worker::{Answers, Setup, Worker};

/// Time by which the first liveness report of the worker is late, in milliseconds.
const LATE_MS: u64 = 2500;

/// Time between the start of the worker and its leave.
const LEAVE_AFTER: Duration = Duration::from_millis(1000);

/// `drain-ms` of the deployment, and the time after the ack for which the worker goes on serving, both
/// in seconds.
const DRAIN_S: f64 = 2.0;
const SERVES_S: f64 = 8.0;

fn send_requests(front: SocketAddr, record: &Record, is_over: &AtomicBool) -> usize {
    let key = format!("Token {KEY}");
    let (mut number, mut served) = (0_usize, 0_usize);
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let IpNumber(ip) = IpNumber::from(front);
        let id = format!("{ip:08x}{number:08x}");
        let headers = [
            ("Host", HOST),
            ("Request-Id", id.as_str()),
            ("Deadline-Remaining", "1500"),
            ("Authorization", key.as_str()),
        ];
        let timeout = Duration::from_millis(1500);
        let status = match call(front, "POST", "/book/1", &headers, b"a booking", timeout) {
            Ok(answer) => answer.head.status(),
            Err(_) => 0,
        };
        match status {
            200 => served += 1,
            status => record.line(format!("client has status {status} for {id}")),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    served
}

/// Number of an IPv4 address.
struct IpNumber(u32);

impl From<SocketAddr> for IpNumber {
    fn from(address: SocketAddr) -> Self {
        match address.ip() {
            std::net::IpAddr::V4(ip) => Self(u32::from(ip)),
            std::net::IpAddr::V6(_) => Self(0),
        }
    }
}

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let fleet = Fleet::start(small_deployment(), record);
    fleet.put_document(&document(7));
    let answers =
        || Answers { is_framed: true, pieces: 1, interval_ms: 0, deadly: "-".to_string() };
    let zones = fleet.deployment.zones.clone();
    let others: Vec<Worker> = (0..3)
        .map(|number| start_worker(&fleet, record, number, ("app", &zones[number]), answers()))
        .collect();
    fleet.wait_ready();
    std::thread::sleep(Duration::from_millis(3500));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = fleet
        .fronts
        .iter()
        .map(|front| {
            let (front, record, is_over) = (front.front(), record.clone(), is_over.clone());
            std::thread::spawn(move || send_requests(front, &record, &is_over))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let setup = worker_setup(&fleet, 3, ("app", &zones[0]), answers());
    let held_ms = if has_trouble { LATE_MS } else { 0 };
    let mut worker = start(&fleet, record, Setup { held_ms, ..setup });
    record.line(format!("worker {} starts", worker.setup.id));
    std::thread::sleep(LEAVE_AFTER);
    worker.command("leave");
    if !wait(5.0, || worker.has_line("left, acknowledged: true")) {
        fleet.cannot_run("the leave was not acknowledged");
    }
    let acknowledged_at = record.seconds();
    record.line("the leave is acknowledged; the worker goes on serving for a while");
    std::thread::sleep(Duration::from_secs_f64(SERVES_S));
    worker.kill();
    std::thread::sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::SeqCst);
    let served: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    let lines = worker.lines();
    let late = lines.iter().filter(|(at, line)| {
        line.starts_with("runs ") && *at > acknowledged_at + DRAIN_S
    });
    let late = late.count();
    record.line(format!(
        "{late} requests reached the worker later than {DRAIN_S} s after the ack of its leave; {served} \
         requests were served"
    ));
    if late > 0 {
        record.line("BROKEN: a worker whose leave was acknowledged gets requests");
    }
    drop(others);
    fleet.end();
    if served == 0 { 2 } else { i32::from(late > 0) }
}
