//! A crowd of clients stops half-way in the heads of their requests, beside ordinary callers.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{document, small_deployment, start_worker, HOST, KEY};
use crate::fleet::Fleet;
use crate::http::call;
use crate::record::Record;
use crate::worker::{Answers, Worker};

/// Connections of the crowd: well below the 4,100 descriptors of a front machine.
const CROWD: usize = 2200;

/// Times in seconds: of the calm before the crowd, of the crowd, and of the calm after it.
const CALM_S: f64 = 4.0;
const CROWD_S: f64 = 15.0;
const AFTER_S: f64 = 6.0;

/// `contact-ms` of the deployment, in seconds.
const CONTACT_S: f64 = 3.0;

/// Ordinary callers at the front machine, and the pause between two requests of one.
const CALLERS: usize = 10;
const PAUSE: Duration = Duration::from_millis(250);

/// What each client of the crowd sends before it stops.
const HALF_A_HEAD: &[u8] = b"POST /book/1 HTTP/1.1\r\nHost: ficu95.example\r\nContent-Le";

/// Time in which the clients of the crowd come.
const ARRIVAL: Duration = Duration::from_secs(2);

/// Opens the connections of the crowd, each one once, and keeps them open. Returns how many were
/// opened.
fn crowd(front: SocketAddr, until: Instant) -> usize {
    let mut streams = Vec::new();
    for _ in 0..CROWD {
        if let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_millis(300))
            && stream.write_all(HALF_A_HEAD).is_ok()
        {
            streams.push(stream);
        }
        std::thread::sleep(ARRIVAL / CROWD as u32);
    }
    std::thread::sleep(until.saturating_duration_since(Instant::now()));
    streams.len()
}

/// Tries of ordinary callers: the second of the start, and the status.
type Tries = Arc<Mutex<Vec<(f64, u16)>>>;

fn caller(front: SocketAddr, number: usize, record: &Record, is_over: &AtomicBool, tries: &Tries) {
    let key = format!("Token {KEY}");
    let mut count = 0_usize;
    while !is_over.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("{number:08x}{count:08x}");
        let headers = [
            ("Host", HOST),
            ("Request-Id", id.as_str()),
            ("Deadline-Remaining", "1500"),
            ("Authorization", key.as_str()),
        ];
        let at = record.seconds();
        let timeout = Duration::from_millis(1500);
        let status = match call(front, "GET", "/look/1", &headers, b"", timeout) {
            Ok(answer) => answer.head.status(),
            Err(_) => 0,
        };
        tries.lock().unwrap_or_else(|lock| lock.into_inner()).push((at, status));
        std::thread::sleep(PAUSE);
    }
}

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let fleet = Fleet::start(small_deployment(), record);
    fleet.put_document(&document(7));
    let answers =
        || Answers { is_framed: true, pieces: 1, interval_ms: 0, deadly: "-".to_string() };
    let zones = fleet.deployment.zones.clone();
    let workers: Vec<Worker> = (0..3)
        .map(|number| start_worker(&fleet, record, number, ("app", &zones[number]), answers()))
        .collect();
    fleet.wait_ready();
    std::thread::sleep(Duration::from_millis(2000));
    let front = fleet.fronts[0].front();
    let (is_over, tries): (Arc<AtomicBool>, Tries) = Default::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (record, is_over, tries) = (record.clone(), is_over.clone(), tries.clone());
            std::thread::spawn(move || caller(front, number, &record, &is_over, &tries))
        })
        .collect();
    std::thread::sleep(Duration::from_secs_f64(CALM_S));
    let begun = record.seconds();
    let until = Instant::now() + Duration::from_secs_f64(CROWD_S);
    let crowding = has_trouble.then(|| std::thread::spawn(move || crowd(front, until)));
    record.line("the crowd comes");
    let mut ready = Vec::new();
    while Instant::now() < until {
        let timeout = Duration::from_secs(1);
        let answer = call(fleet.fronts[0].ready(), "GET", "/v1/readiness", &[], b"", timeout);
        let status = answer.map_or(0, |answer| answer.head.status());
        record.line(format!(
            "readiness of {front}: {status}; memory of the process: {}",
            fleet.fronts[0].peak_memory()
        ));
        ready.push(status == 200);
        std::thread::sleep(Duration::from_secs(1));
    }
    let opened = crowding.map_or(0, |crowding| crowding.join().unwrap_or(0));
    let ended = record.seconds();
    record.line(format!("the crowd leaves; it opened {opened} connections"));
    std::thread::sleep(Duration::from_secs_f64(AFTER_S));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let tries = tries.lock().unwrap_or_else(|lock| lock.into_inner()).clone();
    let count = |from: f64, to: f64| {
        let within = tries.iter().filter(|(at, _)| *at >= from && *at < to);
        let served = within.clone().filter(|(_, status)| *status == 200).count();
        (within.count(), served)
    };
    for second in 0..(record.seconds() as usize) {
        let (sent, served) = count(second as f64, second as f64 + 1.0);
        record.line(format!("second {second}: {served} of {sent} ordinary requests were served"));
    }
    let spans = (0..).map(|step| begun + f64::from(step) * 0.25);
    let worst = spans.take_while(|from| from + CONTACT_S <= ended).map(|from| {
        let (sent, served) = count(from, from + CONTACT_S);
        (served, sent, from)
    });
    let worst = worst.min_by(|left, right| left.0.cmp(&right.0));
    record.line(format!("worst span of {CONTACT_S} s (served, sent, from second): {worst:?}"));
    let is_broken = has_trouble
        && worst.is_some_and(|(served, sent, _)| served == 0 && sent >= CALLERS)
        && ready.iter().all(|is_ready| *is_ready);
    if is_broken {
        record.line("BROKEN: the front says that it is ready and serves no new channel");
    }
    let (_, served) = count(0.0, begun);
    drop(workers);
    fleet.end();
    if served == 0 { 2 } else { i32::from(is_broken) }
}
