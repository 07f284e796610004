//! Checks the server with a handler of the test, over loopback connections.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Barrier};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use entry::{Bounds, ChatForm, Event, Hold, Memory, Reply, Server, Status};
use eventloop::{Loop, Sender, mailbox};
use stakker::{ActorOwn, CX, Fwd, StopCause, actor, after, fwd_to, ret_nop};
use test_case::test_case;

/// Memory of the process in bytes, of which the budget is one half.
const MEMORY: usize = 8 << 20;

/// The same for an answer that is read late.
const STREAM_MEMORY: usize = 64 << 20;

/// Interval at which the reserved bytes are read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(1);

/// Time for which the handler holds up the event loop before it counts a refusal.
const COUNT_DELAY: Duration = Duration::from_millis(300);

/// Timeout of a read from the server.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of callers that send bodies at once. Their first chunks fit into the budget.
const CALLERS: usize = 20;

/// Size in bytes of a body, and of each of its chunks.
const BODY_BYTES: usize = 1 << 20;
const CHUNK_BYTES: usize = 32 << 10;

/// Path of a request that is answered with [`stream_parts`].
const STREAM_PATH: &str = "/stream";

/// Path of a request whose answer of [`CUT_BYTES`] bytes is cut, and of one that is answered with
/// [`LARGE_BYTES`] bytes. Both together exceed the budget for unsent output, with [`STREAM_MEMORY`].
const CUT_PATH: &str = "/cut";
const LARGE_PATH: &str = "/large";
const CUT_BYTES: usize = 20 << 20;
const LARGE_BYTES: usize = 14 << 20;

/// Size in bytes of the parts of these answers.
const PART_BYTES: usize = 8 << 10;

const BOUNDS: Bounds = Bounds {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    body_copies: 2,
    incoming_bytes: 64 << 20,
    unread_bytes: None,
    unread_total_bytes: 32 << 20,
    connections: 100,
    receive: Duration::from_millis(500),
    idle: Duration::from_secs(10),
    unread: Duration::from_secs(10),
};

/// Returns the parts of an answer of about 12 MB. Their sizes fit into no block evenly.
fn stream_parts() -> impl Iterator<Item = Vec<u8>> {
    let sizes = [1, 700, 16 << 10, 30_000, 70_000].into_iter().cycle().take(500);
    sizes.enumerate().map(|(number, size)| format!("{number:08}").repeat(size / 8 + 1).into_bytes())
}

fn stream_bytes() -> Vec<u8> {
    stream_parts().flatten().collect()
}

/// Sends the start of an answer and `bytes` bytes of it.
fn send_parts(reply: &Fwd<Reply>, bytes: usize) {
    let length = Some(LARGE_BYTES as u64).filter(|_| bytes == LARGE_BYTES);
    reply.fwd(Reply::Start { status: Status::OK, headers: Vec::new(), length });
    (0..bytes / PART_BYTES).for_each(|_| reply.fwd(Reply::Part(vec![b'x'; PART_BYTES])));
}

/// What the handler has seen.
#[derive(Default)]
struct Seen {
    is_refusal_counted: AtomicBool,
    most_reserved_bytes: AtomicUsize,
}

/// Handler that answers each request with 200, and keeps its memory reserved.
struct Handler {
    seen: Arc<Seen>,
    memory: Memory,
    count_delay: Duration,
    holds: Vec<Hold>,
}

impl Handler {
    fn init(cx: CX![], seen: Arc<Seen>, memory: Memory, count_delay: Duration) -> Option<Self> {
        after!(SAMPLE_INTERVAL, [cx], sample());
        Some(Self { seen, memory, count_delay, holds: Vec::new() })
    }

    fn sample(&mut self, cx: CX![]) {
        self.record_reserved();
        after!(SAMPLE_INTERVAL, [cx], sample());
    }

    fn record_reserved(&self) {
        self.seen.most_reserved_bytes.fetch_max(self.memory.reserved_bytes(), Ordering::Relaxed);
    }

    fn handle(&mut self, _: CX![], event: Event) {
        self.record_reserved();
        match event {
            Event::Arrived { request, reply, .. } if request.path == STREAM_PATH => {
                let (status, headers, length) = (Status::OK, Vec::new(), stream_bytes().len());
                reply.fwd(Reply::Start { status, headers, length: Some(length as u64) });
                for part in stream_parts() {
                    reply.fwd(Reply::Part(part));
                }
                reply.fwd(Reply::End);
            }
            Event::Arrived { request, reply, .. } if request.path == CUT_PATH => {
                send_parts(&reply, CUT_BYTES);
                reply.fwd(Reply::Cut);
            }
            Event::Arrived { request, reply, .. } if request.path == LARGE_PATH => {
                send_parts(&reply, LARGE_BYTES);
                reply.fwd(Reply::End);
            }
            Event::Arrived { hold, reply, .. } => {
                self.holds.push(hold);
                let body = b"served".to_vec();
                reply.fwd(Reply::Whole { status: Status::OK, headers: Vec::new(), body });
            }
            Event::Left { .. } => {}
            Event::Refused { .. } => {
                std::thread::sleep(self.count_delay);
                self.seen.is_refusal_counted.store(true, Ordering::Relaxed);
            }
        }
    }
}

/// Server on a separate event loop thread.
struct ServerThread {
    address: SocketAddr,
    seen: Arc<Seen>,
    budget_bytes: usize,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    fn start(memory_bytes: usize, count_delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Seen::default());
        let handler_seen = seen.clone();
        let (ready, ready_receiver) = channel();
        let thread = std::thread::spawn(move || {
            let mut event_loop = Loop::new().unwrap();
            let stakker = event_loop.stakker();
            let memory = Memory::new(memory_bytes);
            let budget_bytes = memory.total_bytes();
            let handler: ActorOwn<Handler> = actor!(
                stakker,
                Handler::init(handler_seen, memory.clone(), count_delay),
                ret_nop!()
            );
            let events = fwd_to!([handler], handle() as (Event));
            let form = Rc::new(ChatForm);
            let _server: ActorOwn<Server> =
                actor!(stakker, Server::init(listener, BOUNDS, form, memory, events), ret_nop!());
            let deferrer = stakker.deferrer();
            let stop =
                Fwd::new(move |()| deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped)));
            ready.send((mailbox(stakker, stop), budget_bytes)).unwrap();
            event_loop.run().unwrap();
        });
        let (stop, budget_bytes) = ready_receiver.recv().unwrap();
        Self { address, seen, budget_bytes, stop, thread: Some(thread) }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        stream
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.stop.send(());
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

/// Sends a body in chunks, of which all callers together send the first ones, and returns the status
/// of the answer, if one arrives.
fn send_chunks(mut stream: TcpStream, barrier: &Barrier) -> Option<String> {
    let chunk = [format!("{CHUNK_BYTES:x}\r\n").into_bytes(), vec![b'x'; CHUNK_BYTES]].concat();
    // The server may refuse the request while the body is sent.
    let _ = stream.write_all(b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n");
    for number in 0..BODY_BYTES / CHUNK_BYTES {
        let _ = stream.write_all(&chunk).and_then(|()| stream.write_all(b"\r\n"));
        if number == 0 {
            barrier.wait();
        }
    }
    let _ = stream.write_all(b"0\r\n\r\n");
    let mut status = [0; 12];
    stream.read_exact(&mut status).ok()?;
    Some(String::from_utf8_lossy(&status).into_owned())
}

/// Guards against bodies in chunks that grow without a check of the budget: bytes that were moved
/// from the socket into a body were reserved by force.
#[test]
fn bodies_in_chunks_exceed_no_budget() {
    let server = ServerThread::start(MEMORY, Duration::ZERO);
    let barrier = Arc::new(Barrier::new(CALLERS));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let stream = server.connect();
            let barrier = barrier.clone();
            std::thread::spawn(move || send_chunks(stream, &barrier))
        })
        .collect();
    let statuses: Vec<_> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let most = server.seen.most_reserved_bytes.load(Ordering::Relaxed);
    assert!(most <= server.budget_bytes, "{most} of {} bytes; {statuses:?}", server.budget_bytes);
    assert!(statuses.contains(&Some("HTTP/1.1 200".to_string())), "{statuses:?}");
    assert!(statuses.contains(&Some("HTTP/1.1 503".to_string())), "{statuses:?}");
}

/// Guards against an answer that reaches its caller before the refusal is counted, so that the
/// metrics lack a refusal that is already known outside.
#[test_case("NONSENSE\r\n\r\n"; "malformed head")]
#[test_case("POST / HT"; "incomplete head")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\n123"; "stalled body")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 4000000\r\n\r\n"; "body above the budget")]
fn a_refusal_is_counted_before_its_answer_is_sent(request: &str) {
    let server = ServerThread::start(MEMORY, COUNT_DELAY);
    let mut stream = server.connect();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = [0; 10];
    stream.read_exact(&mut answer).unwrap();
    assert!(server.seen.is_refusal_counted.load(Ordering::Relaxed));
    assert!(answer.starts_with(b"HTTP/1.1 "), "{answer:?}");
}

/// Guards against output that is lost, repeated or out of order where most of it waits for its caller.
#[test]
fn an_answer_that_is_read_late_arrives_unchanged() {
    let server = ServerThread::start(STREAM_MEMORY, Duration::ZERO);
    let mut stream = server.connect();
    let request = format!("GET {STREAM_PATH} HTTP/1.1\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let (mut answer, mut block) = (Vec::new(), vec![0; 10_000]);
    loop {
        match stream.read(&mut block).unwrap() {
            0 => break,
            length => answer.extend_from_slice(&block[..length]),
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    let head = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap();
    let most = server.seen.most_reserved_bytes.load(Ordering::Relaxed);
    assert!(most > answer.len() / 4, "no more than {most} bytes had to wait");
    assert!(answer[head + 4..] == stream_bytes(), "{} bytes", answer.len() - head - 4);
}

/// Sends a request to `path` on a new connection, and waits until `reserved` bytes were reserved.
fn request(server: &ServerThread, path: &str, reserved: usize) -> TcpStream {
    let mut stream = server.connect();
    let request = format!("GET {path} HTTP/1.1\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let sent_at = Instant::now();
    while server.seen.most_reserved_bytes.load(Ordering::Relaxed) < reserved {
        assert!(sent_at.elapsed() < READ_TIMEOUT, "{reserved} bytes were not reserved");
        std::thread::sleep(SAMPLE_INTERVAL);
    }
    stream
}

/// Guards against a cut answer whose unsent output stays in memory although it has to make room for
/// that of others.
#[test]
fn a_cut_answer_makes_room_for_others() {
    let server = ServerThread::start(STREAM_MEMORY, Duration::ZERO);
    let mut cut = request(&server, CUT_PATH, CUT_BYTES / 2);
    let mut large = request(&server, LARGE_PATH, 0);
    std::thread::sleep(Duration::from_millis(200));
    let mut answer = Vec::new();
    large.read_to_end(&mut answer).unwrap();
    assert!(answer.len() > LARGE_BYTES, "{} bytes", answer.len());
    let mut received = Vec::new();
    let _ = cut.read_to_end(&mut received);
    assert!(received.len() < CUT_BYTES, "all of the cut answer was kept");
}
