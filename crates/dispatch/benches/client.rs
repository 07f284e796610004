//! Cost of a streamed response on the event loop.
//!
//! `cargo bench -p dispatch --bench client` starts a second process of itself as the upstream, so
//! that only the cost of the client is measured. The benchmark prints the CPU time per response of
//! 64 events and per event, and the memory per open stream. Divan measures wall-clock time instead
//! of CPU time, so the benchmark reads the CPU time from `/proc`. The costs of the former client,
//! which used one thread for each call, are recorded in docs/design/platform.md.

#![allow(clippy::unwrap_used, clippy::panic, missing_docs)]

use std::cell::Cell;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use dispatch::{CallEvent, Client, KeepAlive, Outbound, Progress};
use eventloop::Loop;
use names::Attempt;
use stakker::{ActorOwn, Fwd, StopCause, actor, call, ret_nop};

const EVENTS_PER_RESPONSE: usize = 64;
const EVENT_INTERVAL: Duration = Duration::from_millis(2);
const CONCURRENT_STREAMS: usize = 100;
const ROUNDS: usize = 5;
const TIMEOUT: Duration = Duration::from_secs(60);
const SERVE_FLAG: &str = "--serve";

/// Serves every request with a stream of events.
fn serve() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    println!("{}", listener.local_addr().unwrap());
    for stream in listener.incoming() {
        let stream = stream.unwrap();
        std::thread::spawn(move || serve_connection(stream));
    }
}

fn serve_connection(mut stream: TcpStream) {
    stream.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while read_request(&mut reader) {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        for number in 0..EVENTS_PER_RESPONSE {
            let event = format!("id: {number}\ndata: {number:050}\n\n");
            is_open &= write!(stream, "{:x}\r\n{event}\r\n", event.len()).is_ok();
            std::thread::sleep(EVENT_INTERVAL);
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

/// Returns the CPU time of all live threads in nanoseconds.
fn cpu_nanos() -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let times = tasks.filter_map(|task| {
        let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    times.sum()
}

/// Returns the resident memory in KiB.
fn memory_kib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").trim().parse().unwrap()
}

/// Measured cost of a client.
struct Cost {
    cpu_nanos: u64,
    memory_kib: f64,
}

impl Cost {
    fn print(&self) {
        let responses = (CONCURRENT_STREAMS * ROUNDS) as f64;
        let response = self.cpu_nanos as f64 / responses / 1e6;
        let (event, stream) =
            (response / EVENTS_PER_RESPONSE as f64, self.memory_kib / CONCURRENT_STREAMS as f64);
        println!(
            "{response:.3} ms of CPU time per response, {event:.4} ms per event, \
             {stream:.1} KiB per stream"
        );
    }
}

/// Waits until the middle of the first round and returns the increase of memory since `before`, in
/// KiB.
fn stream_memory_kib(before: f64) -> f64 {
    std::thread::sleep(EVENT_INTERVAL * EVENTS_PER_RESPONSE as u32 / 2);
    memory_kib() - before
}

fn outbound(number: usize, address: SocketAddr) -> Outbound {
    Outbound {
        attempt: Attempt(number as u64),
        address,
        head: b"POST / HTTP/1.1\r\nhost: bench\r\ncontent-length: 0\r\n\r\n".to_vec(),
        body: Rc::from(Vec::new()),
        has_no_body: false,
        head_fields: &[],
        echo: None,
        connect_deadline: Instant::now() + TIMEOUT,
        deadline: None,
        max_connection_idle: TIMEOUT,
        first_sent_at: None,
        holds_chunks: true,
        max_connections: CONCURRENT_STREAMS,
    }
}

fn measure_client(address: SocketAddr) -> Cost {
    let mut event_loop = Loop::new().unwrap();
    let stakker = event_loop.stakker();
    let ended: Cell<usize> = Cell::new(0);
    let deferrer = stakker.deferrer();
    let events = Fwd::new(move |event: CallEvent| match event.progress {
        Progress::End => {
            ended.set(ended.get() + 1);
            if ended.get().is_multiple_of(CONCURRENT_STREAMS) {
                deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped));
            }
        }
        Progress::NotSent { reason } | Progress::Failed { reason, .. } => panic!("{reason}"),
        Progress::Closed => panic!("the connection was closed"),
        Progress::Head { .. } | Progress::Body(_) | Progress::Received => {}
    });
    let peer_timeout = Duration::from_secs(5);
    let keep_alive = KeepAlive {
        idle_timeout: TIMEOUT,
        close_margin: Duration::ZERO,
        dead_peer_timeout: peer_timeout,
        late_reader_timeout: peer_timeout,
    };
    let client: ActorOwn<Client> =
        actor!(stakker, Client::init(keep_alive, events, Fwd::new(|_| {})), ret_nop!());
    let (memory_before, before) = (memory_kib(), cpu_nanos());
    let observer = std::thread::spawn(move || stream_memory_kib(memory_before));
    for round in 0..ROUNDS {
        for number in 0..CONCURRENT_STREAMS {
            let outbound = outbound(round * CONCURRENT_STREAMS + number, address);
            call!([client], call(outbound));
        }
        event_loop.run().unwrap();
        // Taking the shutdown reason lets the event loop run again.
        assert!(event_loop.stakker().shutdown_reason().is_some());
    }
    Cost { cpu_nanos: cpu_nanos() - before, memory_kib: observer.join().unwrap() }
}

fn start_upstream() -> (Child, SocketAddr) {
    let program = std::env::current_exe().unwrap();
    let mut child = Command::new(program).arg(SERVE_FLAG).stdout(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
    (child, line.trim().parse().unwrap())
}

fn main() {
    if std::env::args().any(|argument| argument == SERVE_FLAG) {
        serve();
        return;
    }
    let (mut child, address) = start_upstream();
    measure_client(address).print();
    child.kill().unwrap();
    child.wait().unwrap();
}
