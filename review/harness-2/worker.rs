//! Stand-in worker, a process of its own. It registers as the users' pages say, answers requests, and
//! writes what it runs to its standard output. Lines on its standard input are commands; it ends with
//! its standard input.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{call, read_body, read_head, Head};
use crate::record::Record;

/// Interval between two liveness reports (`heartbeat-ms`).
const BEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// How a worker answers.
#[derive(Debug, Clone)]
pub struct Answers {
    /// Whether answers have a length or chunks. Those without end with their connection.
    pub is_framed: bool,
    /// Number of events of a stream, or of pieces of a plain answer.
    pub pieces: u32,
    /// Milliseconds between two pieces.
    pub interval_ms: u64,
    /// What crashes the worker: `-` for nothing, `path:` and the path of a request that does so as the
    /// worker begins to run it, before it has written anything; or `part:` and the part of a prompt
    /// (not the last) that does so as the worker begins to write the answer, [`PREFILL`] after its
    /// head.
    pub deadly: String,
}

/// Time in which the worker reads a prompt with a deadly part.
const PREFILL: Duration = Duration::from_millis(700);

#[derive(Debug, Clone)]
pub struct Setup {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Address that the worker reports.
    pub address: SocketAddr,
    /// Address at which the worker listens, which differs behind a proxy.
    pub listen: SocketAddr,
    /// Time by which the first liveness report is late, in milliseconds. No other one is sent before.
    pub held_ms: u64,
    pub slots: u32,
    pub answers: Answers,
    pub controls: Vec<SocketAddr>,
}

impl Setup {
    fn to_arguments(&self) -> Vec<String> {
        let controls: Vec<String> = self.controls.iter().map(ToString::to_string).collect();
        vec![
            "worker".to_string(),
            self.id.clone(),
            self.service.clone(),
            self.zone.clone(),
            self.address.to_string(),
            self.listen.to_string(),
            self.held_ms.to_string(),
            self.slots.to_string(),
            self.answers.is_framed.to_string(),
            self.answers.pieces.to_string(),
            self.answers.interval_ms.to_string(),
            self.answers.deadly.clone(),
            controls.join(","),
        ]
    }

    fn from_arguments(arguments: &[String]) -> Option<Self> {
        let [
            id,
            service,
            zone,
            address,
            listen,
            held_ms,
            slots,
            is_framed,
            pieces,
            interval_ms,
            deadly,
            controls,
        ] = arguments
        else {
            return None;
        };
        let controls = controls.split(',').map(|control| control.parse().ok());
        Some(Self {
            id: id.clone(),
            service: service.clone(),
            zone: zone.clone(),
            address: address.parse().ok()?,
            listen: listen.parse().ok()?,
            held_ms: held_ms.parse().ok()?,
            slots: slots.parse().ok()?,
            answers: Answers {
                is_framed: is_framed.parse().ok()?,
                pieces: pieces.parse().ok()?,
                interval_ms: interval_ms.parse().ok()?,
                deadly: deadly.clone(),
            },
            controls: controls.collect::<Option<Vec<SocketAddr>>>()?,
        })
    }
}

/// A worker process, as the case sees it.
pub struct Worker {
    pub setup: Setup,
    child: Child,
    input: Option<ChildStdin>,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Worker {
    /// Starts a worker process. Its lines go to the record.
    pub fn start(setup: Setup, record: &Record) -> std::io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(setup.to_arguments())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let lines: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
        if let Some(output) = child.stdout.take() {
            let (lines, record, id) = (lines.clone(), record.clone(), setup.id.clone());
            std::thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    record.line(format!("worker {id}: {line}"));
                    let mut lines = lines.lock().unwrap_or_else(|lock| lock.into_inner());
                    lines.push((record.seconds(), line));
                }
            });
        }
        let input = child.stdin.take();
        Ok(Self { setup, child, input, lines })
    }

    /// Returns the lines that the worker has written, with their seconds.
    pub fn lines(&self) -> Vec<(f64, String)> {
        self.lines.lock().unwrap_or_else(|lock| lock.into_inner()).clone()
    }

    pub fn has_line(&self, text: &str) -> bool {
        self.lines().iter().any(|(_, line)| line.contains(text))
    }

    /// Sends a command: `drain`, `leave`, or `cut` to end the reports.
    pub fn command(&mut self, command: &str) {
        if let Some(input) = &mut self.input {
            let _ = writeln!(input, "{command}");
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends the process as a crash does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.kill();
    }
}

struct State {
    setup: Setup,
    sequence: AtomicU64,
    born: u128,
    /// State that the worker reports, or none once it has left.
    reported: Mutex<Option<&'static str>>,
}

fn say(text: impl AsRef<str>) {
    println!("{}", text.as_ref());
}

/// Runs a worker with the arguments after `worker`.
pub fn run(arguments: &[String]) -> i32 {
    let Some(setup) = Setup::from_arguments(arguments) else {
        eprintln!("wrong arguments of a worker");
        return 2;
    };
    let listener = match TcpListener::bind(setup.listen) {
        Ok(listener) => listener,
        Err(error) => {
            eprintln!("cannot listen at {}: {error}", setup.listen);
            return 2;
        }
    };
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let state = Arc::new(State {
        setup,
        sequence: AtomicU64::new(0),
        born,
        reported: Mutex::new(Some("ready")),
    });
    let accepting = state.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let state = accepting.clone();
            std::thread::spawn(move || serve(&state, stream));
        }
    });
    let beating = state.clone();
    std::thread::spawn(move || {
        let first = beat(&beating, "ready");
        std::thread::sleep(Duration::from_millis(beating.setup.held_ms));
        let is_acknowledged = control_call(&beating, "PUT", first.as_bytes());
        say(format!("the first report has arrived, acknowledged: {is_acknowledged}"));
        loop {
            std::thread::sleep(BEAT_INTERVAL);
            let reported = *beating.reported.lock().unwrap_or_else(|lock| lock.into_inner());
            match reported {
                Some(reported) => {
                    let report = beat(&beating, reported);
                    control_call(&beating, "PUT", report.as_bytes())
                }
                None => return,
            };
        }
    });
    for line in std::io::stdin().lines().map_while(Result::ok) {
        match line.as_str() {
            "drain" => {
                *state.reported.lock().unwrap_or_else(|lock| lock.into_inner()) = Some("draining");
                let report = beat(&state, "draining");
                let is_acknowledged = control_call(&state, "PUT", report.as_bytes());
                say(format!("reported draining, acknowledged: {is_acknowledged}"));
            }
            "cut" => *state.reported.lock().unwrap_or_else(|lock| lock.into_inner()) = None,
            "leave" => {
                *state.reported.lock().unwrap_or_else(|lock| lock.into_inner()) = None;
                let is_acknowledged = control_call(&state, "DELETE", b"");
                say(format!("left, acknowledged: {is_acknowledged}"));
            }
            other => say(format!("unknown command {other}")),
        }
    }
    0
}

/// Returns the next liveness report.
fn beat(state: &State, reported: &str) -> String {
    let Setup { service, address, zone, slots, .. } = &state.setup;
    let sequence = state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\
         \"v1\",\"slots\":{slots},\"state\":\"{reported}\",\"cold-remaining-ms\":0,\"stage\":\
         \"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{sequence},\
         \"born\":{}}}",
        state.born
    )
}

/// Sends a call to a node; another one is called after a failure. Returns whether it was
/// acknowledged.
fn control_call(state: &State, method: &str, body: &[u8]) -> bool {
    let path = format!("/v1/workers/{}", state.setup.id);
    let controls = &state.setup.controls;
    let first = state.sequence.load(Ordering::SeqCst) as usize;
    (0..2 * controls.len()).any(|attempt| {
        let control = controls[(first + attempt) % controls.len()];
        let headers = [("Content-Type", "application/json")];
        let timeout = Duration::from_secs(1);
        let answer = call(control, method, &path, &headers, body, timeout);
        let is_acknowledged =
            answer.is_ok_and(|answer| (200..300).contains(&answer.head.status()));
        if !is_acknowledged {
            std::thread::sleep(Duration::from_millis(50));
        }
        is_acknowledged
    })
}

fn serve(state: &State, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let (mut reader, mut stream) = (BufReader::new(reading), stream);
    while let Ok(Some(head)) = read_head(&mut reader) {
        let (body, is_complete) = read_body(&mut reader, &head, false);
        if !is_complete || !answer(state, &mut stream, &head, &body) {
            return;
        }
    }
}

/// Answers a request. Returns whether the connection stays open.
fn answer(state: &State, stream: &mut TcpStream, head: &Head, body: &[u8]) -> bool {
    let path = head.second_word().to_string();
    let id = head.header("request-id").unwrap_or("-").to_string();
    if head.method() == "GET" && path == "/health" {
        let text = format!(
            "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
            state.setup.id
        );
        return stream.write_all(text.as_bytes()).is_ok();
    }
    if head.header("expect-instance").is_some_and(|expected| expected != state.setup.id) {
        say(format!("answered 421 to {id}"));
        let text = format!(
            "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\n\
             Content-Length: 0\r\n\r\n",
            state.setup.id
        );
        return stream.write_all(text.as_bytes()).is_ok();
    }
    let after = head.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
    say(format!("runs {id} {} {path} body {} after {after}", head.method(), body.len()));
    let Answers { is_framed, pieces, interval_ms, ref deadly } = state.setup.answers;
    if deadly.strip_prefix("path:") == Some(path.as_str()) {
        say(format!("crashes as it begins to run {id}"));
        std::process::exit(1);
    }
    let shared = head.header("prompt-prefix").and_then(|prompt| prompt.rsplit_once(','));
    let is_deadly = deadly.strip_prefix("part:").is_some_and(|part| {
        shared.is_some_and(|(shared, _)| shared.split(',').any(|entry| entry.starts_with(part)))
    });
    let is_stream = head.header("prompt-prefix").is_some();
    let content = if is_stream { "text/event-stream" } else { "application/octet-stream" };
    let framing = if is_framed { "Transfer-Encoding: chunked" } else { "Connection: close" };
    let start = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
         Content-Type: {content}\r\n{framing}\r\n\r\n"
    );
    if stream.write_all(start.as_bytes()).is_err() {
        return false;
    }
    if is_deadly {
        std::thread::sleep(PREFILL);
        say(format!("crashes as it begins to write the answer to {id}"));
        std::process::exit(1);
    }
    for number in after + 1..=pieces {
        if number > after + 1 {
            std::thread::sleep(Duration::from_millis(interval_ms));
        }
        let piece = piece(is_stream, number);
        let framed = match is_framed {
            true => format!("{:x}\r\n{piece}\r\n", piece.len()),
            false => piece,
        };
        if stream.write_all(framed.as_bytes()).is_err() {
            say(format!("client of {id} left after piece {number}"));
            return false;
        }
        say(format!("wrote piece {number} of {pieces} of {id}"));
    }
    if is_framed && stream.write_all(b"0\r\n\r\n").is_err() {
        return false;
    }
    say(format!("finished {id}"));
    is_framed
}

/// Returns an event of a stream, or a piece of a plain answer.
pub fn piece(is_stream: bool, number: u32) -> String {
    match is_stream {
        true => format!("id: {number}\ndata: text {number}\n\n"),
        false => format!("record {number:06} of this answer\n"),
    }
}

/// Returns the whole body of an answer.
pub fn whole_body(is_stream: bool, pieces: u32) -> Vec<u8> {
    (1..=pieces).map(|number| piece(is_stream, number)).collect::<String>().into_bytes()
}
