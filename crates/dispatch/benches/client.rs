//! What a streamed answer costs on the event loop, against a thread and an HTTP client for each
//! call, in the same run.
//!
//! `cargo bench -p dispatch --bench client` starts itself once more as the upstream, so that only
//! the calls are counted. It prints, for both clients, processor time for an answer of 64 events
//! and for an event, and memory for an open stream. Divan times walls and not processors, so the
//! bench counts by itself, from `/proc`.

#![allow(clippy::unwrap_used, clippy::panic, missing_docs)]

use std::cell::Cell;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dispatch::{Call, Client, Event, Handle, Keeping, Outbound, Pool, Progress, Reuse, Sink};
use eventloop::Loop;
use names::Attempt;
use stakker::{ActorOwn, Fwd, StopCause, actor, call, ret_nop};

const EVENTS: usize = 64;
const EVENT_PAUSE: Duration = Duration::from_millis(2);
const STREAMS: usize = 100;
const ROUNDS: usize = 5;
const PATIENCE: Duration = Duration::from_secs(60);
const SERVE: &str = "--serve";

/// Answers every request with a stream of events.
fn serve() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    println!("{}", listener.local_addr().unwrap());
    for stream in listener.incoming() {
        let stream = stream.unwrap();
        std::thread::spawn(move || answer_all(stream));
    }
}

fn answer_all(mut stream: TcpStream) {
    stream.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while read_request(&mut reader) {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        for number in 0..EVENTS {
            let event = format!("id: {number}\ndata: {number:050}\n\n");
            is_open &= write!(stream, "{:x}\r\n{event}\r\n", event.len()).is_ok();
            std::thread::sleep(EVENT_PAUSE);
        }
        is_open &= stream.write_all(b"0\r\n\r\n").is_ok();
        if !is_open {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> bool {
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) | Err(_) => return false,
            Ok(_) if line == "\r\n" => return true,
            Ok(_) => {}
        }
    }
}

/// Nanoseconds of processor time of all threads that live.
fn processor() -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let times = tasks.filter_map(|task| {
        let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    times.sum()
}

/// Resident memory in KiB.
fn memory() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").trim().parse().unwrap()
}

/// What one client cost.
struct Cost {
    processor: u64,
    memory: f64,
}

impl Cost {
    fn print(&self, name: &str) {
        let answers = (STREAMS * ROUNDS) as f64;
        let answer = self.processor as f64 / answers / 1e6;
        let (event, stream) = (answer / EVENTS as f64, self.memory / STREAMS as f64);
        println!(
            "{name:<10} {answer:>8.3} ms of a core an answer, {event:>8.4} ms an event, \
             {stream:>7.1} KiB a stream"
        );
    }
}

/// Waits for the middle of the first round, and gives the memory that was added by then.
fn memory_in_flight(before: f64) -> f64 {
    std::thread::sleep(EVENT_PAUSE * EVENTS as u32 / 2);
    memory() - before
}

fn outbound(number: usize, address: SocketAddr) -> Outbound {
    Outbound {
        attempt: Attempt(number as u64),
        address,
        head: b"POST / HTTP/1.1\r\nhost: bench\r\ncontent-length: 0\r\n\r\n".to_vec(),
        body: Rc::from(Vec::new()),
        has_no_body: false,
        echo: None,
        connect_by: Instant::now() + PATIENCE,
        idle_at_most: PATIENCE,
        connections: STREAMS,
    }
}

fn on_event_loop(address: SocketAddr) -> Cost {
    let mut event_loop = Loop::new().unwrap();
    let stakker = event_loop.stakker();
    let ended: Cell<usize> = Cell::new(0);
    let deferrer = stakker.deferrer();
    let events = Fwd::new(move |event: Event| match event.progress {
        Progress::End => {
            ended.set(ended.get() + 1);
            if ended.get().is_multiple_of(STREAMS) {
                deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped));
            }
        }
        Progress::Failed { reason, .. } => panic!("{reason}"),
        Progress::Head { .. } | Progress::Part(_) => {}
    });
    let silence = Duration::from_secs(5);
    let keeping = Keeping { idle: PATIENCE, margin: Duration::ZERO, silence };
    let client: ActorOwn<Client> =
        actor!(stakker, Client::init(keeping, events, Fwd::new(|_| {})), ret_nop!());
    let (memory_before, before) = (memory(), processor());
    let observer = std::thread::spawn(move || memory_in_flight(memory_before));
    for round in 0..ROUNDS {
        for number in 0..STREAMS {
            let outbound = outbound(round * STREAMS + number, address);
            call!([client], call(outbound));
        }
        event_loop.run().unwrap();
        // The loop runs on once the reason of its end is taken.
        assert!(event_loop.stakker().shutdown_reason().is_some());
    }
    Cost { processor: processor() - before, memory: observer.join().unwrap() }
}

struct Counter {
    ended: AtomicUsize,
    handles: Mutex<Vec<Handle>>,
}

impl Sink for Counter {
    fn deliver(&self, event: Event) {
        match event.progress {
            Progress::End => drop(self.ended.fetch_add(1, Ordering::Relaxed)),
            Progress::Part(part) => {
                let handles = self.handles.lock().unwrap();
                if let Some(handle) = handles.get(event.attempt.0 as usize % STREAMS) {
                    handle.took(part.len());
                }
            }
            Progress::Failed { reason, .. } => panic!("{reason}"),
            Progress::Head { .. } => {}
        }
    }
}

fn on_threads(address: SocketAddr) -> Cost {
    let counter = Arc::new(Counter { ended: AtomicUsize::new(0), handles: Mutex::default() });
    let pool = Pool::new(STREAMS, counter.clone());
    let (memory_before, before) = (memory(), processor());
    let mut in_flight = 0.0;
    for round in 0..ROUNDS {
        counter.ended.store(0, Ordering::Relaxed);
        counter.handles.lock().unwrap().clear();
        for number in 0..STREAMS {
            let call = Call {
                attempt: Attempt((round * STREAMS + number) as u64),
                method: "POST".to_string(),
                url: format!("http://{address}/"),
                headers: Vec::new(),
                body: Vec::new(),
                connect_by: Instant::now() + PATIENCE,
                deadline: Instant::now() + PATIENCE,
                reuse: Reuse::Allowed,
            };
            let handle = pool.start(call).unwrap();
            counter.handles.lock().unwrap().push(handle);
        }
        if round == 0 {
            in_flight = memory_in_flight(memory_before);
        }
        while counter.ended.load(Ordering::Relaxed) < STREAMS {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    Cost { processor: processor() - before, memory: in_flight }
}

fn upstream() -> (Child, SocketAddr) {
    let program = std::env::current_exe().unwrap();
    let mut child = Command::new(program).arg(SERVE).stdout(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
    (child, line.trim().parse().unwrap())
}

fn main() {
    if std::env::args().any(|argument| argument == SERVE) {
        serve();
        return;
    }
    let (mut child, address) = upstream();
    let event_loop = on_event_loop(address);
    let threads = on_threads(address);
    threads.print("threads");
    event_loop.print("event loop");
    println!(
        "threads take {:.1} times the processor time and {:.1} times the memory",
        threads.processor as f64 / event_loop.processor as f64,
        threads.memory / event_loop.memory.max(1.0)
    );
    child.kill().unwrap();
    child.wait().unwrap();
}
