//! End-to-end tests of upstreams that end when the requests which they hold exceed their memory.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::time::Duration;

use support::machines::{KEY, Machines, document};
use support::script::{End, Script};
use support::wait_for;
use support::worker::{HttpResponse, Worker, read_response};
use test_case::test_case;

/// Bytes of request bodies that an upstream can hold.
const MEMORY_BYTES: usize = 150_000;

/// Value of `direct.upstream_bytes`, which leaves room for the heads.
const UPSTREAM_BYTES: &str = "120KiB";

const BODY_BYTES: usize = 40_000;

/// Callers that send requests at the same time: more than the upstreams can hold.
const CALLERS: usize = 12;

const REQUESTS_PER_CALLER: usize = 4;

/// Time for which an upstream holds a request.
const WORK: Duration = Duration::from_millis(100);

/// Largest number of times that a caller sends a request.
const MAX_REFUSALS: usize = 200;

/// Interval at which a slow caller reads a byte.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Path of a request whose caller reads the answer slowly.
const SLOW_PATH: &str = "/albums/slow";

/// Size of the answer to it: less than `limits.unread`.
const SLOW_ANSWER_BYTES: usize = 200_000;

/// Makes an upstream end as soon as it holds more than [`MEMORY_BYTES`].
fn limit_memory(worker: &Worker) {
    let held = AtomicUsize::new(0);
    worker.set_script(move |request| {
        let bytes = request.body.len();
        let is_over = held.fetch_add(bytes, Ordering::Relaxed) + bytes > MEMORY_BYTES;
        let head = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: s\r\nconnection: close\r\n";
        if is_over {
            return Some(Script::new(head, End::Crash));
        }
        if request.path == SLOW_PATH {
            held.fetch_sub(bytes, Ordering::Relaxed);
            let body = "x".repeat(SLOW_ANSWER_BYTES);
            let length = body.len();
            return Some(Script::new(
                format!("{head}content-length: {length}\r\n\r\n{body}"),
                End::Close,
            ));
        }
        std::thread::sleep(WORK);
        held.fetch_sub(bytes, Ordering::Relaxed);
        Some(Script::new(format!("{head}content-length: 2\r\n\r\nok"), End::Close))
    });
}

struct Deployment {
    machines: Machines,
    workers: Vec<Worker>,
}

impl Deployment {
    /// Starts an instance that has at most `upstream_bytes` in flight to each of `count` upstreams of
    /// `service`.
    fn start(service: &str, count: usize, upstream_bytes: &'static str) -> Self {
        let machines = Machines::start_with_setup(1, 1, |machine| {
            machine.upstream_bytes = Some(upstream_bytes);
        });
        let start = |number| Worker::start(&format!("i-{number}"), service, machines.seeds());
        let workers: Vec<Worker> = (1..=count).map(start).collect();
        machines.put_document_until_acknowledged(&document(7));
        machines.wait_ready(7);
        wait_for("arrival of the upstreams at the entry instance", || {
            (machines.entries[0].events("upstream").len() >= count).then_some(())
        });
        workers.iter().for_each(limit_memory);
        Self { machines, workers }
    }

    fn callers(&self) -> SocketAddr {
        self.machines.entries[0].callers()
    }

    fn check_no_upstream_ended(&self) {
        for worker in &self.workers {
            assert!(worker.crashed_at().is_none(), "{} ended", worker.name());
        }
    }

    fn metric(&self, name: &str) -> u64 {
        let metrics = support::get(self.machines.entries[0].metrics(), "/metrics").unwrap();
        let line = metrics.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
        line.unwrap().parse().unwrap()
    }
}

/// Sends a request of [`BODY_BYTES`] and leaves the answer to the caller.
fn send(address: SocketAddr, path: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: api.example\r\nRequest-Id: {id}\r\n\
         Authorization: Token {KEY}\r\nPrompt-Prefix: aa:100,bb:200,cc:10\r\n\
         Token-Counts: 310,40\r\nDeadline-Remaining: 6000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'x'; BODY_BYTES]).unwrap();
    stream
}

/// Sends a request, and again as long as it is refused with the promise that it has not run.
fn call_until_served(address: SocketAddr, path: &str, id: &str) -> HttpResponse {
    let mut number = 0;
    loop {
        number += 1;
        let stream = send(address, path, &format!("{id}-{number}"));
        let answer = read_response(&mut BufReader::new(stream)).unwrap();
        if answer.status != 503 || number == MAX_REFUSALS {
            return answer;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends the requests of all callers, and checks that all of them are served.
fn serve_crowd(callers: SocketAddr, path: &str) {
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            scope.spawn(move || {
                for number in 0..REQUESTS_PER_CALLER {
                    let id = format!("c{caller}-{number}");
                    let answer = call_until_served(callers, path, &id);
                    assert_eq!((answer.status, answer.is_complete), (200, true), "{answer:?}");
                }
            });
        }
    });
}

/// Guards against an upstream that ends because an instance sends it more requests than it can hold.
#[test_case("shop", "/albums/1"; "requests that may repeat")]
#[test_case("shop", "/bookings/1"; "requests that must not repeat")]
#[test_case("engines", "/reports/1"; "streams")]
fn a_crowd_of_long_requests_ends_no_upstream(service: &str, path: &str) {
    let deployment = Deployment::start(service, 2, UPSTREAM_BYTES);
    serve_crowd(deployment.callers(), path);
    deployment.check_no_upstream_ended();
    assert!(deployment.metric("turmericrelay_bytes_limited_total") > 0);
    assert!(!deployment.machines.entries[0].events("bytes-limited").is_empty());
    wait_for("end of all requests", || {
        (deployment.metric("turmericrelay_upstream_request_bytes") == 0).then_some(())
    });
}

/// Guards against a request that is never sent because it is above the limit by itself.
#[test]
fn a_request_above_the_limit_is_served_by_an_idle_upstream() {
    let deployment = Deployment::start("shop", 1, "1KiB");
    for number in 0..3 {
        let answer = call_until_served(deployment.callers(), "/albums/1", &format!("r-{number}"));
        assert_eq!((answer.status, answer.is_complete), (200, true), "{answer:?}");
    }
}

/// Guards against a caller that reads a byte a second and thereby ends the upstream or the answers of
/// others there.
#[test]
fn a_slow_reader_ends_neither_the_upstream_nor_other_answers() {
    let deployment = Deployment::start("shop", 1, UPSTREAM_BYTES);
    let callers = deployment.callers();
    let mut slow = BufReader::with_capacity(1, send(callers, SLOW_PATH, "slow"));
    let mut byte = [0];
    slow.read_exact(&mut byte).unwrap();
    let mut read = byte.to_vec();
    let (is_done, ended) = channel::<()>();
    let reader = std::thread::spawn(move || {
        // The end of the channel also ends the thread if the test fails.
        while ended.recv_timeout(READ_INTERVAL) == Err(RecvTimeoutError::Timeout) {
            slow.read_exact(&mut byte).unwrap();
            read.push(byte[0]);
        }
        read_response(&mut BufReader::new(read.as_slice().chain(slow))).unwrap()
    });
    serve_crowd(callers, "/albums/1");
    drop(is_done);
    let answer = reader.join().unwrap();
    deployment.check_no_upstream_ended();
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body.len(), SLOW_ANSWER_BYTES);
}
