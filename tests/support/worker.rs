//! A stand-in for the upstreams of the users' platform, and a plain caller of its interface.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;

use super::bind_pair;

/// Between two announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(300);

/// Events of a stream.
pub const EVENTS: usize = 12;

/// Between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(15);

/// The same of an upstream that is slow but sound, and between two bytes of one that has stalled.
const LONG_PAUSE: Duration = Duration::from_millis(350);
const DRIP_PAUSE: Duration = Duration::from_millis(100);

/// What an upstream does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers them.
    Answer,
    /// Breaks the connection off within an event, after so many events of one run.
    BreakAfter(usize),
    /// After so many events of one run, sends a byte of a comment now and then, without end.
    Drip(usize),
    /// Takes long for each event, but sends all.
    Unhurried,
    /// Sends the first text and then the second one again and again, until the caller closes.
    Endless(&'static str, &'static str),
    /// Runs them, then breaks the connection off without an answer.
    LoseAnswer,
    /// Says that it did not run them.
    Refuse,
    /// Runs them and answers 500.
    Fail,
    /// Takes them and never answers.
    Silent,
    /// Answers them after half a second.
    Slow,
    /// Answers as another upstream than the one that was meant.
    Misdirect,
}

/// One request that an upstream ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub headers: BTreeMap<String, String>,
    pub path: String,
    pub body: Vec<u8>,
}

struct Shared {
    name: String,
    service: String,
    address: SocketAddr,
    behaviour: Mutex<Behaviour>,
    state: Mutex<&'static str>,
    runs: Mutex<Vec<Run>>,
    sequence: AtomicU64,
    born: u64,
    is_stopped: AtomicBool,
    controls: Vec<SocketAddr>,
}

/// A running upstream; it falls silent when it is dropped.
pub struct Worker {
    shared: Arc<Shared>,
}

impl Worker {
    /// Starts an upstream that announces itself to `controls`.
    pub fn start(name: &str, service: &str, controls: Vec<SocketAddr>) -> Self {
        Self::start_behind(name, service, controls, |address| address)
    }

    /// Starts an upstream that announces the address that `front` gives for its own.
    pub fn start_behind<F>(name: &str, service: &str, controls: Vec<SocketAddr>, front: F) -> Self
    where
        F: FnOnce(SocketAddr) -> SocketAddr,
    {
        let (listener, _) = bind_pair();
        let address = front(listener.local_addr().unwrap());
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let shared = Arc::new(Shared {
            name: name.to_string(),
            service: service.to_string(),
            address,
            behaviour: Mutex::new(Behaviour::Answer),
            state: Mutex::new("ready"),
            runs: Mutex::default(),
            sequence: AtomicU64::new(0),
            born: born.as_millis() as u64,
            is_stopped: AtomicBool::new(false),
            controls,
        });
        let accepting = shared.clone();
        std::thread::spawn(move || accept(&accepting, &listener));
        let announcing = shared.clone();
        std::thread::spawn(move || {
            while !announcing.is_stopped.load(Ordering::Relaxed) {
                announce(&announcing);
                std::thread::sleep(ANNOUNCE_PERIOD);
            }
        });
        Self { shared }
    }

    pub fn behave(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock().unwrap() = behaviour;
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap().clone()
    }

    /// Falls silent at once, with its connections left as they are.
    pub fn crash(&self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Says that it drains; true once a control instance has acknowledged it.
    pub fn drain(&self) -> bool {
        *self.shared.state.lock().unwrap() = "draining";
        announce(&self.shared)
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
    }
}

fn announce(shared: &Shared) -> bool {
    let sequence = shared.sequence.fetch_add(1, Ordering::Relaxed) + 1;
    let state = *shared.state.lock().unwrap();
    let body = json!({
        "service": shared.service, "address": shared.address.to_string(), "zone": "giza",
        "version": "v1", "slots": 8, "state": state, "cold-remaining-ms": 0, "seq": sequence,
        "born": shared.born,
    });
    let path = format!("/v1/workers/{}", shared.name);
    // One that is down or frozen is passed over, as a platform's upstream would.
    let mut controls = shared.controls.clone();
    let first = (sequence % controls.len() as u64) as usize;
    controls.rotate_left(first);
    controls.into_iter().any(|control| {
        let answer = exchange_within(control, "PUT", &path, &[], &body.to_string(), 1);
        answer.is_ok_and(|answer| answer.status == 200)
    })
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    listener.set_nonblocking(true).unwrap();
    while !shared.is_stopped.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                let shared = shared.clone();
                std::thread::spawn(move || serve(&shared, stream));
            }
            Err(_) => std::thread::sleep(Duration::from_millis(2)),
        }
    }
}

struct Received {
    path: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

fn receive(reader: &mut BufReader<TcpStream>) -> std::io::Result<Received> {
    let (first, headers) = read_head(reader)?;
    let length = headers.get("content-length").map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let path = first.split(' ').nth(1).unwrap_or_default().to_string();
    Ok(Received { path, headers, body })
}

fn read_head<R>(reader: &mut R) -> std::io::Result<(String, BTreeMap<String, String>)>
where
    R: BufRead,
{
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
            }
            None => return Ok((first.trim_end().to_string(), headers)),
        }
    }
}

fn serve(shared: &Arc<Shared>, stream: TcpStream) {
    stream.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut out = stream;
    while let Ok(received) = receive(&mut reader) {
        if answer(shared, &received, &mut out).is_err() {
            return;
        }
    }
}

fn answer(shared: &Shared, received: &Received, out: &mut TcpStream) -> std::io::Result<()> {
    let request = received.headers.get("request-id").cloned().unwrap_or_default();
    let behaviour = *shared.behaviour.lock().unwrap();
    let is_meant = received.headers.get("expect-instance").is_none_or(|one| *one == shared.name);
    if behaviour == Behaviour::Misdirect || !is_meant {
        return write!(
            out,
            "HTTP/1.1 421 Misdirected Request\r\nrequest-id: {request}\r\n\
             instance-id: i-other\r\ncontent-length: 0\r\n\r\n"
        );
    }
    if behaviour == Behaviour::Refuse {
        return write!(
            out,
            "HTTP/1.1 503 Service Unavailable\r\nrequest-id: {request}\r\nnot-executed: 1\r\n\
             content-length: 0\r\n\r\n"
        );
    }
    shared.runs.lock().unwrap().push(Run {
        request: request.clone(),
        headers: received.headers.clone(),
        path: received.path.clone(),
        body: received.body.clone(),
    });
    if behaviour == Behaviour::Slow {
        std::thread::sleep(Duration::from_millis(500));
    }
    match behaviour {
        Behaviour::Endless(begin, more) => send_endlessly(out, &request, begin, more),
        Behaviour::LoseAnswer => Err(ErrorKind::ConnectionAborted.into()),
        Behaviour::Silent => {
            std::thread::sleep(Duration::from_secs(30));
            Err(ErrorKind::TimedOut.into())
        }
        Behaviour::Fail => write!(
            out,
            "HTTP/1.1 500 Internal Server Error\r\nrequest-id: {request}\r\n\
             server-stamp: {}\r\ncontent-length: 4\r\n\r\noops",
            shared.name
        ),
        _ if shared.service == "engines" => stream(shared, received, &request, behaviour, out),
        _ => {
            let body = format!("{} ran {}", shared.name, received.path);
            write!(
                out,
                "HTTP/1.1 200 OK\r\nrequest-id: {request}\r\nserver-stamp: {}\r\n\
                 server-load: 1,0,8\r\ncontent-length: {}\r\n\r\n{body}",
                shared.name,
                body.len()
            )
        }
    }
}

/// Event `number` of the stream that answers `request`.
pub fn event(request: &str, number: usize) -> String {
    format!("id: {number}\ndata: {request} part {number}\n\n")
}

/// The whole stream that answers `request`.
pub fn whole_stream(request: &str) -> String {
    (1..=EVENTS).map(|number| event(request, number)).collect()
}

fn stream(
    shared: &Shared,
    received: &Received,
    request: &str,
    behaviour: Behaviour,
    out: &mut TcpStream,
) -> std::io::Result<()> {
    write!(
        out,
        "HTTP/1.1 200 OK\r\nrequest-id: {request}\r\nserver-stamp: {}\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        shared.name
    )?;
    let after: usize =
        received.headers.get("last-event-id").map_or(0, |last| last.parse().unwrap());
    for number in after + 1..=EVENTS {
        let text = event(request, number);
        if behaviour == Behaviour::BreakAfter(number - after - 1) {
            let torn = &text[..text.len() / 2];
            write!(out, "{:x}\r\n{torn}\r\n", torn.len())?;
            return Err(ErrorKind::ConnectionAborted.into());
        }
        if behaviour == Behaviour::Drip(number - after - 1) {
            drip(out)?;
        }
        write!(out, "{:x}\r\n{text}\r\n", text.len())?;
        let is_unhurried = behaviour == Behaviour::Unhurried;
        std::thread::sleep(if is_unhurried { LONG_PAUSE } else { EVENT_PAUSE });
    }
    write!(out, "0\r\n\r\n")
}

/// Sends `begin`, in which `ID` stands for the id of the request, and then `more` without end.
fn send_endlessly(
    out: &mut TcpStream,
    request: &str,
    begin: &str,
    more: &str,
) -> std::io::Result<()> {
    out.write_all(begin.replace("ID", request).as_bytes())?;
    let block = more.repeat(4096 / more.len() + 1);
    loop {
        out.write_all(block.as_bytes())?;
    }
}

/// Sends a comment line that has no end, byte by byte.
fn drip(out: &mut TcpStream) -> std::io::Result<()> {
    loop {
        write!(out, "1\r\n:\r\n")?;
        std::thread::sleep(DRIP_PAUSE);
    }
}

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Exchange {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body came whole.
    pub is_whole: bool,
}

impl Exchange {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).to_string()
    }
}

/// Sends one request on a connection of its own.
pub fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<Exchange> {
    exchange_within(address, method, path, headers, body, 20)
}

/// Sends one request on a connection of its own, and waits `seconds` for each part of the answer.
pub fn exchange_within(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    seconds: u64,
) -> std::io::Result<Exchange> {
    let span = Duration::from_secs(seconds);
    let mut stream = TcpStream::connect_timeout(&address, span)?;
    stream.set_read_timeout(Some(span))?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request.push_str("Host: api.example\r\n");
    }
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(request.as_bytes())?;
    read_answer(&mut BufReader::new(stream))
}

/// Reads one answer.
pub fn read_answer<R>(reader: &mut R) -> std::io::Result<Exchange>
where
    R: BufRead,
{
    let (first, headers) = read_head(reader)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let mut body = Vec::new();
    let is_whole = match headers.get("content-length") {
        Some(length) => {
            let length: u64 = length.parse().unwrap();
            reader.take(length).read_to_end(&mut body).is_ok() && body.len() as u64 == length
        }
        None => read_chunks(reader, &mut body).unwrap_or(false),
    };
    Ok(Exchange { status, headers, body, is_whole })
}

/// Reads chunks; true when the last one came.
fn read_chunks<R>(reader: &mut R, body: &mut Vec<u8>) -> std::io::Result<bool>
where
    R: BufRead,
{
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return Ok(false);
        };
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(true);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
