//! Tests of callers that begin to read their answers only near the end of the grace of a stopping
//! entry instance.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};
use support::machines::{KEY, Machines, document};
use support::script::{End, Script};
use support::wait_for;
use support::worker::{Worker, read_response};

/// Time between SIGTERM and SIGKILL, long enough that the last tenth of it shows on a loaded machine.
const GRACE: Duration = Duration::from_secs(20);

/// Time between SIGTERM and SIGKILL in the other tests.
const SHORT_GRACE: Duration = Duration::from_secs(8);

/// Time after SIGTERM at which the callers begin to read: the requests have ended half a second
/// before, after 0.9 of the grace.
const READ_AFTER: Duration = Duration::from_millis(18_500);

/// Size of the receive buffer of a caller, so that most of its answer waits at the instance.
const RECEIVE_BUFFER: usize = 4096;

/// Segment size of a caller's connection. With that of loopback connections, the operating system of
/// the instance would buffer more than 2 MB.
const SEGMENT_BYTES: u32 = 536;

/// Sizes of the answers. All are below `limits.unread`, so that an instance holds the whole answer.
const SIZES: std::ops::Range<usize> = 100_000..250_000;

const SIZE_STEP: usize = 10_000;

/// Time between two calls, so that the upstream has room for each.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

fn open(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    socket.set_tcp_mss(SEGMENT_BYTES).unwrap();
    socket.connect(&address.into()).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream
}

fn request(size: usize) -> String {
    format!(
        "POST /albums/1 HTTP/1.1\r\nHost: api.example\r\nRequest-Id: size-{size}\r\n\
         Authorization: Token {KEY}\r\nContent-Length: 8\r\n\r\nthe body"
    )
}

/// Requests an answer of each size and reads none of them before `read_at`. Returns the sizes, each
/// with whether the answer arrived whole.
fn read_late(address: SocketAddr, read_at: Instant) -> Vec<JoinHandle<(usize, bool)>> {
    let call = |(index, size): (usize, usize)| {
        std::thread::spawn(move || {
            std::thread::sleep(CALL_INTERVAL * index as u32);
            let mut stream = open(address);
            stream.write_all(request(size).as_bytes()).unwrap();
            std::thread::sleep(read_at.saturating_duration_since(Instant::now()));
            let mut received = Vec::new();
            let ended = stream.read_to_end(&mut received);
            let answer = read_response(&mut BufReader::new(received.as_slice()));
            let is_whole = answer.is_ok_and(|answer| answer.status == 200 && answer.is_complete);
            if !is_whole {
                println!("{size}: {} bytes, then {ended:?}", received.len());
            }
            (size, is_whole)
        })
    };
    SIZES.step_by(SIZE_STEP).enumerate().map(call).collect()
}

/// Guards against a process that ends while output waits for a caller that still has time to read.
#[test]
fn the_tail_of_a_large_answer_is_sent_until_the_grace_ends() {
    let mut machines = Machines::start_with_setup(1, 1, |machine| {
        machine.drain_seconds = GRACE.as_secs();
    });
    let shop = Worker::start("i-shop", "shop", machines.seeds());
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_ready(7);
    shop.set_script(|request| {
        let size: usize = request.id.strip_prefix("size-")?.parse().ok()?;
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-shop\r\n\
             content-length: {size}\r\nconnection: close\r\n\r\n"
        );
        Some(Script::new(format!("{head}{}", "x".repeat(size)), End::Close))
    });
    let signalled = Instant::now() + Duration::from_secs(2);
    let calls = read_late(machines.entries[0].callers(), signalled + READ_AFTER);
    std::thread::sleep(signalled.saturating_duration_since(Instant::now()));
    machines.entries[0].process().signal("TERM");
    let ended = calls.into_iter().map(|call| call.join().unwrap());
    let lost: Vec<usize> = ended.filter(|(_, is_whole)| !is_whole).map(|(size, _)| size).collect();
    assert!(lost.is_empty(), "answers of these sizes lost their tails: {lost:?}");
}

/// Guards against a process that waits for a caller until it is killed.
#[test]
fn a_caller_that_reads_nothing_does_not_keep_the_process_beyond_the_grace() {
    let mut machines = Machines::start(1, 1);
    let shop = Worker::start("i-shop", "shop", machines.seeds());
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_ready(7);
    shop.set_script(|_| {
        let body = "x".repeat(SIZES.end);
        let head = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-shop\r\n";
        Some(Script::new(
            format!("{head}content-length: {}\r\nconnection: close\r\n\r\n{body}", SIZES.end),
            End::Close,
        ))
    });
    let mut caller = open(machines.entries[0].callers());
    caller.write_all(request(SIZES.end).as_bytes()).unwrap();
    std::thread::sleep(Duration::from_secs(1));
    machines.entries[0].process().signal("TERM");
    let signalled = Instant::now();
    wait_for("the end of the process", || machines.entries[0].process().has_ended().then_some(()));
    let elapsed = signalled.elapsed();
    assert!(elapsed < SHORT_GRACE, "ended after {elapsed:?}");
}
