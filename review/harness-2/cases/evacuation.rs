//! A core machine freezes with an order of the operator in its socket. The operator repeats the order
//! at another machine, which acknowledges it, and gives a new one, which is acknowledged as well. Then
//! the frozen machine wakes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{ashby_deployment, document, start_worker, wait, HOST, KEY};
use crate::fleet::{Fleet, Signal};
use crate::http::call;
use crate::record::Record;
use crate::worker::{Answers, Worker};

/// Zone that is evacuated.
const ZONE: &str = "midlands-b";

/// `evacuation-ms`, `stretch-limit-ms` and `contact-ms` of the deployment, in seconds.
const EVACUATION_S: f64 = 5.0;
const STRETCH_S: f64 = 6.0;
const CONTACT_S: f64 = 4.0;

/// Time for which the core machine is frozen, in seconds. The pages have 6.9 s on this deployment.
const FREEZE_S: f64 = 4.0;

/// Time for which arrivals are counted after all bounds have passed, in seconds.
const COUNTED_S: f64 = 5.0;

/// Sends an order as the operator does: it waits for a second. Returns whether it is acknowledged.
fn order(record: &Record, control: SocketAddr, method: &str) -> bool {
    let path = format!("/v1/evacuation/{ZONE}");
    let answer = call(control, method, &path, &[], b"", Duration::from_secs(1));
    let text = match &answer {
        Ok(answer) => answer.head.first_line.clone(),
        Err(error) => format!("no answer ({error})"),
    };
    record.line(format!("operator: {method} {path} at {control}: {text}"));
    answer.is_ok_and(|answer| (200..300).contains(&answer.head.status()))
}

/// Repeats an order at the machines in turn, beginning with the first, until it is acknowledged.
fn order_until_acknowledged(
    fleet: &Fleet,
    record: &Record,
    controls: &[SocketAddr],
    method: &str,
) {
    let is_acknowledged = (0..2 * controls.len()).any(|attempt| {
        let is_acknowledged = order(record, controls[attempt % controls.len()], method);
        if !is_acknowledged {
            std::thread::sleep(Duration::from_millis(100));
        }
        is_acknowledged
    });
    if !is_acknowledged {
        fleet.cannot_run("an order was not acknowledged");
    }
}

/// Returns how many requests the worker began to run from second `from` to second `to`.
fn runs(worker: &Worker, from: f64, to: f64) -> usize {
    let lines = worker.lines();
    let is_counted = |(at, line): &&(f64, String)| {
        line.starts_with("runs ") && *at >= from && *at < to
    };
    lines.iter().filter(is_counted).count()
}

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let fleet = Fleet::start(ashby_deployment(), record);
    fleet.put_document(&document(7));
    let zones = fleet.deployment.zones.clone();
    let workers: Vec<Worker> = (0..6)
        .map(|number| {
            let answers = Answers { is_framed: true, pieces: 1, interval_ms: 0, deadly: "-".to_string() };
            let zone = zones[number % zones.len()].as_str();
            start_worker(&fleet, record, number, ("app", zone), answers)
        })
        .collect();
    fleet.wait_ready();
    std::thread::sleep(Duration::from_millis(2000));
    let is_over = Arc::new(AtomicBool::new(false));
    let statuses: Arc<Mutex<Vec<(f64, u16)>>> = Arc::default();
    let clients: Vec<_> = fleet
        .fronts
        .iter()
        .map(|front| {
            let (front, is_over) = (front.front(), is_over.clone());
            let (record, statuses) = (record.clone(), statuses.clone());
            std::thread::spawn(move || send_requests(front, &record, &is_over, &statuses))
        })
        .collect();
    let controls = fleet.controls();
    let evacuated: Vec<&Worker> =
        workers.iter().filter(|worker| worker.setup.zone == ZONE).collect();
    let used = wait(5.0, || evacuated.iter().all(|worker| worker.has_line("runs ")));
    if !used {
        fleet.cannot_run("the zone gets no requests before its evacuation");
    }
    order_until_acknowledged(&fleet, record, &controls[..3], "POST");
    std::thread::sleep(Duration::from_secs_f64(EVACUATION_S + 1.0));
    // A machine of the evacuated zone, so that no more than this zone is lost.
    let frozen = &fleet.cores[4];
    let others = [controls[0], controls[2], controls[3], controls[5]];
    let frozen_at = record.seconds();
    if has_trouble {
        frozen.signal(Signal::Stop);
        record.line(format!("core machine {} is frozen", frozen.ip));
    }
    // The operator takes the zone back; the first machine that it picks is the frozen one.
    let mut order_of_machines = vec![frozen.control()];
    order_of_machines.extend(others);
    order_until_acknowledged(&fleet, record, &order_of_machines, "DELETE");
    std::thread::sleep(Duration::from_millis(500));
    // It has the zone evacuated once more.
    order_until_acknowledged(&fleet, record, &others[1..], "POST");
    let acknowledged_at = record.seconds();
    record.line("the last order, an evacuation, is acknowledged");
    let left = frozen_at + FREEZE_S - record.seconds();
    std::thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    if has_trouble {
        frozen.signal(Signal::Continue);
        record.line(format!("core machine {} wakes", frozen.ip));
    }
    let woken_at = record.seconds();
    let counted_from =
        (acknowledged_at + EVACUATION_S + STRETCH_S).max(woken_at + CONTACT_S + EVACUATION_S);
    let counted_to = counted_from + COUNTED_S;
    std::thread::sleep(Duration::from_secs_f64(counted_to - record.seconds() + 0.2));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let reached: usize =
        evacuated.iter().map(|worker| runs(worker, counted_from, counted_to)).sum();
    let others = workers.iter().filter(|worker| worker.setup.zone != ZONE);
    let elsewhere: usize = others.map(|worker| runs(worker, counted_from, counted_to)).sum();
    record.line(format!(
        "from {counted_from:.1} to {counted_to:.1} s, after all bounds, {reached} requests reached \
         the evacuated zone and {elsewhere} others"
    ));
    let logs = fleet.cores.iter().flat_map(|core| {
        let lines = core.log_lines("\"evacuation");
        lines.into_iter().map(move |line| format!("log of {}: {line}", core.ip))
    });
    logs.for_each(|line| record.line(line));
    if reached > 0 {
        record.line("BROKEN: requests reach the zone although its last acknowledged order stands");
    }
    let is_sound = elsewhere > 0;
    drop(workers);
    fleet.end();
    match (reached > 0, is_sound) {
        (true, _) => 1,
        (false, true) => 0,
        (false, false) => 2,
    }
}

fn send_requests(
    front: SocketAddr,
    record: &Record,
    is_over: &AtomicBool,
    statuses: &Mutex<Vec<(f64, u16)>>,
) {
    let key = format!("Token {KEY}");
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{:08x}{number:08x}", u32::from_be_bytes(match front.ip() {
            std::net::IpAddr::V4(ip) => ip.octets(),
            std::net::IpAddr::V6(_) => [0; 4],
        }));
        let headers = [
            ("Host", HOST),
            ("Request-Id", id.as_str()),
            ("Deadline-Remaining", "1500"),
            ("Authorization", key.as_str()),
        ];
        let answer = call(front, "GET", "/look/1", &headers, b"", Duration::from_millis(1500));
        let status = answer.map_or(0, |answer| answer.head.status());
        if status != 200 {
            record.line(format!("client has status {status} for {id}"));
        }
        let mut statuses = statuses.lock().unwrap_or_else(|lock| lock.into_inner());
        statuses.push((record.seconds(), status));
        drop(statuses);
        std::thread::sleep(Duration::from_millis(50));
    }
}
