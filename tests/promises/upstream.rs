//! Upstreams with few slots that queue, refuse in all ways, answer at any time, and close their
//! connections at any byte. Each run is noted.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::fleet::CONNECTION_LIMIT;
use crate::ledger::Ledger;
use crate::support::script::reset_on_close;
use crate::support::worker::send_request_with_timeout;
use crate::support::{bind_tcp_and_udp, wait_for};

/// Number of requests that an upstream runs at once, and of those that wait beside them.
const SLOTS: usize = 2;
const QUEUE: usize = 3;

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Number of events of a stream.
const EVENTS: usize = 5;

/// Receive buffer of an upstream, small enough that long bodies arrive in parts.
const RECEIVE_BUFFER_BYTES: usize = 4096;

/// Bytes that are read from a connection at once, so that the rest stays unread when it closes.
const READ_BYTES: usize = 64;

/// Where an upstream listens.
pub enum Place {
    Free,
    At(SocketAddr),
}

/// How an upstream ends a request that it does not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Refusal {
    /// States that it was not executed.
    Stated,
    /// States that it was not executed, without the id of the request.
    WithoutId,
    /// Does not state whether it was executed.
    Plain,
}

/// How an upstream ends a request that it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Answer,
    /// Answers, and sends a copy of the answer later.
    AnswerTwice,
    /// Answers with a status that is a promise to callers, but states nothing.
    Plain(u16),
    /// As `Plain`, without the id of the request.
    WithoutId(u16),
    Fail(u16),
    Close,
    Reset,
    /// Closes the connection within the answer.
    Truncate,
}

/// How an upstream handles the next request on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Action {
    /// Closes the connection after this many bytes of the request.
    CloseAfter(usize),
    /// Refuses the request before its body is read, and closes the connection.
    RefuseEarly(Refusal),
    /// Runs the request before its body is read, and ends so.
    RunEarly(End),
    Refuse(u16, Refusal),
    Run(End),
}

/// Statuses of refusals.
const REFUSALS: [u16; 4] = [503, 429, 421, 408];

/// Statuses of answers to requests that ran. Status 421 always means that the request was meant for
/// another upstream.
const PLAIN: [u16; 3] = [503, 429, 408];

fn choose_action(random: &mut Pcg64Mcg) -> Action {
    let plain = *PLAIN.choose(random).unwrap();
    let end = match random.random_range(0..100) {
        0..58 => End::Answer,
        58..68 => End::AnswerTwice,
        68..77 => End::Plain(plain),
        77..80 => End::WithoutId(plain),
        80..83 => End::Fail(500),
        83..85 => End::Fail(504),
        85..91 => End::Close,
        91..97 => End::Reset,
        _ => End::Truncate,
    };
    let refusal = match random.random_range(0..10) {
        0..7 => Refusal::Stated,
        7..8 => Refusal::WithoutId,
        _ => Refusal::Plain,
    };
    match random.random_range(0..100) {
        0..3 => Action::CloseAfter(0),
        3..6 => Action::CloseAfter(random.random_range(1..700)),
        6..9 => Action::RefuseEarly(refusal),
        9..12 => Action::RunEarly(end),
        12..22 => Action::Refuse(*REFUSALS.choose(random).unwrap(), refusal),
        _ => Action::Run(end),
    }
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

struct State {
    name: String,
    service: &'static str,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    seed: u64,
    born: u64,
    ledger: Arc<Ledger>,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    is_stopped: AtomicBool,
    /// Time until which the upstream neither accepts connections nor reads requests.
    held_until: Mutex<Instant>,
    load: Mutex<Load>,
    freed: Condvar,
    connection_count: AtomicUsize,
    connections: Mutex<Vec<Weak<TcpStream>>>,
}

/// A running upstream; it ends when it is dropped.
pub struct Upstream {
    pub service: &'static str,
    pub address: SocketAddr,
    state: Arc<State>,
}

/// Binds the address of an upstream that may have ended just now.
fn bind(address: SocketAddr) -> TcpListener {
    wait_for("the address of an upstream that has ended", || TcpListener::bind(address).ok())
}

impl Upstream {
    pub fn start(
        name: String,
        service: &'static str,
        controls: Vec<SocketAddr>,
        place: Place,
        seed: u64,
        ledger: &Arc<Ledger>,
    ) -> Self {
        let listener = match place {
            Place::Free => bind_tcp_and_udp().0,
            Place::At(address) => bind(address),
        };
        socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            name,
            service,
            address,
            controls,
            seed,
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64,
            ledger: ledger.clone(),
            sequence: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
            held_until: Mutex::new(Instant::now()),
            load: Mutex::default(),
            freed: Condvar::new(),
            connection_count: AtomicUsize::new(0),
            connections: Mutex::default(),
        });
        let accepting = state.clone();
        std::thread::spawn(move || accept_connections(&accepting, &listener));
        let announcing = state.clone();
        std::thread::spawn(move || {
            while !announcing.is_stopped.load(Ordering::Relaxed) {
                announce(&announcing);
                std::thread::sleep(ANNOUNCE_INTERVAL);
            }
        });
        Self { service, address, state }
    }

    /// Announces from now on that the upstream drains.
    pub fn drain(&self) {
        self.state.is_draining.store(true, Ordering::Relaxed);
    }

    /// Holds the upstream up until `until`, as a busy machine does. Connections and requests wait in
    /// the kernel.
    pub fn hold(&self, until: Instant) {
        *self.state.held_until.lock().unwrap() = until;
    }

    /// Closes all connections and accepts no more. Requests that run or wait end as usual.
    pub fn end(&self) {
        self.state.is_stopped.store(true, Ordering::Relaxed);
        for connection in self.state.connections.lock().unwrap().iter().filter_map(Weak::upgrade) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.end();
    }
}

impl State {
    fn wait_while_held(&self) {
        loop {
            let until = *self.held_until.lock().unwrap();
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.is_stopped.load(Ordering::Relaxed) {
                return;
            }
            std::thread::sleep(left.min(Duration::from_millis(5)));
        }
    }
}

fn announce(state: &State) {
    let sequence = state.sequence.fetch_add(1, Ordering::Relaxed) + 1;
    let is_draining = state.is_draining.load(Ordering::Relaxed);
    let body = json!({
        "service": state.service, "address": state.address.to_string(), "zone": "giza",
        "version": "v1", "slots": SLOTS, "state": if is_draining { "draining" } else { "ready" },
        "cold-remaining-ms": 0, "seq": sequence, "born": state.born,
    })
    .to_string();
    let path = format!("/v1/workers/{}", state.name);
    let mut controls = state.controls.clone();
    let first = (sequence % controls.len() as u64) as usize;
    controls.rotate_left(first);
    controls.into_iter().any(|control| {
        let answer = send_request_with_timeout(control, "PUT", &path, &[], &body, 1);
        answer.is_ok_and(|answer| answer.status == 200)
    });
}

fn accept_connections(state: &Arc<State>, listener: &TcpListener) {
    let mut accepted = 0;
    while !state.is_stopped.load(Ordering::Relaxed) {
        state.wait_while_held();
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(Duration::from_millis(1));
            continue;
        };
        stream.set_nonblocking(false).unwrap();
        if state.connection_count.load(Ordering::Relaxed) >= CONNECTION_LIMIT {
            reset_on_close(&stream);
            continue;
        }
        state.connection_count.fetch_add(1, Ordering::Relaxed);
        accepted += 1;
        let held = Arc::new(stream.try_clone().unwrap());
        let mut connections = state.connections.lock().unwrap();
        connections.retain(|connection| connection.strong_count() > 0);
        connections.push(Arc::downgrade(&held));
        drop(connections);
        let state = state.clone();
        let random = Pcg64Mcg::seed_from_u64(state.seed * 10_000 + accepted);
        std::thread::spawn(move || {
            let mut connection = Connection { state: &state, random, stream };
            // The error of a connection that the upstream or the instance has closed.
            let _ = connection.serve();
            drop(held);
            state.connection_count.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

struct Head {
    path: String,
    headers: BTreeMap<String, String>,
}

impl Head {
    fn read<R>(reader: &mut R) -> std::io::Result<Self>
    where
        R: BufRead,
    {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            match line.trim_end() {
                "" => break,
                text => lines.push(text.to_string()),
            }
        }
        let path = lines.first().and_then(|line| line.split(' ').nth(1)).unwrap_or_default();
        let fields = lines.iter().skip(1).filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.to_lowercase(), value.trim().to_string()));
        Ok(Self { path: path.to_string(), headers: fields.collect() })
    }

    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn id(&self) -> &str {
        self.header("request-id")
    }
}

struct Connection<'a> {
    state: &'a State,
    random: Pcg64Mcg,
    stream: TcpStream,
}

/// Returns the error that closes the connection.
fn closed<T>() -> std::io::Result<T> {
    Err(ErrorKind::ConnectionAborted.into())
}

impl Connection<'_> {
    fn serve(&mut self) -> std::io::Result<()> {
        self.stream.set_nodelay(true)?;
        let mut reader = BufReader::with_capacity(READ_BYTES, self.stream.try_clone()?);
        loop {
            // An idle connection closes sooner or later, also while the next request is on its way.
            let idle = Duration::from_millis(self.random.random_range(100..1500));
            self.stream.set_read_timeout(Some(idle))?;
            let action = choose_action(&mut self.random);
            if let Action::CloseAfter(bytes) = action {
                reader.read_exact(&mut vec![0; bytes])?;
                self.state.ledger.record_ending("closed before or within the request");
                return Ok(());
            }
            self.wait_for_bytes(&mut reader)?;
            self.state.wait_while_held();
            let head = Head::read(&mut reader)?;
            self.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
            let arrived_at = Instant::now();
            let length: usize = head.header("content-length").parse().unwrap_or_default();
            if head.id().is_empty() {
                reader.read_exact(&mut vec![0; length])?;
                self.answer_probe(&head)?;
                continue;
            }
            let expected = head.header("expect-instance");
            let is_addressee = expected.is_empty() || expected == self.state.name;
            match action {
                Action::RefuseEarly(refusal) => {
                    self.refuse(&head, 503, refusal)?;
                    return closed();
                }
                Action::RunEarly(end) if is_addressee => {
                    let run = self.begin_run(&head, end);
                    let result = self.end_run(&head, end);
                    self.state.ledger.end_run(run);
                    return result;
                }
                _ => {}
            }
            reader.read_exact(&mut vec![0; length])?;
            match action {
                _ if !is_addressee => self.refuse(&head, 421, Refusal::Stated)?,
                Action::Refuse(status, refusal) => self.refuse(&head, status, refusal)?,
                Action::Run(end) => self.queue(&head, arrived_at, end)?,
                _ => {}
            }
        }
    }

    /// Waits for the first byte of the next request, and leaves all others to the kernel.
    fn wait_for_bytes(&self, reader: &mut BufReader<TcpStream>) -> std::io::Result<()> {
        let is_read = !reader.buffer().is_empty();
        if !is_read && self.stream.peek(&mut [0])? == 0 {
            return closed();
        }
        Ok(())
    }

    fn answer_probe(&mut self, head: &Head) -> std::io::Result<()> {
        let status = if head.path.starts_with("/health") { 200 } else { 404 };
        let name = &self.state.name;
        write!(
            self.stream,
            "HTTP/1.1 {status} X\r\ninstance-id: {name}\r\ncontent-length: 0\r\n\r\n"
        )
    }

    fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    fn load_line(&self) -> String {
        let load = self.state.load.lock().unwrap();
        format!("server-load: {},{},{SLOTS}\r\n", load.running, load.waiting)
    }

    /// Refuses a request that does not run. Sometimes a copy of the refusal follows later.
    fn refuse(&mut self, head: &Head, status: u16, refusal: Refusal) -> std::io::Result<()> {
        self.state.ledger.record_ending(&format!("refused {status} {refusal:?}"));
        let id = match refusal {
            Refusal::WithoutId => String::new(),
            _ => format!("request-id: {}\r\n", head.id()),
        };
        let statement = if refusal == Refusal::Plain { "" } else { "not-executed: 1\r\n" };
        let load = self.load_line();
        let text = format!("HTTP/1.1 {status} X\r\n{id}{statement}{load}content-length: 0\r\n\r\n");
        self.send(&text)?;
        if self.random.random_bool(0.1) {
            std::thread::sleep(Duration::from_millis(self.random.random_range(0..100)));
            self.send(&text)?;
        }
        Ok(())
    }

    /// Runs a request once a slot is free, or refuses it. A request that waits is run even if its
    /// connection has closed.
    fn queue(&mut self, head: &Head, arrived_at: Instant, end: End) -> std::io::Result<()> {
        let left = head.header("deadline-remaining").parse().unwrap_or(1000);
        let deadline = arrived_at + Duration::from_millis(left);
        let state = self.state;
        let mut load = state.load.lock().unwrap();
        if load.running >= SLOTS && load.waiting >= QUEUE {
            drop(load);
            return self.refuse(head, 503, Refusal::Stated);
        }
        load.waiting += 1;
        while load.running >= SLOTS && Instant::now() < deadline {
            let wait = deadline.saturating_duration_since(Instant::now());
            load = state.freed.wait_timeout(load, wait).unwrap().0;
        }
        load.waiting -= 1;
        if load.running >= SLOTS || Instant::now() >= deadline {
            drop(load);
            return self.refuse(head, 503, Refusal::Stated);
        }
        load.running += 1;
        drop(load);
        let run = self.begin_run(head, end);
        let longest = if self.random.random_bool(0.1) { 900 } else { 50 };
        let duration = Duration::from_millis(self.random.random_range(2..longest));
        let left = deadline.saturating_duration_since(Instant::now());
        std::thread::sleep(duration.min(left));
        let end = if duration > left { End::Fail(504) } else { end };
        let result = self.end_run(head, end);
        state.ledger.end_run(run);
        state.load.lock().unwrap().running -= 1;
        state.freed.notify_one();
        result
    }

    fn begin_run(&self, head: &Head, end: End) -> crate::ledger::RunNumber {
        self.state.ledger.record_ending(&format!("ran {end:?}"));
        self.state.ledger.begin_run(head.id(), &self.state.name, &format!("{end:?}"))
    }

    /// Answers a request that runs, or closes its connection.
    fn end_run(&mut self, head: &Head, end: End) -> std::io::Result<()> {
        let id = format!("request-id: {}\r\n", head.id());
        let load = self.load_line();
        let empty = "content-length: 0\r\n\r\n";
        match end {
            End::Answer | End::AnswerTwice => {}
            End::Plain(status) | End::Fail(status) => {
                return self.send(&format!("HTTP/1.1 {status} X\r\n{id}{load}{empty}"));
            }
            End::WithoutId(status) => {
                return self.send(&format!("HTTP/1.1 {status} X\r\n{load}{empty}"));
            }
            End::Close => return closed(),
            End::Reset => {
                reset_on_close(&self.stream);
                return closed();
            }
            End::Truncate => {
                let cut = self.random.random_range(1..60);
                let text = format!("HTTP/1.1 200 OK\r\n{id}{load}content-length: 40\r\n\r\nhalf");
                self.send(&text[..cut.min(text.len())])?;
                return closed();
            }
        }
        let is_closing = self.random.random_bool(0.1);
        let close = if is_closing { "connection: close\r\n" } else { "" };
        let stamp = format!("server-stamp: {}\r\n", self.state.name);
        let start = format!("HTTP/1.1 200 OK\r\n{id}{stamp}{load}{close}");
        match self.state.service {
            "engines" => self.send_events(head, &start)?,
            _ => {
                let text = format!("{start}content-length: 3\r\n\r\nran");
                self.send(&text)?;
                if end == End::AnswerTwice {
                    std::thread::sleep(Duration::from_millis(self.random.random_range(0..150)));
                    self.send(&text)?;
                }
            }
        }
        if is_closing { closed() } else { Ok(()) }
    }

    fn send_events(&mut self, head: &Head, start: &str) -> std::io::Result<()> {
        self.send(&format!(
            "{start}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        ))?;
        let last: usize = head.header("last-event-id").parse().unwrap_or(0);
        for number in last + 1..=EVENTS {
            let text = format!("id: {number}\ndata: part {number}\n\n");
            self.send(&format!("{:x}\r\n{text}\r\n", text.len()))?;
            std::thread::sleep(Duration::from_millis(8));
        }
        self.send("0\r\n\r\n")
    }
}
