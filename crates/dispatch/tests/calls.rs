//! Calls against upstreams that break off, stall or flood.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use dispatch::{Call, Client, Event, Field, Keeping, Outbound, Progress, Reuse, Unfit, Verdict};
use eventloop::{Loop, mailbox};
use names::Attempt;
use stakker::{ActorOwn, Fwd, StopCause, actor, call, ret_nop};
use test_case::test_case;

const PATIENCE: Duration = Duration::from_secs(10);

const KEEPING: Keeping = Keeping { idle: PATIENCE, margin: Duration::ZERO, silence: PATIENCE };

/// What a test has the client do.
enum Ask {
    Start(Call),
    Cancel(Attempt),
    Took(Attempt, usize),
    Discard(Attempt),
    Stop,
}

/// A client on an event loop of its own.
struct Calls {
    asks: eventloop::Sender<Ask>,
    thread: Option<JoinHandle<()>>,
}

impl Calls {
    fn start(&self, call: Call) {
        self.asks.send(Ask::Start(call));
    }

    fn discard(&self, attempt: u64) {
        self.asks.send(Ask::Discard(Attempt(attempt)));
    }

    fn cancel(&self, attempt: u64) {
        self.asks.send(Ask::Cancel(Attempt(attempt)));
    }
}

impl Drop for Calls {
    fn drop(&mut self) {
        self.asks.send(Ask::Stop);
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

fn run(events: Sender<Event>, ready: Sender<eventloop::Sender<Ask>>) {
    let mut event_loop = Loop::new().unwrap();
    let stakker = event_loop.stakker();
    let told = Fwd::new(move |event| drop(events.send(event)));
    let client: ActorOwn<Client> =
        actor!(stakker, Client::init(KEEPING, told, Fwd::new(|_| {})), ret_nop!());
    let deferrer = stakker.deferrer();
    let take = Fwd::new(move |ask| match ask {
        Ask::Start(call) => {
            let outbound = Outbound::try_from(call).unwrap();
            call!([client], call(outbound));
        }
        Ask::Cancel(attempt) => call!([client], cancel(attempt)),
        Ask::Took(attempt, bytes) => call!([client], took(attempt, bytes)),
        Ask::Discard(attempt) => call!([client], discard(attempt)),
        Ask::Stop => deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped)),
    });
    ready.send(mailbox(stakker, take)).unwrap();
    event_loop.run().unwrap();
    assert!(event_loop.stakker().shutdown_reason().is_some());
}

fn calls() -> (Calls, Receiver<Event>) {
    let (sender, events) = channel();
    let (ready, is_ready) = channel();
    let thread = std::thread::spawn(move || run(sender, ready));
    let asks = is_ready.recv().unwrap();
    (Calls { asks, thread: Some(thread) }, events)
}

fn call(attempt: u64, address: SocketAddr, reuse: Reuse) -> Call {
    Call {
        attempt: Attempt(attempt),
        method: "POST".to_string(),
        address,
        path: "/".to_string(),
        headers: vec![Field { name: "x-attempt-id".to_string(), value: attempt.to_string() }],
        body: b"{}".to_vec(),
        connect_by: Instant::now() + PATIENCE,
        deadline: Instant::now() + PATIENCE,
        reuse,
    }
}

/// Reads a request's head and body of two bytes.
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

/// An upstream that serves one connection.
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

fn last(events: &Receiver<Event>) -> Progress {
    let is_last = |progress: &Progress| matches!(progress, Progress::End | Progress::Failed { .. });
    std::iter::repeat_with(|| events.recv_timeout(PATIENCE).unwrap().progress)
        .find(is_last)
        .unwrap()
}

#[test_case("content-length: 20\r\n\r\nten bytes."; "short of its length")]
#[test_case("transfer-encoding: chunked\r\n\r\na\r\nten bytes.\r\n"; "chunked without an end")]
#[test_case("transfer-encoding: chunked\r\n\r\n14\r\nten bytes."; "within a chunk")]
#[test_case("content-le"; "within the head")]
fn a_truncated_answer_is_a_failure(rest: &'static str) {
    let (address, _upstream) = upstream(move |mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\n{rest}").unwrap();
    });
    let (calls, events) = calls();
    calls.start(call(1, address, Reuse::Never));
    let Progress::Failed { verdict, .. } = last(&events) else {
        panic!("the truncated answer passed as whole");
    };
    assert_eq!(verdict, Verdict::MayHaveRun);
}

#[test]
fn a_refused_connection_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let (calls, events) = calls();
    calls.start(call(1, address, Reuse::Never));
    let Progress::Failed { verdict, .. } = last(&events) else {
        panic!("a refused connection is no failure");
    };
    assert_eq!(verdict, Verdict::NotRun);
}

#[test]
fn a_connection_that_closes_after_the_request_may_have_run() {
    let (address, _upstream) = upstream(drop);
    let (calls, events) = calls();
    calls.start(call(1, address, Reuse::Never));
    let Progress::Failed { verdict, .. } = last(&events) else {
        panic!("a closed connection is no failure");
    };
    assert_eq!(verdict, Verdict::MayHaveRun);
}

#[test]
fn cancelling_closes_the_connection_of_an_upstream_that_is_silent() {
    let (taken, is_taken) = channel();
    let (address, upstream) = upstream(move |mut stream| {
        taken.send(()).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.read(&mut [0; 1])
    });
    let (calls, events) = calls();
    calls.start(call(1, address, Reuse::Allowed));
    is_taken.recv_timeout(PATIENCE).unwrap();
    calls.cancel(1);
    let read = upstream.join().unwrap();
    let is_closed = match read {
        Ok(length) => length == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    };
    assert!(is_closed, "the connection stayed open");
    assert!(events.try_recv().is_err());
}

#[test]
fn a_client_makes_further_calls_after_a_cancelled_one() {
    let (calls, events) = calls();
    let (silent, _silent) = upstream(|mut stream| stream.read(&mut [0; 1]).map(|_| ()));
    calls.start(call(1, silent, Reuse::Allowed));
    calls.cancel(1);
    let (address, _upstream) = upstream(|mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
    });
    calls.start(call(2, address, Reuse::Allowed));
    assert_eq!(last(&events), Progress::End);
}

#[test]
fn an_owner_that_takes_nothing_stops_the_upstream() {
    const FLOOD: usize = 64 << 20;
    let (address, upstream) = upstream(|mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {FLOOD}\r\n\r\n").unwrap();
        stream.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
        let block = [b'x'; 64 << 10];
        (0..FLOOD / block.len()).take_while(|_| stream.write_all(&block).is_ok()).count()
    });
    let (calls, events) = calls();
    calls.start(call(1, address, Reuse::Never));
    let blocks = upstream.join().unwrap();
    assert!(blocks < FLOOD / (64 << 10), "the upstream wrote everything");
    let waiting: usize = events.try_iter().map(|event| part_length(&event)).sum();
    println!("{waiting} bytes wait for the owner");
    assert!(waiting <= 128 << 10, "{waiting} bytes wait for the owner");
    calls.cancel(1);
}

fn part_length(event: &Event) -> usize {
    match &event.progress {
        Progress::Part(part) => part.len(),
        _ => 0,
    }
}

#[test]
fn an_owner_that_takes_all_gets_a_long_answer_whole() {
    const LENGTH: usize = 8 << 20;
    let (address, _upstream) = upstream(|mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {LENGTH}\r\n\r\n").unwrap();
        stream.write_all(&vec![b'x'; LENGTH]).unwrap();
    });
    let (calls, events) = calls();
    calls.start(call(1, address, Reuse::Never));
    let mut taken = 0;
    loop {
        let event = events.recv_timeout(PATIENCE).unwrap();
        calls.asks.send(Ask::Took(event.attempt, part_length(&event)));
        taken += part_length(&event);
        match event.progress {
            Progress::End => break,
            Progress::Failed { reason, .. } => panic!("{reason}"),
            Progress::Head { .. } | Progress::Part(_) => {}
        }
    }
    assert_eq!(taken, LENGTH);
}

#[test]
fn an_answer_that_is_not_whole_by_the_deadline_may_have_run() {
    let (address, _upstream) = upstream(|mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n").unwrap();
        stream.read(&mut [0; 1]).map(|_| ())
    });
    let (calls, events) = calls();
    let deadline = Instant::now() + Duration::from_millis(300);
    calls.start(Call { deadline, ..call(1, address, Reuse::Never) });
    let Progress::Failed { verdict, .. } = last(&events) else {
        panic!("the answer passed as whole");
    };
    assert_eq!(verdict, Verdict::MayHaveRun);
    assert!(Instant::now() >= deadline);
}

#[test]
fn a_call_after_its_deadline_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (calls, events) = calls();
    let late = call(1, listener.local_addr().unwrap(), Reuse::Never);
    calls.start(Call { deadline: Instant::now(), ..late });
    let Progress::Failed { verdict, .. } = last(&events) else {
        panic!("the call was made");
    };
    assert_eq!(verdict, Verdict::NotRun);
}

#[test]
fn a_call_that_asks_for_it_gets_a_connection_of_its_own() {
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
        // The third call, which may, comes on one of the two.
        read_request(&streams[1]);
        write!(streams[1], "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
    });
    let (calls, events) = calls();
    for (attempt, reuse) in [(1, Reuse::Allowed), (2, Reuse::Never), (3, Reuse::Allowed)] {
        calls.start(call(attempt, address, reuse));
        assert_eq!(last(&events), Progress::End, "call {attempt}");
    }
    upstream.join().unwrap();
}

#[test_case("x-note", "a\r\nx-other: b", "header `x-note` does not fit a line"; "value of two lines")]
#[test_case("x-note: a", "b", "header `x-note: a` does not fit a line"; "name with a colon")]
fn a_header_that_would_end_its_line_is_refused(name: &str, value: &str, problem: &str) {
    let mut unfit = call(1, "127.0.0.1:1".parse().unwrap(), Reuse::Never);
    unfit.headers.push(Field { name: name.to_string(), value: value.to_string() });
    assert_eq!(Outbound::try_from(unfit).unwrap_err().to_string(), problem);
}

#[test]
fn a_path_that_would_end_the_request_line_is_refused() {
    let address = "127.0.0.1:1".parse().unwrap();
    let path = "/ HTTP/1.1\r\nx-other: b".to_string();
    let unfit = Call { path, ..call(1, address, Reuse::Never) };
    assert!(matches!(Outbound::try_from(unfit), Err(Unfit::Line { .. })));
}

/// How long bytes that nobody wants may come in before their connection is closed.
const DISCARD_PATIENCE: Duration = Duration::from_secs(3);

/// Writes `part` each `pause` until the other side closes; gives how long that took.
fn write_on(mut stream: TcpStream, part: &[u8], pause: Duration) -> Duration {
    stream.set_write_timeout(Some(PATIENCE)).unwrap();
    let begin = Instant::now();
    while begin.elapsed() < PATIENCE && stream.write_all(part).is_ok() {
        std::thread::sleep(pause);
    }
    begin.elapsed()
}

#[test_case(&[b'x'; 65536], 0; "as fast as it is read")]
#[test_case(b"x", 20; "a byte now and then")]
fn an_answer_that_nobody_wants_and_that_never_ends_is_given_up(part: &'static [u8], pause: u64) {
    let (address, upstream) = upstream(move |mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n.").unwrap();
        write_on(stream, part, Duration::from_millis(pause))
    });
    let (calls, events) = calls();
    calls.start(call(1, address, Reuse::Allowed));
    assert!(matches!(events.recv_timeout(PATIENCE).unwrap().progress, Progress::Head { .. }));
    calls.discard(1);
    let lasted = upstream.join().unwrap();
    assert!(lasted < DISCARD_PATIENCE, "{lasted:?}");
    let told = events.try_iter().map(|event| event.progress).collect::<Vec<_>>();
    let is_part = |progress: &Progress| matches!(progress, Progress::Part(_));
    assert!(told.iter().all(is_part), "nobody hears how it ended: {told:?}");
}

#[test]
fn the_connection_of_a_short_answer_that_nobody_wants_serves_the_next_request() {
    let (address, upstream) = upstream(|mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nun").unwrap();
        std::thread::sleep(Duration::from_millis(200));
        write!(stream, "wanted").unwrap();
        let is_next = read_request(&stream);
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nwanted").unwrap();
        is_next
    });
    let (calls, events) = calls();
    calls.start(call(1, address, Reuse::Allowed));
    assert!(matches!(events.recv_timeout(PATIENCE).unwrap().progress, Progress::Head { .. }));
    calls.discard(1);
    std::thread::sleep(Duration::from_millis(500));
    calls.start(call(2, address, Reuse::Allowed));
    let mut body = Vec::new();
    loop {
        let Event { attempt, progress } = events.recv_timeout(PATIENCE).unwrap();
        match progress {
            Progress::Part(part) if attempt == Attempt(2) => body.extend(part),
            Progress::End => break,
            Progress::Failed { reason, .. } => panic!("{reason}"),
            _ => {}
        }
    }
    assert_eq!(String::from_utf8_lossy(&body), "wanted");
    assert!(upstream.join().unwrap(), "the next request came on the same connection");
}
