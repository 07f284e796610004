//! Checks the memory of idle connections to upstreams. The test is alone in its file, because it
//! measures the memory of its process.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

use dispatch::{Call, CallEvent, Client, ConnectionReuse, KeepAlive, Outbound, Progress};
use eventloop::{Loop, mailbox};
use names::Attempt;
use stakker::{ActorOwn, Fwd, StopCause, actor, call, ret_nop};

/// Time that the call and the release of its buffer have.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which an idle connection is kept, far above [`TIMEOUT`].
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Size in bytes of the request. The allocator returns blocks of more than 32 MiB to the operating
/// system whenever they are released.
const BODY_BYTES: usize = 48 << 20;

/// Size in bytes by which the memory of the process may have grown after the call.
const MAX_GROWTH_BYTES: usize = BODY_BYTES / 4;

enum Command {
    Start(Call),
    Stop,
}

fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() << 10
}

fn run(events: Sender<CallEvent>, ready: Sender<eventloop::Sender<Command>>) {
    let keep_alive = KeepAlive {
        idle_timeout: IDLE_TIMEOUT,
        close_margin: Duration::ZERO,
        dead_peer_timeout: TIMEOUT,
        late_reader_timeout: TIMEOUT,
    };
    let mut event_loop = Loop::new().unwrap();
    let stakker = event_loop.stakker();
    let forwarded = Fwd::new(move |event| drop(events.send(event)));
    let client: ActorOwn<Client> =
        actor!(stakker, Client::init(keep_alive, forwarded, Fwd::new(|_| {})), ret_nop!());
    let deferrer = stakker.deferrer();
    let handle = Fwd::new(move |command| match command {
        Command::Start(call) => {
            let outbound = Outbound::try_from(call).unwrap();
            call!([client], call(outbound));
        }
        Command::Stop => deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped)),
    });
    ready.send(mailbox(stakker, handle)).unwrap();
    event_loop.run().unwrap();
}

/// Reads a request whose body is [`BODY_BYTES`] long, answers it and keeps the connection open.
fn serve_one(listener: &TcpListener, is_over: &std::sync::mpsc::Receiver<()>) {
    let (mut stream, _) = listener.accept().unwrap();
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    let mut block = vec![0; 64 << 10];
    for _ in 0..BODY_BYTES / block.len() {
        stream.read_exact(&mut block).unwrap();
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
    let _ = is_over.recv();
}

/// Guards against memory of a large request that its connection keeps, which nothing counts, until
/// the connection has been idle for long enough.
#[test]
fn an_idle_connection_keeps_no_buffer_of_its_last_request() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (over, is_over) = channel::<()>();
    let upstream = std::thread::spawn(move || serve_one(&listener, &is_over));
    let (event_sender, events) = channel();
    let (ready, ready_receiver) = channel();
    let client = std::thread::spawn(move || run(event_sender, ready));
    let commands = ready_receiver.recv().unwrap();

    let before = resident_bytes();
    let deadline = Instant::now() + TIMEOUT;
    commands.send(Command::Start(Call {
        attempt: Attempt(1),
        method: "POST".to_string(),
        address,
        path: "/".to_string(),
        headers: Vec::new(),
        body: vec![b'x'; BODY_BYTES],
        connect_deadline: deadline,
        deadline,
        reuse: ConnectionReuse::Allowed,
    }));
    let last = events.iter().map(|event| event.progress).find(|progress| {
        matches!(progress, Progress::End | Progress::Failed { .. } | Progress::NotSent { .. })
    });
    assert_eq!(last, Some(Progress::End));
    let growth = || resident_bytes().saturating_sub(before);
    while growth() > MAX_GROWTH_BYTES && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(growth() <= MAX_GROWTH_BYTES, "{} bytes after the call", growth());

    drop(over);
    commands.send(Command::Stop);
    client.join().unwrap();
    upstream.join().unwrap();
}
