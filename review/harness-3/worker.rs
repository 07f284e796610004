//! A stand-in worker, as a process of its own, and the supervisor that starts it again.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::fleet::{Fleet, wait_for};
use crate::http::{Fields, call, field, parse_head, request};

/// Text in a body that makes a worker crash as it begins to run the request.
pub const DEADLY: &str = "deadly";

/// Part of a prompt that makes a worker crash as it begins to write an answer on it.
pub const DEADLY_PART: &str = "bad0bad0";

/// Time after a crash at which the worker is back.
const RESTART_DELAY: Duration = Duration::from_millis(2500);

/// Interval between two liveness reports.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Unix time in milliseconds.
pub fn millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Start of a worker.
#[derive(Clone)]
struct Setup {
    service: &'static str,
    address: SocketAddr,
    seeds: String,
    log: PathBuf,
    /// What the worker does: `1` for crashes, `unframed` for streams that end with their channels.
    mode: &'static str,
}

fn spawn(setup: &Setup, id: &str) -> std::io::Result<Child> {
    Command::new(std::env::current_exe()?)
        .args(["worker", id, setup.service, &setup.address.to_string(), &setup.seeds])
        .arg(&setup.log)
        .arg(setup.mode)
        .stdin(Stdio::piped())
        .spawn()
}

/// Workers that come back after a crash under a new id, at the same address.
pub struct Workers {
    is_stopped: Arc<AtomicBool>,
    supervisor: Option<JoinHandle<()>>,
    log: PathBuf,
}

/// A request that a worker has begun to run.
pub struct Run {
    pub at: u64,
    pub worker: String,
    pub id: String,
    pub path: String,
    pub prompt: String,
    pub crashes: bool,
}

impl Workers {
    /// Starts `count` workers of each service, and waits until they are reported.
    pub fn start(
        fleet: &Fleet,
        counts: &[(&'static str, u8)],
        has_trouble: bool,
    ) -> std::io::Result<Self> {
        let log = fleet.folder.join("runs");
        File::create(&log)?;
        let seeds: Vec<String> = fleet.seeds().iter().map(ToString::to_string).collect();
        let mut number = 0;
        let mut running = Vec::new();
        for (service, count) in counts {
            for _ in 0..*count {
                number += 1;
                let address = SocketAddr::new(fleet.ip(20 + number).into(), 8120);
                let (seeds, log) = (seeds.join(","), log.clone());
                let mode = if has_trouble { "1" } else { "0" };
                let setup = Setup { service, address, seeds, log, mode };
                let child = spawn(&setup, &format!("i-{service}-{number}"))?;
                running.push((setup, child));
            }
        }
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stop = is_stopped.clone();
        let supervisor = std::thread::spawn(move || supervise(running, &stop));
        Ok(Self { is_stopped, supervisor: Some(supervisor), log })
    }

    /// Returns the requests that workers have begun to run, in order.
    pub fn runs(&self) -> Vec<Run> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let mut runs: Vec<Run> = text.lines().filter_map(parse_run).collect();
        runs.sort_by_key(|run| run.at);
        runs
    }
}

fn parse_run(line: &str) -> Option<Run> {
    let mut words = line.split('\t');
    let mut next = || words.next().map(str::to_string);
    Some(Run {
        at: next()?.parse().ok()?,
        worker: next()?,
        id: next()?,
        path: next()?,
        prompt: next()?,
        crashes: next()? == "crash",
    })
}

impl Drop for Workers {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(supervisor) = self.supervisor.take() {
            let _ = supervisor.join();
        }
    }
}

fn supervise(mut running: Vec<(Setup, Child)>, is_stopped: &AtomicBool) {
    let (mut ended, mut starts): (Vec<(Instant, Setup)>, usize) = (Vec::new(), 0);
    while !is_stopped.load(Ordering::Relaxed) {
        let mut index = 0;
        while index < running.len() {
            if matches!(running[index].1.try_wait(), Ok(None)) {
                index += 1;
            } else {
                let (setup, _) = running.remove(index);
                ended.push((Instant::now(), setup));
            }
        }
        while ended.first().is_some_and(|(at, _)| at.elapsed() > RESTART_DELAY) {
            let (_, setup) = ended.remove(0);
            starts += 1;
            if let Ok(child) = spawn(&setup, &format!("i-{}-again-{starts}", setup.service)) {
                running.push((setup, child));
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    for (_, mut child) in running {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Runs one worker until the process that started it ends.
pub fn run(arguments: &[String]) -> Result<(), String> {
    let [id, service, address, seeds, log, trouble] = arguments else {
        return Err("worker ID SERVICE ADDRESS SEEDS LOG TROUBLE".to_string());
    };
    let listener = TcpListener::bind(address.as_str()).map_err(|error| error.to_string())?;
    let worker = Arc::new(Worker {
        id: id.clone(),
        log: Path::new(log).to_path_buf(),
        has_trouble: trouble == "1",
        is_unframed: trouble == "unframed",
        is_leaving: AtomicBool::new(false),
        running: AtomicUsize::new(0),
    });
    let notified = worker.clone();
    std::thread::spawn(move || {
        // A byte is the notice that the worker has to leave.
        while std::io::stdin().read(&mut [0]).is_ok_and(|count| count > 0) {
            notified.is_leaving.store(true, Ordering::Relaxed);
        }
        std::process::exit(0);
    });
    let seeds: Vec<SocketAddr> = seeds.split(',').filter_map(|seed| seed.parse().ok()).collect();
    let report = (id.clone(), service.clone(), address.clone());
    let reported = worker.clone();
    std::thread::spawn(move || report_liveness(&report, &seeds, &reported.is_leaving));
    for stream in listener.incoming().flatten() {
        let worker = worker.clone();
        std::thread::spawn(move || worker.serve(stream));
    }
    Ok(())
}

fn report_liveness(
    (id, service, address): &(String, String, String),
    seeds: &[SocketAddr],
    is_leaving: &AtomicBool,
) {
    let born = millis();
    for sequence in 1.. {
        let is_draining = is_leaving.load(Ordering::Relaxed);
        let state = if is_draining { "draining" } else { "ready" };
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"cairo-a\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\"cold-remaining-ms\":0,\
             \"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"seq\":{sequence},\"born\":{born}}}"
        );
        let fields = [("Host", "control"), ("Content-Type", "application/json")];
        let report = request("PUT", &format!("/v1/workers/{id}"), &fields, &body);
        let mut answers = seeds.iter().map(|seed| call(*seed, &report, Duration::from_secs(1)));
        answers.any(|answer| answer.is_ok_and(|answer| answer.status == 200));
        let next = Instant::now() + HEARTBEAT;
        while Instant::now() < next && is_leaving.load(Ordering::Relaxed) == is_draining {
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

struct Worker {
    id: String,
    log: PathBuf,
    has_trouble: bool,
    /// Whether streams have neither a length nor chunks, and last for long.
    is_unframed: bool,
    is_leaving: AtomicBool,
    running: AtomicUsize,
}

impl Worker {
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut received, mut block) = (Vec::new(), [0; 16 << 10]);
        loop {
            while let Some((first, fields, length)) = parse_head(&received) {
                let size = field(&fields, "content-length").and_then(|text| text.parse().ok());
                let end = length + size.unwrap_or(0);
                if received.len() < end {
                    break;
                }
                let body = String::from_utf8_lossy(&received[length..end]).into_owned();
                received.drain(..end);
                if self.answer(&mut stream, &first, &fields, &body).is_err() {
                    return;
                }
            }
            match stream.read(&mut block) {
                Ok(0) | Err(_) => return,
                Ok(count) => received.extend_from_slice(&block[..count]),
            }
        }
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        first: &str,
        fields: &Fields,
        body: &str,
    ) -> std::io::Result<()> {
        let path = first.split(' ').nth(1).unwrap_or_default();
        if path == "/health" {
            let head = format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n", self.id);
            return stream.write_all(format!("{head}Content-Length: 0\r\n\r\n").as_bytes());
        }
        let Some(id) = field(fields, "request-id") else {
            let head = "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return stream.write_all(head.as_bytes());
        };
        if field(fields, "expect-instance").is_some_and(|expected| expected != self.id) {
            let head = format!("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\n");
            return stream.write_all(format!("{head}Content-Length: 0\r\n\r\n").as_bytes());
        }
        let lines = fields.iter().filter(|(name, _)| name == "prompt-prefix");
        let prompt = lines.map(|(_, value)| value.as_str()).collect::<Vec<_>>().join(",");
        let (is_deadly, has_part) = (body.contains(DEADLY), prompt.contains(DEADLY_PART));
        let crashes = self.has_trouble && (is_deadly || has_part);
        self.log_run(id, path, &prompt, crashes)?;
        if crashes && is_deadly {
            // Begins to run the request, and crashes before the first byte of an answer.
            std::process::exit(137);
        }
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Server-Load: {running},0,64\r\n{}",
            if self.is_leaving.load(Ordering::Relaxed) { "Server-Leaving: 1\r\n" } else { "" }
        );
        let result = if path.starts_with("/caption/") || path.starts_with("/report/") {
            match self.is_unframed {
                true => stream_unframed(stream, &head),
                false => stream_events(stream, &head, crashes),
            }
        } else {
            if path.ends_with("/slow") {
                self.work_slowly(stream, id, path)?;
            } else {
                std::thread::sleep(Duration::from_millis(30));
            }
            let body = "x".repeat(800);
            stream.write_all(format!("{head}Content-Length: 800\r\n\r\n{body}").as_bytes())
        };
        self.running.fetch_sub(1, Ordering::Relaxed);
        result
    }

    /// Works for 2.5 s, or until the channel is closed. Logs the end.
    fn work_slowly(&self, stream: &TcpStream, id: &str, path: &str) -> std::io::Result<()> {
        let until = Instant::now() + Duration::from_millis(2500);
        stream.set_nonblocking(true)?;
        let mut is_closed = false;
        while Instant::now() < until && !is_closed {
            std::thread::sleep(Duration::from_millis(20));
            is_closed = match stream.peek(&mut [0]) {
                Ok(count) => count == 0,
                Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
            };
        }
        stream.set_nonblocking(false)?;
        self.log_run(id, &format!("{path}/end"), "", false)?;
        if is_closed { Err(std::io::Error::other("closed")) } else { Ok(()) }
    }

    /// Logs that a request begins to run: one line, in one write.
    fn log_run(&self, id: &str, path: &str, prompt: &str, crashes: bool) -> std::io::Result<()> {
        let end = if crashes { "crash" } else { "run" };
        let line = format!("{}\t{}\t{id}\t{path}\t{prompt}\t{end}\n", millis(), self.id);
        File::options().append(true).open(&self.log)?.write_all(line.as_bytes())
    }
}

/// Sends a stream of eight events. A worker that `crashes` does so as it begins to write them.
fn stream_events(stream: &mut TcpStream, head: &str, crashes: bool) -> std::io::Result<()> {
    let head = format!(
        "{head}Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in 1..=8 {
        std::thread::sleep(Duration::from_millis(20));
        if crashes {
            std::process::exit(137);
        }
        let event = format!("id: {number}\ndata: token {number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Number of events of a stream that ends with its channel.
pub const UNFRAMED_EVENTS: usize = 60;

/// Sends a stream of events that ends with its channel. Each event is one write.
fn stream_unframed(stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
    let head = format!("{head}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    for number in 1..=UNFRAMED_EVENTS {
        std::thread::sleep(Duration::from_millis(60));
        stream.write_all(format!("id: {number}\ndata: token {number}\n\n").as_bytes())?;
    }
    Err(std::io::Error::other("the stream ends with its channel"))
}

/// Starts a worker whose streams end with their channels.
pub fn start_unframed(fleet: &Fleet, number: u8) -> std::io::Result<Child> {
    let setup = Setup {
        service: "llm",
        address: SocketAddr::new(fleet.ip(60 + number).into(), 8120),
        seeds: fleet.seeds().iter().map(ToString::to_string).collect::<Vec<_>>().join(","),
        log: fleet.folder.join("runs"),
        mode: "unframed",
    };
    spawn(&setup, &format!("i-unframed-{number}"))
}

/// Waits until `front` serves a request of each route.
pub fn wait_served(fleet: &Fleet, requests: &[Vec<u8>]) -> Result<(), String> {
    for front in &fleet.fronts {
        for request in requests {
            wait_for("an answer to an ordinary request", || {
                call(front.callers(), request, Duration::from_secs(3))
                    .is_ok_and(|answer| answer.status == 200 && answer.is_whole)
            })?;
        }
    }
    Ok(())
}
