//! Requests crash each worker that begins to run them, or to answer them, and come again and again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{document, small_deployment, start_worker, worker_id, HOST, KEY};
use crate::fleet::Fleet;
use crate::http::call;
use crate::record::Record;
use crate::worker::{Answers, Setup, Worker};

const WORKERS: usize = 8;

/// Time after which a crashed worker is back.
const BACK_AFTER: Duration = Duration::from_secs(3);

/// `contact-ms` of the deployment, in seconds.
const CONTACT_S: f64 = 3.0;

/// Interval between two of the requests, and between two sound ones.
const DEADLY_INTERVAL: Duration = Duration::from_millis(800);
const SOUND_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which requests are sent, in seconds.
const TRAFFIC_S: f64 = 25.0;

/// Time in which a sound answer ends.
const ANSWER_TIME: Duration = Duration::from_secs(2);

/// Part of a prompt that crashes workers.
const DEADLY_PART: &str = "bad0c0de";

/// What crashes the workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deadly {
    /// One request, which comes with the same path, caller, prompt and body, as a worker begins to
    /// run it.
    Request,
    /// One part of a prompt, in requests of which no two are alike, as a worker begins to write the
    /// answer.
    Part,
}

impl Deadly {
    /// Returns what the workers crash on.
    fn trigger(self) -> String {
        match self {
            Self::Request => "path:/report/deadly".to_string(),
            Self::Part => format!("part:{DEADLY_PART}"),
        }
    }

    /// Returns the path, the prompt and the body of the deadly request `number`.
    fn request(self, number: usize) -> (String, String, Vec<u8>) {
        match self {
            Self::Request => {
                let prompt = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";
                let body = b"the same body each time".to_vec();
                ("/report/deadly".to_string(), prompt.to_string(), body)
            }
            Self::Part => {
                let prompt = format!("5c1e07a2:800,{DEADLY_PART}:410,{number:08x}:250");
                let body = format!("body {number}").into_bytes();
                (format!("/report/{number}"), prompt, body)
            }
        }
    }

    /// Number of crashes after which the cause has to be known, and name of what comes after.
    fn crashes(self) -> usize {
        match self {
            Self::Request => 3,
            Self::Part => 5,
        }
    }
}

fn send(front: SocketAddr, path: &str, prompt: &str, id: &str, body: &[u8]) -> (u16, bool) {
    let key = format!("Token {KEY}");
    let headers = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Deadline-Remaining", "5000"),
        ("Authorization", key.as_str()),
        ("Model", "m"),
        ("Token-Counts", "1460,40"),
        ("Prompt-Prefix", prompt),
    ];
    match call(front, "POST", path, &headers, body, Duration::from_secs(5)) {
        Ok(answer) => (answer.head.status(), answer.is_complete),
        Err(_) => (0, false),
    }
}

/// Sends the deadly requests, one after the other, at the fronts in turn.
fn send_deadly(deadly: Deadly, fronts: &[SocketAddr], until: Instant, record: &Record) {
    let mut number = 0;
    while Instant::now() < until {
        let id = format!("dead{number:012x}");
        let front = fronts[number % fronts.len()];
        let (path, prompt, body) = deadly.request(number);
        let (status, is_complete) = send(front, &path, &prompt, &id, &body);
        record.line(format!(
            "client has status {status} for {id} from {front}, complete: {is_complete}"
        ));
        number += 1;
        std::thread::sleep(DEADLY_INTERVAL);
    }
}

/// What the sound requests got.
#[derive(Debug, Default)]
struct Sound {
    sent: usize,
    served: usize,
    /// Accepted, and broken off in the answer or ended with 502 or 504.
    lost: usize,
}

/// Sends sound requests, each on its own thread, and returns what they got.
fn send_sound(fronts: &[SocketAddr], until: Instant, record: &Record) -> Sound {
    let mut threads = Vec::new();
    while Instant::now() < until {
        let number = threads.len();
        let (front, record) = (fronts[number % fronts.len()], record.clone());
        threads.push(std::thread::spawn(move || {
            let id = format!("50fd{number:012x}");
            let prompt = format!("5c1e07a2:800,91bd3f06:410,{number:08x}:250");
            let path = format!("/report/sound-{number}");
            let (status, is_complete) = send(front, &path, &prompt, &id, b"a sound body");
            if status != 200 || !is_complete {
                record.line(format!("sound {id} has status {status}, complete: {is_complete}"));
            }
            (status, is_complete)
        }));
        std::thread::sleep(SOUND_INTERVAL);
    }
    let mut sound = Sound { sent: threads.len(), ..Sound::default() };
    for thread in threads {
        match thread.join() {
            Ok((200, true)) => sound.served += 1,
            Ok((200 | 502 | 504 | 0, _)) => sound.lost += 1,
            _ => {}
        }
    }
    sound
}

/// Brings crashed workers back after some seconds, with a new identifier at the old address. Returns
/// the lines of all of them.
fn keep_running(
    fleet: &Fleet,
    workers: Vec<Worker>,
    until: Instant,
    record: &Record,
) -> Vec<(f64, String)> {
    let mut running: Vec<(usize, Worker)> = workers.into_iter().enumerate().collect();
    let mut ended: Vec<(Instant, usize, Setup)> = Vec::new();
    let mut lifetimes = vec![0_usize; WORKERS];
    let mut lines = Vec::new();
    while Instant::now() < until {
        let crashed: Vec<(usize, Worker)> =
            running.extract_if(.., |(_, worker)| worker.has_ended()).collect();
        for (number, worker) in crashed {
            std::thread::sleep(Duration::from_millis(20));
            lines.extend(worker.lines());
            lifetimes[number] += 1;
            let id = worker_id(number, lifetimes[number]);
            ended.push((Instant::now(), number, Setup { id, ..worker.setup.clone() }));
        }
        let due = ended.extract_if(.., |(at, ..)| Instant::now() >= *at + BACK_AFTER);
        for (_, number, setup) in due {
            match Worker::start(setup, record) {
                Ok(worker) => running.push((number, worker)),
                Err(_) => fleet.cannot_run("a worker does not start again"),
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    lines.extend(running.iter().flat_map(|(_, worker)| worker.lines()));
    lines.sort_by(|(left, _), (right, _)| left.total_cmp(right));
    lines
}

pub fn run(record: &Record, has_trouble: bool, deadly: Deadly) -> i32 {
    let fleet = Fleet::start(small_deployment(), record);
    fleet.put_document(&document(7));
    let trigger = if has_trouble { deadly.trigger() } else { "-".to_string() };
    let answers = Answers { is_framed: true, pieces: 20, interval_ms: 50, deadly: trigger };
    let zones = fleet.deployment.zones.clone();
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|number| {
            let zone = zones[number % zones.len()].as_str();
            start_worker(&fleet, record, number, ("engines", zone), answers.clone())
        })
        .collect();
    fleet.wait_ready();
    std::thread::sleep(Duration::from_millis(2500));
    let fronts: Vec<SocketAddr> = fleet.fronts.iter().map(|front| front.front()).collect();
    let until = Instant::now() + Duration::from_secs_f64(TRAFFIC_S);
    let deadly_client = {
        let (fronts, record) = (fronts.clone(), record.clone());
        std::thread::spawn(move || send_deadly(deadly, &fronts, until, &record))
    };
    let sound_client = {
        let record = record.clone();
        std::thread::spawn(move || send_sound(&fronts, until, &record))
    };
    // The last answers end before the workers do.
    let lines = keep_running(&fleet, workers, until + ANSWER_TIME, record);
    let _ = deadly_client.join();
    let Sound { sent, served, lost } = sound_client.join().unwrap_or_default();
    let crashes: Vec<f64> =
        lines.iter().filter(|(_, line)| line.starts_with("crashes")).map(|(at, _)| *at).collect();
    record.line(format!(
        "{} crashes; of {sent} sound requests {served} were served in full, {lost} were accepted and \
         lost",
        crashes.len()
    ));
    let (number, known) = (deadly.crashes(), crashes.get(deadly.crashes() - 1).copied());
    let late = known.map_or(0, |known| {
        let is_late = |(at, line): &&(f64, String)| {
            *at > known + CONTACT_S && line.starts_with("runs dead")
        };
        lines.iter().filter(is_late).count()
    });
    record.line(format!(
        "crash number {number} was at {known:?} s; {late} deadly requests reached workers more than \
         {CONTACT_S} s later"
    ));
    fleet.end();
    if late > 3 {
        record.line("BROKEN: more than three of them reach workers");
    }
    match served > 0 {
        false => 2,
        true => i32::from(late > 3),
    }
}
