//! Calls against upstreams that break off, stall or flood.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use dispatch::{Call, Event, Field, Pool, Progress, Reuse, Sink, Verdict};
use names::Attempt;
use test_case::test_case;

const PATIENCE: Duration = Duration::from_secs(10);

struct Channel(Mutex<Sender<Event>>);

impl Sink for Channel {
    fn deliver(&self, event: Event) {
        let _ = self.0.lock().unwrap().send(event);
    }
}

fn pool(calls: usize) -> (Pool, Receiver<Event>) {
    let (sender, receiver) = channel();
    (Pool::new(calls, Arc::new(Channel(Mutex::new(sender)))), receiver)
}

fn call(attempt: u64, address: SocketAddr, reuse: Reuse) -> Call {
    Call {
        attempt: Attempt(attempt),
        method: "POST".to_string(),
        url: format!("http://{address}/"),
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
    let (pool, events) = pool(1);
    pool.start(call(1, address, Reuse::Never)).unwrap();
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
    let (pool, events) = pool(1);
    pool.start(call(1, address, Reuse::Never)).unwrap();
    let Progress::Failed { verdict, .. } = last(&events) else {
        panic!("a refused connection is no failure");
    };
    assert_eq!(verdict, Verdict::NotRun);
}

#[test]
fn a_connection_that_closes_after_the_request_may_have_run() {
    let (address, _upstream) = upstream(drop);
    let (pool, events) = pool(1);
    pool.start(call(1, address, Reuse::Never)).unwrap();
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
    let (pool, events) = pool(1);
    let handle = pool.start(call(1, address, Reuse::Allowed)).unwrap();
    is_taken.recv_timeout(PATIENCE).unwrap();
    handle.cancel();
    let read = upstream.join().unwrap();
    let is_closed = match read {
        Ok(length) => length == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    };
    assert!(is_closed, "the connection stayed open");
    assert!(events.try_recv().is_err());
}

#[test]
fn a_cancelled_thread_makes_further_calls() {
    let (pool, events) = pool(1);
    let (silent, _silent) = upstream(|mut stream| stream.read(&mut [0; 1]).map(|_| ()));
    pool.start(call(1, silent, Reuse::Allowed)).unwrap().cancel();
    let (address, _upstream) = upstream(|mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
    });
    let started = Instant::now();
    while pool.start(call(2, address, Reuse::Allowed)).is_err() {
        assert!(started.elapsed() < PATIENCE, "the thread is still busy");
        std::thread::yield_now();
    }
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
    let (pool, events) = pool(1);
    let handle = pool.start(call(1, address, Reuse::Never)).unwrap();
    let blocks = upstream.join().unwrap();
    assert!(blocks < FLOOD / (64 << 10), "the upstream wrote everything");
    let waiting: usize = events.try_iter().map(|event| part_length(&event)).sum();
    println!("{waiting} bytes wait for the owner");
    assert!(waiting <= 128 << 10, "{waiting} bytes wait for the owner");
    handle.cancel();
}

fn part_length(event: &Event) -> usize {
    match &event.progress {
        Progress::Part(part) => part.len(),
        _ => 0,
    }
}
