//! What a streamed answer costs on the event loop.
//!
//! `cargo bench -p dispatch --bench client` starts itself once more as the upstream, so that only
//! the calls are counted. It prints processor time for an answer of 64 events and for an event, and
//! memory for an open stream. Divan times walls and not processors, so the bench counts by itself,
//! from `/proc`. What the former client, a thread for each call, cost beside it is kept in
//! docs/design/platform.md.

#![allow(clippy::unwrap_used, clippy::panic, missing_docs)]

use std::cell::Cell;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::{Client, Event, Keeping, Outbound, Progress};
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
    fn print(&self) {
        let answers = (STREAMS * ROUNDS) as f64;
        let answer = self.processor as f64 / answers / 1e6;
        let (event, stream) = (answer / EVENTS as f64, self.memory / STREAMS as f64);
        println!(
            "{answer:.3} ms of a core an answer, {event:.4} ms an event, \
             {stream:.1} KiB a stream"
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
        deadline: None,
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
    on_event_loop(address).print();
    child.kill().unwrap();
    child.wait().unwrap();
}
