//! Calls to upstreams that disconnect, stall or send too much data.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use dispatch::{
    Call, CallEvent, Client, ConnectionReuse, Field, InvalidCall, KeepAlive, Outbound, Progress,
    Verdict,
};
use eventloop::{Loop, mailbox};
use names::Attempt;
use stakker::{ActorOwn, Fwd, StopCause, actor, call, ret_nop};
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(10);

const KEEP_ALIVE: KeepAlive = KeepAlive {
    idle_timeout: TIMEOUT,
    close_margin: Duration::ZERO,
    dead_peer_timeout: TIMEOUT,
    late_reader_timeout: TIMEOUT,
};

/// Command of a test to the client.
enum Command {
    Start(Call),
    Cancel(Attempt),
    Consumed(Attempt, usize),
    Discard(Attempt),
    Stop,
}

/// Client on a separate event loop thread.
struct ClientThread {
    commands: eventloop::Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl ClientThread {
    fn start(&self, call: Call) {
        self.commands.send(Command::Start(call));
    }

    fn discard(&self, attempt: u64) {
        self.commands.send(Command::Discard(Attempt(attempt)));
    }

    fn cancel(&self, attempt: u64) {
        self.commands.send(Command::Cancel(Attempt(attempt)));
    }
}

impl Drop for ClientThread {
    fn drop(&mut self) {
        self.commands.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

fn run(events: Sender<CallEvent>, ready: Sender<eventloop::Sender<Command>>) {
    let mut event_loop = Loop::new().unwrap();
    let stakker = event_loop.stakker();
    let forwarded = Fwd::new(move |event| drop(events.send(event)));
    let client: ActorOwn<Client> =
        actor!(stakker, Client::init(KEEP_ALIVE, forwarded, Fwd::new(|_| {})), ret_nop!());
    let deferrer = stakker.deferrer();
    let handle = Fwd::new(move |command| match command {
        Command::Start(call) => {
            let outbound = Outbound::try_from(call).unwrap();
            call!([client], call(outbound));
        }
        Command::Cancel(attempt) => call!([client], cancel(attempt)),
        Command::Consumed(attempt, bytes) => call!([client], record_consumed(attempt, bytes)),
        Command::Discard(attempt) => call!([client], discard(attempt)),
        Command::Stop => deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped)),
    });
    ready.send(mailbox(stakker, handle)).unwrap();
    event_loop.run().unwrap();
    assert!(event_loop.stakker().shutdown_reason().is_some());
}

fn start_client() -> (ClientThread, Receiver<CallEvent>) {
    let (event_sender, events) = channel();
    let (ready, ready_receiver) = channel();
    let thread = std::thread::spawn(move || run(event_sender, ready));
    let commands = ready_receiver.recv().unwrap();
    (ClientThread { commands, thread: Some(thread) }, events)
}

fn call(attempt: u64, address: SocketAddr, reuse: ConnectionReuse) -> Call {
    Call {
        attempt: Attempt(attempt),
        method: "POST".to_string(),
        address,
        path: "/".to_string(),
        headers: vec![Field { name: "x-attempt-id".to_string(), value: attempt.to_string() }],
        body: b"{}".to_vec(),
        connect_deadline: Instant::now() + TIMEOUT,
        deadline: Instant::now() + TIMEOUT,
        reuse,
    }
}

/// Reads the head of a request and a body of two bytes.
fn read_request(stream: &TcpStream) -> bool {
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) | Err(_) => return false,
            Ok(_) if line == "\r\n" => break,
            Ok(_) => {}
        }
    }
    reader.read_exact(&mut [0; 2]).is_ok()
}

/// Starts an upstream that serves one connection.
fn upstream<F, T>(serve: F) -> (SocketAddr, JoinHandle<T>)
where
    F: FnOnce(TcpStream) -> T + Send + 'static,
    T: Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let thread = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        read_request(&stream);
        serve(stream)
    });
    (address, thread)
}

fn last_progress(events: &Receiver<CallEvent>) -> Progress {
    let is_last = |progress: &Progress| {
        matches!(progress, Progress::End | Progress::Closed | Progress::Failed { .. })
    };
    std::iter::repeat_with(|| events.recv_timeout(TIMEOUT).unwrap().progress).find(is_last).unwrap()
}

#[test_case("content-length: 20\r\n\r\nten bytes."; "body shorter than its length")]
#[test_case("transfer-encoding: chunked\r\n\r\na\r\nten bytes.\r\n"; "chunked without last chunk")]
#[test_case("transfer-encoding: chunked\r\n\r\n14\r\nten bytes."; "inside a chunk")]
#[test_case("content-le"; "inside the head")]
fn a_truncated_response_is_a_failure(rest: &'static str) {
    let (address, _upstream) = upstream(move |mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\n{rest}").unwrap();
    });
    let (client, events) = start_client();
    client.start(call(1, address, ConnectionReuse::Never));
    let Progress::Failed { verdict, .. } = last_progress(&events) else {
        panic!("the truncated response was accepted as complete");
    };
    assert_eq!(verdict, Verdict::MayHaveRun);
}

#[test_case(0; "at once")]
#[test_case(100; "later")]
fn a_response_without_length_that_is_reset_while_the_request_is_sent_is_a_failure(pause: u64) {
    for _ in 0..20 {
        // The unread rest of the request resets the connection when the upstream closes it.
        let (address, _upstream) = upstream(move |mut stream| {
            write!(stream, "HTTP/1.1 200 OK\r\n\r\nten bytes.").unwrap();
            std::thread::sleep(Duration::from_millis(pause));
        });
        let (client, events) = start_client();
        let body = vec![b'x'; 16 << 20];
        client.start(Call { body, ..call(1, address, ConnectionReuse::Never) });
        let Progress::Failed { verdict, .. } = last_progress(&events) else {
            panic!("the response was accepted as complete although it was reset");
        };
        assert_eq!(verdict, Verdict::MayHaveRun);
    }
}

/// Guards against a part of a response that is taken for a whole one, since its upstream closes its
/// side properly before the unread rest of the request resets the connection.
#[test_case(0; "at once")]
#[test_case(100; "later")]
fn a_response_without_length_that_is_closed_and_then_reset_while_the_request_is_sent_is_a_failure(
    pause: u64,
) {
    for _ in 0..20 {
        let (address, _upstream) = upstream(move |mut stream| {
            write!(stream, "HTTP/1.1 200 OK\r\n\r\nten bytes.").unwrap();
            stream.shutdown(std::net::Shutdown::Write).unwrap();
            std::thread::sleep(Duration::from_millis(pause));
        });
        let (client, events) = start_client();
        let body = vec![b'x'; 16 << 20];
        client.start(Call { body, ..call(1, address, ConnectionReuse::Never) });
        let Progress::Failed { verdict, .. } = last_progress(&events) else {
            panic!("the response was accepted as complete although its connection failed");
        };
        assert_eq!(verdict, Verdict::MayHaveRun);
    }
}

/// Guards against a whole response that counts as failed because its upstream reads the request only
/// after it has closed its side of the connection.
#[test_case(0; "at once")]
#[test_case(100; "later")]
fn a_response_that_ends_before_the_rest_of_the_request_is_read_has_not_failed(pause: u64) {
    for _ in 0..20 {
        let (address, upstream) = upstream(move |mut stream| {
            write!(stream, "HTTP/1.1 200 OK\r\n\r\nten bytes.").unwrap();
            stream.shutdown(std::net::Shutdown::Write).unwrap();
            std::thread::sleep(Duration::from_millis(pause));
            std::io::copy(&mut stream, &mut std::io::sink()).unwrap()
        });
        let (client, events) = start_client();
        let body = vec![b'x'; 16 << 20];
        client.start(Call { body, ..call(1, address, ConnectionReuse::Never) });
        assert_eq!(last_progress(&events), Progress::Closed);
        assert!(upstream.join().unwrap() > 15 << 20, "the request was not sent to its end");
    }
}

#[test]
fn a_refused_connection_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let (client, events) = start_client();
    client.start(call(1, address, ConnectionReuse::Never));
    let Progress::Failed { verdict, .. } = last_progress(&events) else {
        panic!("a refused connection was not reported as a failure");
    };
    assert_eq!(verdict, Verdict::NotRun);
}

#[test]
fn a_connection_that_closes_after_the_request_may_have_run() {
    let (address, _upstream) = upstream(drop);
    let (client, events) = start_client();
    client.start(call(1, address, ConnectionReuse::Never));
    let Progress::Failed { verdict, .. } = last_progress(&events) else {
        panic!("a closed connection was not reported as a failure");
    };
    assert_eq!(verdict, Verdict::MayHaveRun);
}

#[test]
fn cancelling_closes_the_connection_of_a_silent_upstream() {
    let (request_sender, request_receiver) = channel();
    let (address, upstream) = upstream(move |mut stream| {
        request_sender.send(()).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.read(&mut [0; 1])
    });
    let (client, events) = start_client();
    client.start(call(1, address, ConnectionReuse::Allowed));
    request_receiver.recv_timeout(TIMEOUT).unwrap();
    client.cancel(1);
    let read = upstream.join().unwrap();
    let is_closed = match read {
        Ok(length) => length == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    };
    assert!(is_closed, "the connection stayed open");
    assert!(events.try_recv().is_err());
}

#[test]
fn a_cancelled_call_does_not_block_later_calls() {
    let (client, events) = start_client();
    let (silent, _silent) = upstream(|mut stream| stream.read(&mut [0; 1]).map(|_| ()));
    client.start(call(1, silent, ConnectionReuse::Allowed));
    client.cancel(1);
    let (address, _upstream) = upstream(|mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
    });
    client.start(call(2, address, ConnectionReuse::Allowed));
    assert_eq!(last_progress(&events), Progress::End);
}

#[test]
fn a_consumer_that_reads_nothing_applies_backpressure_to_the_upstream() {
    const RESPONSE_BYTES: usize = 64 << 20;
    let (address, upstream) = upstream(|mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {RESPONSE_BYTES}\r\n\r\n").unwrap();
        stream.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
        let block = [b'x'; 64 << 10];
        (0..RESPONSE_BYTES / block.len()).take_while(|_| stream.write_all(&block).is_ok()).count()
    });
    let (client, events) = start_client();
    client.start(call(1, address, ConnectionReuse::Never));
    let blocks = upstream.join().unwrap();
    assert!(blocks < RESPONSE_BYTES / (64 << 10), "the upstream could write the complete response");
    let unconsumed: usize = events.try_iter().map(|event| part_length(&event)).sum();
    println!("{unconsumed} bytes are unconsumed");
    assert!(unconsumed <= 128 << 10, "{unconsumed} bytes are unconsumed");
    client.cancel(1);
}

fn part_length(event: &CallEvent) -> usize {
    match &event.progress {
        Progress::Body(part) => part.len(),
        _ => 0,
    }
}

#[test]
fn a_consumer_that_keeps_up_receives_a_long_response_completely() {
    const LENGTH: usize = 8 << 20;
    let (address, _upstream) = upstream(|mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {LENGTH}\r\n\r\n").unwrap();
        stream.write_all(&vec![b'x'; LENGTH]).unwrap();
    });
    let (client, events) = start_client();
    client.start(call(1, address, ConnectionReuse::Never));
    let mut consumed = 0;
    loop {
        let event = events.recv_timeout(TIMEOUT).unwrap();
        client.commands.send(Command::Consumed(event.attempt, part_length(&event)));
        consumed += part_length(&event);
        match event.progress {
            Progress::End => break,
            Progress::NotSent { reason } | Progress::Failed { reason, .. } => panic!("{reason}"),
            Progress::Closed => panic!("the connection was closed"),
            Progress::Head { .. } | Progress::Body(_) | Progress::Received => {}
        }
    }
    assert_eq!(consumed, LENGTH);
}

#[test]
fn a_request_with_an_incomplete_response_at_the_deadline_may_have_run() {
    let (address, _upstream) = upstream(|mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n").unwrap();
        stream.read(&mut [0; 1]).map(|_| ())
    });
    let (client, events) = start_client();
    let deadline = Instant::now() + Duration::from_millis(300);
    client.start(Call { deadline, ..call(1, address, ConnectionReuse::Never) });
    let Progress::Failed { verdict, .. } = last_progress(&events) else {
        panic!("the response was accepted as complete");
    };
    assert_eq!(verdict, Verdict::MayHaveRun);
    assert!(Instant::now() >= deadline);
}

#[test]
fn a_call_after_its_deadline_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (client, events) = start_client();
    let late = call(1, listener.local_addr().unwrap(), ConnectionReuse::Never);
    client.start(Call { deadline: Instant::now(), ..late });
    let Progress::Failed { verdict, .. } = last_progress(&events) else {
        panic!("the call was made after its deadline");
    };
    assert_eq!(verdict, Verdict::NotRun);
}

#[test]
fn a_call_without_reuse_opens_a_new_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = std::thread::spawn(move || {
        let streams = listener.incoming().take(2).map(|stream| {
            let mut stream = stream.unwrap();
            read_request(&stream);
            write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
            stream
        });
        let mut streams: Vec<TcpStream> = streams.collect();
        // The third call reuses one of the two connections.
        read_request(&streams[1]);
        write!(streams[1], "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
    });
    let (client, events) = start_client();
    for (attempt, reuse) in
        [(1, ConnectionReuse::Allowed), (2, ConnectionReuse::Never), (3, ConnectionReuse::Allowed)]
    {
        client.start(call(attempt, address, reuse));
        assert_eq!(last_progress(&events), Progress::End, "call {attempt}");
    }
    upstream.join().unwrap();
}

#[test_case("x-note", "a\r\nx-other: b",
    "header `x-note` has an invalid name or a control character in the value";
    "value with a line break")]
#[test_case("x-note: a", "b",
    "header `x-note: a` has an invalid name or a control character in the value";
    "name with a colon")]
fn a_header_that_would_break_its_line_is_rejected(name: &str, value: &str, problem: &str) {
    let mut invalid = call(1, "127.0.0.1:1".parse().unwrap(), ConnectionReuse::Never);
    invalid.headers.push(Field { name: name.to_string(), value: value.to_string() });
    assert_eq!(Outbound::try_from(invalid).unwrap_err().to_string(), problem);
}

#[test]
fn a_path_that_would_break_the_request_line_is_rejected() {
    let address = "127.0.0.1:1".parse().unwrap();
    let path = "/ HTTP/1.1\r\nx-other: b".to_string();
    let invalid = Call { path, ..call(1, address, ConnectionReuse::Never) };
    assert!(matches!(Outbound::try_from(invalid), Err(InvalidCall::RequestLine { .. })));
}

/// Longest time until the connection of a discarded response is closed.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(3);

/// Writes `part` after each `pause` until the peer closes the connection. Returns the elapsed time.
fn write_until_closed(mut stream: TcpStream, part: &[u8], pause: Duration) -> Duration {
    stream.set_write_timeout(Some(TIMEOUT)).unwrap();
    let start = Instant::now();
    while start.elapsed() < TIMEOUT && stream.write_all(part).is_ok() {
        std::thread::sleep(pause);
    }
    start.elapsed()
}

#[test_case(&[b'x'; 65536], 0; "without pause")]
#[test_case(b"x", 20; "one byte every 20 ms")]
fn an_endless_discarded_response_is_abandoned(part: &'static [u8], pause: u64) {
    let (address, upstream) = upstream(move |mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n.").unwrap();
        write_until_closed(stream, part, Duration::from_millis(pause))
    });
    let (client, events) = start_client();
    client.start(call(1, address, ConnectionReuse::Allowed));
    assert!(matches!(events.recv_timeout(TIMEOUT).unwrap().progress, Progress::Head { .. }));
    client.discard(1);
    let elapsed = upstream.join().unwrap();
    assert!(elapsed < MAX_DISCARD_TIME, "{elapsed:?}");
    let reported = events.try_iter().map(|event| event.progress).collect::<Vec<_>>();
    let is_part = |progress: &Progress| matches!(progress, Progress::Body(_));
    assert!(
        reported.iter().all(is_part),
        "the end of a discarded response was reported: {reported:?}"
    );
}

#[test]
fn the_connection_of_a_short_discarded_response_is_reused() {
    let (address, upstream) = upstream(|mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nun").unwrap();
        std::thread::sleep(Duration::from_millis(200));
        write!(stream, "wanted").unwrap();
        let is_next = read_request(&stream);
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nwanted").unwrap();
        is_next
    });
    let (client, events) = start_client();
    client.start(call(1, address, ConnectionReuse::Allowed));
    assert!(matches!(events.recv_timeout(TIMEOUT).unwrap().progress, Progress::Head { .. }));
    client.discard(1);
    std::thread::sleep(Duration::from_millis(500));
    client.start(call(2, address, ConnectionReuse::Allowed));
    let mut body = Vec::new();
    loop {
        let CallEvent { attempt, progress } = events.recv_timeout(TIMEOUT).unwrap();
        match progress {
            Progress::Body(part) if attempt == Attempt(2) => body.extend(part),
            Progress::End => break,
            Progress::NotSent { reason } | Progress::Failed { reason, .. } => panic!("{reason}"),
            _ => {}
        }
    }
    assert_eq!(String::from_utf8_lossy(&body), "wanted");
    assert!(upstream.join().unwrap(), "the next request did not arrive on the same connection");
}

/// Guards against a request behind the rest of another one that its upstream no longer reads.
#[test]
fn a_connection_with_an_unsent_rest_of_a_request_carries_no_other_request() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = std::thread::spawn(move || {
        let (mut first, _) = listener.accept().unwrap();
        read_request(&first);
        write!(first, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
        std::thread::sleep(Duration::from_millis(200));
        // Room for a part of the rest.
        first.read_exact(&mut vec![0; 8 << 20]).unwrap();
        let (mut second, _) = listener.accept().unwrap();
        read_request(&second);
        write!(second, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
        first
    });
    let (client, events) = start_client();
    let body = vec![b'x'; 64 << 20];
    client.start(Call { body, ..call(1, address, ConnectionReuse::Allowed) });
    assert_eq!(last_progress(&events), Progress::End);
    std::thread::sleep(Duration::from_millis(500));
    client.start(call(2, address, ConnectionReuse::Allowed));
    assert_eq!(last_progress(&events), Progress::End);
    drop(upstream.join().unwrap());
}
