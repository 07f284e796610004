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
    has_trouble: bool,
}

fn spawn(setup: &Setup, id: &str) -> std::io::Result<Child> {
    Command::new(std::env::current_exe()?)
        .args(["worker", id, setup.service, &setup.address.to_string(), &setup.seeds])
        .arg(&setup.log)
        .arg(if setup.has_trouble { "1" } else { "0" })
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
                let setup = Setup { service, address, seeds, log, has_trouble };
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
        running: AtomicUsize::new(0),
    });
    std::thread::spawn(|| {
        let _ = std::io::stdin().read(&mut [0]);
        std::process::exit(0);
    });
    let seeds: Vec<SocketAddr> = seeds.split(',').filter_map(|seed| seed.parse().ok()).collect();
    let report = (id.clone(), service.clone(), address.clone());
    std::thread::spawn(move || report_liveness(&report, &seeds));
    for stream in listener.incoming().flatten() {
        let worker = worker.clone();
        std::thread::spawn(move || worker.serve(stream));
    }
    Ok(())
}

fn report_liveness((id, service, address): &(String, String, String), seeds: &[SocketAddr]) {
    let born = millis();
    for sequence in 1.. {
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"cairo-a\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,\
             \"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"seq\":{sequence},\"born\":{born}}}"
        );
        let fields = [("Host", "control"), ("Content-Type", "application/json")];
        let report = request("PUT", &format!("/v1/workers/{id}"), &fields, &body);
        let mut answers = seeds.iter().map(|seed| call(*seed, &report, Duration::from_secs(1)));
        answers.any(|answer| answer.is_ok_and(|answer| answer.status == 200));
        std::thread::sleep(HEARTBEAT);
    }
}

struct Worker {
    id: String,
    log: PathBuf,
    has_trouble: bool,
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
                received.drain(..end);
                if self.answer(&mut stream, &first, &fields).is_err() {
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
        let crashes = self.has_trouble && prompt.contains(DEADLY_PART);
        self.log_run(id, path, &prompt, crashes)?;
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Server-Load: {running},0,64\r\n"
        );
        let result = if path.starts_with("/caption/") || path.starts_with("/report/") {
            stream_events(stream, &head, crashes)
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
