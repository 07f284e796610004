//! Tests of streams and answers of an entry instance around its SIGTERM, on sockets of the operating
//! system without a proxy.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};
use support::machines::{KEY, Machines, document};
use support::script::{End, Script};
use support::wait_for;
use support::worker::{Behaviour, HttpResponse, Worker, complete_stream, read_response};

/// Time between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

/// Time after SIGTERM up to which a request may be sent that is cut at the end of the grace.
const CUT_ALLOWED_UNTIL: Duration = Duration::from_secs(3);

/// Requests are judged by this time, so that the clocks of the test and of the instance may differ in
/// the moment at which a request was sent.
const SENDING_TOLERANCE: Duration = Duration::from_millis(20);

/// Timeout of each read of a caller.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of upstreams, enough for all streams of a test.
const ENGINES: usize = 8;

/// Number of streams at each instance that stops.
const STREAMS: u32 = 24;

/// Number of streams at each instance that stops for which there is room if an upstream ends.
const FEW_STREAMS: u32 = 8;

/// Number of instances in a fleet that asks load trackers for the load of upstreams.
const LARGE_FLEET: u8 = 18;

/// Size of the receive buffer of a caller that reads slowly.
const SMALL_BUFFER: usize = 4096;

/// Size of an answer that does not fit the receive buffer of a caller that reads slowly.
const LONG_ANSWER_BYTES: usize = 180_000;

/// What a caller saw of one request.
#[derive(Debug)]
struct Outcome {
    id: String,
    sent_after: Duration,
    ended_after: Duration,
    answer: std::io::Result<HttpResponse>,
}

impl Outcome {
    fn is_refusal(&self) -> bool {
        self.answer.as_ref().is_ok_and(|answer| answer.is_complete && answer.status == 503)
    }

    fn is_whole(&self) -> bool {
        self.answer.as_ref().is_ok_and(|answer| {
            answer.is_complete && answer.status == 200 && answer.text() == complete_stream(&self.id)
        })
    }

    /// Returns whether a cut of a request whose upstream still worked is allowed.
    fn may_be_cut(&self) -> bool {
        self.sent_after <= CUT_ALLOWED_UNTIL + SENDING_TOLERANCE
            && self.ended_after + SENDING_TOLERANCE >= GRACE.mul_f64(5.0 / 6.0)
    }

    fn summary(&self) -> String {
        let status = match &self.answer {
            Ok(answer) => format!("{} complete={}", answer.status, answer.is_complete),
            Err(error) => error.to_string(),
        };
        format!("{} sent {:?} ended {:?}: {status}", self.id, self.sent_after, self.ended_after)
    }
}

/// Prints the counts of whole, refused and cut requests, and returns the cuts that are not allowed.
fn judge(what: &str, outcomes: &[Outcome]) -> Vec<String> {
    let count = |check: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|o| check(o)).count();
    let is_cut = |outcome: &Outcome| !outcome.is_whole() && !outcome.is_refusal();
    println!(
        "{what}: {} whole, {} refused, {} cut, of these {} not allowed",
        count(&Outcome::is_whole),
        count(&Outcome::is_refusal),
        count(&is_cut),
        count(&|outcome| is_cut(outcome) && !outcome.may_be_cut()),
    );
    let broken = outcomes.iter().filter(|outcome| is_cut(outcome) && !outcome.may_be_cut());
    broken.map(|outcome| format!("{what}: {}", outcome.summary())).collect()
}

struct Deployment {
    machines: Machines,
    engines: Vec<Worker>,
}

/// Starts entry instances in the data centre `data_centre`; the upstreams are in `giza`.
fn start(entries: u8, data_centre: &str, behaviour: Behaviour) -> Deployment {
    let mut machines = Machines::start_with_setup(1, entries, |machine| {
        if machine.ip.octets()[3] >= 100 {
            machine.data_centre = data_centre.to_string();
        }
    });
    let engines: Vec<Worker> = (1..=ENGINES)
        .map(|number| Worker::start(&format!("i-engine-{number}"), "engines", machines.seeds()))
        .collect();
    for engine in &engines {
        engine.set_behaviour(behaviour);
    }
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_ready(7);
    for entry in &mut machines.entries {
        wait_for("upstream discovery", || {
            (entry.events("upstream").len() >= engines.len()).then_some(())
        });
    }
    Deployment { machines, engines }
}

impl Deployment {
    fn callers(&self, entry: usize) -> SocketAddr {
        self.machines.entries[entry].callers()
    }

    fn signal(&self, entry: usize, name: &str) {
        self.machines.entries[entry].process.as_ref().unwrap().signal(name);
    }

    fn cuts(&self, entry: usize) -> String {
        let cuts = self.machines.entries[entry].events("cut");
        cuts.iter().map(|line| format!("{line}\n")).collect()
    }
}

fn sleep_until(instant: Instant) {
    std::thread::sleep(instant.saturating_duration_since(Instant::now()));
}

fn open(address: SocketAddr, receive_buffer: Option<usize>) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    if let Some(bytes) = receive_buffer {
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.connect_timeout(&address.into(), READ_TIMEOUT)?;
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn request(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: api.example\r\nRequest-Id: {id}\r\n\
         Authorization: Token {KEY}\r\nDeadline-Remaining: 6000\r\nContent-Length: 8\r\n\r\nthe body"
    )
}

/// Sends a request on `stream` and reads the answer on a thread of its own.
fn send(
    mut stream: TcpStream,
    path: &str,
    id: &str,
    signalled: Instant,
) -> JoinHandle<(Outcome, TcpStream)> {
    let (path, id) = (path.to_string(), id.to_string());
    let sent_after = signalled.elapsed();
    std::thread::spawn(move || {
        let written = stream.write_all(request(&path, &id).as_bytes());
        let answer =
            written.and_then(|()| read_response(&mut BufReader::new(stream.try_clone().unwrap())));
        (Outcome { id, sent_after, ended_after: signalled.elapsed(), answer }, stream)
    })
}

fn collect(calls: Vec<JoinHandle<(Outcome, TcpStream)>>) -> Vec<Outcome> {
    calls.into_iter().map(|call| call.join().unwrap().0).collect()
}

/// Sends streams of five seconds to an instance that is held up for `hold_up` while it gets SIGTERM.
fn send_around_a_late_signal(hold_up: Duration) -> Vec<String> {
    let mut deployment = start(1, "giza", Behaviour::EventsEvery(420));
    std::thread::sleep(Duration::from_millis(500));
    deployment.signal(0, "STOP");
    deployment.signal(0, "TERM");
    let signalled = Instant::now();
    std::thread::sleep(hold_up);
    deployment.signal(0, "CONT");
    let mut calls = Vec::new();
    for index in 0..40_u32 {
        sleep_until(signalled + Duration::from_millis(2000) + index * Duration::from_millis(50));
        if let Ok(stream) = open(deployment.callers(0), None) {
            calls.push(send(stream, "/captions/1", &format!("late-{index}"), signalled));
        }
    }
    sleep_until(signalled + GRACE);
    let has_ended = deployment.machines.entries[0].process().has_ended();
    deployment.machines.entries[0].kill();
    let mut broken = judge(&format!("held up for {hold_up:?}"), &collect(calls));
    if !has_ended {
        broken.push(format!("held up for {hold_up:?}: the process runs at the end of the grace"));
    }
    broken
}

#[test]
fn streams_sent_after_three_seconds_are_cut_when_the_signal_is_handled_late() {
    let runs: Vec<JoinHandle<Vec<String>>> = [0, 100, 300, 1000]
        .into_iter()
        .map(|millis| {
            std::thread::spawn(move || send_around_a_late_signal(Duration::from_millis(millis)))
        })
        .collect();
    let broken: Vec<String> = runs.into_iter().flat_map(|run| run.join().unwrap()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Reads an answer in small pieces, with a pause before each, until the connection ends.
fn read_slowly(stream: &mut TcpStream) -> (Vec<u8>, Option<ErrorKind>) {
    let mut received = Vec::new();
    let mut piece = [0; SMALL_BUFFER];
    loop {
        std::thread::sleep(Duration::from_millis(10));
        match stream.read(&mut piece) {
            Ok(0) => return (received, None),
            Ok(length) => received.extend_from_slice(&piece[..length]),
            Err(error) => return (received, Some(error.kind())),
        }
    }
}

fn long_answer() -> Script {
    let body = "x".repeat(LONG_ANSWER_BYTES);
    Script::new(
        format!(
            "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: i-shop\r\n\
             content-length: {LONG_ANSWER_BYTES}\r\n\r\n{body}"
        ),
        End::Close,
    )
}

/// Reads a long answer slowly from a stopping instance, and sends `next` meanwhile. Returns how many
/// of `callers` lost a part of the answer.
fn lose_long_answers(next: &str, delay: Duration) -> usize {
    const CALLERS: usize = 20;
    let deployment = start(1, "giza", Behaviour::Answer);
    let shop = support::platform_calls::start_upstream(
        &deployment.machines,
        "i-shop",
        "shop",
        Behaviour::Answer,
    );
    shop.set_script(|_| Some(long_answer()));
    deployment.signal(0, "TERM");
    std::thread::sleep(Duration::from_millis(300));
    let callers: Vec<JoinHandle<bool>> = (0..CALLERS)
        .map(|index| {
            let (address, next) = (deployment.callers(0), next.to_string());
            std::thread::spawn(move || {
                let mut stream = open(address, Some(SMALL_BUFFER)).unwrap();
                let id = format!("long-{index}");
                stream.write_all(request("/albums/1", &id).as_bytes()).unwrap();
                std::thread::sleep(delay);
                let _ = stream.write_all(next.as_bytes());
                let (received, error) = read_slowly(&mut stream);
                let response = read_response(&mut BufReader::new(received.as_slice()));
                let is_whole = response.is_ok_and(|response| response.is_complete);
                if !is_whole {
                    println!("{id}: {} bytes, then {error:?}", received.len());
                }
                is_whole
            })
        })
        .collect();
    let whole = callers.into_iter().map(|caller| caller.join().unwrap());
    let lost = whole.filter(|is_whole| !is_whole).count();
    println!("{lost} of {CALLERS} lost a part of the answer");
    lost
}

#[test]
fn the_rest_of_an_answer_is_lost_when_the_next_request_crosses_the_close() {
    let next = request("/albums/2", "next");
    assert_eq!(lose_long_answers(&next, Duration::from_millis(200)), 0);
}

#[test]
fn the_rest_of_an_answer_is_lost_when_more_pipelined_bytes_wait_than_are_read() {
    let next = request("/albums/2", "next").repeat(200);
    assert_eq!(lose_long_answers(&next, Duration::ZERO), 0);
}

#[test]
fn a_refusal_is_lost_when_the_body_of_the_request_still_arrives() {
    let deployment = start(1, "giza", Behaviour::Answer);
    let mut lost = 0;
    for _ in 0..20 {
        let mut stream = open(deployment.callers(0), None).unwrap();
        let head = "POST /albums/1 HTTP/1.1\r\nHost: api.example\r\nRequest-Id: large\r\n\
                    Content-Length: 100000\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        // A caller whose write fails does not read the answer.
        let is_sent = (0..10).all(|_| {
            std::thread::sleep(Duration::from_millis(5));
            stream.write_all(&[b'x'; 10_000]).is_ok()
        });
        let answer = read_response(&mut BufReader::new(stream));
        let is_refused = answer.is_ok_and(|answer| answer.is_complete && answer.status == 413);
        lost += usize::from(!is_sent || !is_refused);
    }
    println!("{lost} of 20 refusals lost");
    assert_eq!(lost, 0);
}

/// Sends streams to three of `entries` instances, which are stopped one after the other,
/// and calls `disturb` a second after each signal.
fn stop_in_series<F>(
    (entries, streams): (u8, u32),
    path: &str,
    behaviour: Behaviour,
    disturb: F,
) -> Vec<String>
where
    F: Fn(usize, &Deployment),
{
    let mut deployment = start(entries, "luxor", behaviour);
    let mut broken = Vec::new();
    for entry in 0..3 {
        let signalled = Instant::now() + Duration::from_millis(1000);
        let mut calls = Vec::new();
        for index in 0..streams {
            sleep_until(
                signalled.checked_sub(Duration::from_millis(1000)).unwrap()
                    + index * Duration::from_millis(40),
            );
            let stream = open(deployment.callers(entry), None).unwrap();
            calls.push(send(stream, path, &format!("series-{entry}-{index}"), signalled));
        }
        sleep_until(signalled);
        deployment.signal(entry, "TERM");
        sleep_until(signalled + Duration::from_millis(500));
        disturb(entry, &deployment);
        let outcomes = collect(calls);
        broken.extend(judge(&format!("{path} at instance {entry}"), &outcomes));
        print!("{}", deployment.cuts(entry));
        sleep_until(signalled + GRACE);
        deployment.machines.entries[entry].kill();
    }
    broken
}

#[test]
fn streams_from_another_data_centre_are_cut_while_instances_stop_in_series() {
    let broken = stop_in_series((3, STREAMS), "/reports/1", Behaviour::SlowEvents, |_, _| {});
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn streams_are_cut_when_their_upstream_pauses_while_the_instance_stops() {
    let broken = stop_in_series((3, STREAMS), "/reports/1", Behaviour::Pause(4), |_, _| {});
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Sends resumable streams while an upstream ends during the stop of two of the instances.
fn end_upstreams_in_series(entries: u8) -> Vec<String> {
    let fleet = (entries, FEW_STREAMS);
    stop_in_series(fleet, "/captions/1", Behaviour::SlowEvents, |entry, deployment| {
        if entry < 2 {
            deployment.engines[entry].end();
        }
    })
}

#[test]
fn resumable_streams_are_cut_when_an_upstream_ends_while_the_instance_stops() {
    let broken = end_upstreams_in_series(3);
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn resumable_streams_are_cut_when_an_upstream_ends_while_an_instance_of_a_large_fleet_stops() {
    let broken = end_upstreams_in_series(LARGE_FLEET);
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn streams_are_cut_when_their_upstream_pauses_while_an_instance_of_a_large_fleet_stops() {
    let fleet = (LARGE_FLEET, STREAMS);
    let broken = stop_in_series(fleet, "/reports/1", Behaviour::Pause(4), |_, _| {});
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn new_connections_are_reset_at_the_end_of_the_listener() {
    let deployment = start(1, "giza", Behaviour::Answer);
    let _shop = support::platform_calls::start_upstream(
        &deployment.machines,
        "i-shop",
        "shop",
        Behaviour::Answer,
    );
    deployment.signal(0, "TERM");
    let signalled = Instant::now();
    sleep_until(signalled + Duration::from_millis(3300));
    let address = Arc::new(deployment.callers(0));
    let callers: Vec<JoinHandle<(usize, usize)>> = (0..4)
        .map(|caller| {
            let address = address.clone();
            std::thread::spawn(move || {
                let (mut answered, mut unanswered) = (0, 0);
                while signalled.elapsed() < Duration::from_millis(3800) {
                    let Ok(mut stream) = open(*address, None) else {
                        break;
                    };
                    let text = request("/albums/1", &format!("cross-{caller}-{answered}"));
                    let written = stream.write_all(text.as_bytes());
                    let answer = written.and_then(|()| read_response(&mut BufReader::new(stream)));
                    match answer {
                        Ok(answer) if answer.is_complete => answered += 1,
                        _ => unanswered += 1,
                    }
                }
                (answered, unanswered)
            })
        })
        .collect();
    let counts: Vec<(usize, usize)> =
        callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let answered: usize = counts.iter().map(|count| count.0).sum();
    let unanswered: usize = counts.iter().map(|count| count.1).sum();
    println!("{answered} answered, {unanswered} closed without an answer");
    assert!(answered > 0);
    assert_eq!(unanswered, 0);
}
