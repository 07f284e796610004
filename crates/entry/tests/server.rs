//! Checks the server with a handler of the test, over loopback connections.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::thread::JoinHandle;
use std::time::Duration;

use entry::{Bounds, ChatForm, Event, Hold, Memory, Reply, Server, Status};
use eventloop::{Loop, Sender, mailbox};
use stakker::{ActorOwn, CX, Fwd, StopCause, actor, fwd_to, ret_nop};
use test_case::test_case;

/// Memory of the process in bytes, of which the budget is one half.
const MEMORY: usize = 8 << 20;

/// Time for which the handler holds up the event loop before it counts a refusal.
const COUNT_DELAY: Duration = Duration::from_millis(300);

/// Timeout of a read from the server.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

const BOUNDS: Bounds = Bounds {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    body_copies: 2,
    incoming_bytes: 64 << 20,
    unread_bytes: 256 << 10,
    unread_total_bytes: 32 << 20,
    connections: 100,
    receive: Duration::from_millis(500),
    idle: Duration::from_secs(10),
    unread: Duration::from_secs(10),
};

/// What the handler has seen.
#[derive(Default)]
struct Seen {
    is_refusal_counted: AtomicBool,
}

/// Handler that answers each request with 200, and keeps its memory reserved.
struct Handler {
    seen: Arc<Seen>,
    holds: Vec<Hold>,
}

impl Handler {
    fn init(_: CX![], seen: Arc<Seen>) -> Option<Self> {
        Some(Self { seen, holds: Vec::new() })
    }

    fn handle(&mut self, _: CX![], event: Event) {
        match event {
            Event::Arrived { hold, reply, .. } => {
                self.holds.push(hold);
                let body = b"served".to_vec();
                reply.fwd(Reply::Whole { status: Status::OK, headers: Vec::new(), body });
            }
            Event::Left { .. } => {}
            Event::Refused { .. } => {
                std::thread::sleep(COUNT_DELAY);
                self.seen.is_refusal_counted.store(true, Ordering::Relaxed);
            }
        }
    }
}

/// Server on a separate event loop thread.
struct ServerThread {
    address: SocketAddr,
    seen: Arc<Seen>,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Seen::default());
        let handler_seen = seen.clone();
        let (ready, ready_receiver) = channel();
        let thread = std::thread::spawn(move || {
            let mut event_loop = Loop::new().unwrap();
            let stakker = event_loop.stakker();
            let memory = Memory::new(MEMORY);
            let handler: ActorOwn<Handler> =
                actor!(stakker, Handler::init(handler_seen), ret_nop!());
            let events = fwd_to!([handler], handle() as (Event));
            let form = Rc::new(ChatForm);
            let _server: ActorOwn<Server> =
                actor!(stakker, Server::init(listener, BOUNDS, form, memory, events), ret_nop!());
            let deferrer = stakker.deferrer();
            let stop =
                Fwd::new(move |()| deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped)));
            ready.send(mailbox(stakker, stop)).unwrap();
            event_loop.run().unwrap();
        });
        let stop = ready_receiver.recv().unwrap();
        Self { address, seen, stop, thread: Some(thread) }
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

/// Guards against an answer that reaches its caller before the refusal is counted, so that the
/// metrics lack a refusal that is already known outside.
#[test_case("NONSENSE\r\n\r\n"; "malformed head")]
#[test_case("POST / HT"; "incomplete head")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\n123"; "stalled body")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 4000000\r\n\r\n"; "body above the budget")]
fn a_refusal_is_counted_before_its_answer_is_sent(request: &str) {
    let server = ServerThread::start();
    let mut stream = server.connect();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = [0; 10];
    stream.read_exact(&mut answer).unwrap();
    assert!(server.seen.is_refusal_counted.load(Ordering::Relaxed));
    assert!(answer.starts_with(b"HTTP/1.1 "), "{answer:?}");
}
