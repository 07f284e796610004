//! Planned stops while requests are half read, wait to be accepted, or cross the close.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use support::machines::{KEY, Machines, document};
use support::wait_for;
use support::worker::{Exchange, Worker, read_answer};

/// When a stopping instance closes idle connections: once balancers have seen twice that it is not
/// ready.
const CLOSES_AFTER: Duration = Duration::from_millis(3500);

/// Longest that an answer may take to come, well within the time for a stop.
const PATIENCE: Duration = Duration::from_secs(4);

/// Connections that a burst opens at once.
const BURST: usize = 200;

/// Connections that were open and idle before the stop.
const KEPT: usize = 50;

struct Stage {
    machines: Machines,
    shops: Vec<Worker>,
}

fn stage() -> Stage {
    let machines = Machines::start(1, 1);
    let start = |name: &str| Worker::start(name, "shop", machines.seeds());
    let shops = vec![start("i-shop-1"), start("i-shop-2")];
    machines.declare(&document(7));
    machines.await_ready(7);
    let entry = &machines.entries[0];
    wait_for("both upstreams", || (entry.events("upstream").len() >= 2).then_some(()));
    Stage { machines, shops }
}

impl Stage {
    fn callers(&self) -> SocketAddr {
        self.machines.entries[0].callers()
    }

    fn signal(&self, name: &str) {
        self.machines.entries[0].process.as_ref().unwrap().signal(name);
    }

    fn runs(&self, id: &str) -> usize {
        self.shops.iter().flat_map(Worker::runs).filter(|run| run.request == id).count()
    }

    /// Every request got a whole answer, and one that was refused as not run did not run.
    fn check(&self, answers: Vec<(String, std::io::Result<Exchange>)>) -> (usize, usize) {
        let mut served = 0;
        let all = answers.len();
        for (id, answer) in answers {
            let answer = answer.unwrap_or_else(|error| unreachable!("{id}: {error}"));
            assert!(answer.is_whole, "{id}");
            assert!(matches!(answer.status, 200 | 503), "{id}: {}", answer.status);
            served += usize::from(answer.status == 200);
            assert_eq!(self.runs(&id), usize::from(answer.status == 200), "{id}");
        }
        (served, all)
    }
}

fn open(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect_timeout(&address, PATIENCE).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

fn request(id: &str) -> String {
    format!(
        "POST /albums/1 HTTP/1.1\r\nHost: api.example\r\nRequest-Id: {id}\r\n\
         Authorization: Token {KEY}\r\nContent-Length: 8\r\n\r\nthe body"
    )
}

fn answers(streams: Vec<(String, TcpStream)>) -> Vec<(String, std::io::Result<Exchange>)> {
    let read = |(id, stream): (String, TcpStream)| {
        let answer = read_answer(&mut BufReader::new(stream));
        (id, answer)
    };
    streams.into_iter().map(read).collect()
}

#[test]
fn requests_that_were_half_read_when_the_stop_began_are_answered() {
    let stage = stage();
    let mut streams = Vec::new();
    for cut in (10..request("cut-000").len()).step_by(15) {
        let id = format!("cut-{cut:03}");
        let text = request(&id);
        let mut stream = open(stage.callers());
        stream.write_all(&text.as_bytes()[..cut]).unwrap();
        streams.push((id, stream, text, cut));
    }
    std::thread::sleep(Duration::from_millis(200));
    stage.signal("TERM");
    std::thread::sleep(Duration::from_millis(1000));
    for (_, stream, text, cut) in &mut streams {
        stream.write_all(&text.as_bytes()[*cut..]).unwrap();
    }
    let streams = streams.into_iter().map(|(id, stream, ..)| (id, stream)).collect();
    let (served, all) = stage.check(answers(streams));
    println!("{served} of {all} served");
    assert_eq!(served, all, "a second of work is left");
}

#[test]
fn requests_that_wait_to_be_accepted_or_cross_the_close_are_answered() {
    let stage = stage();
    let kept: Vec<TcpStream> = (0..KEPT).map(|_| open(stage.callers())).collect();
    let mut kept: Vec<(String, TcpStream)> =
        kept.into_iter().enumerate().map(|(index, one)| (format!("kept-{index}"), one)).collect();
    for (id, stream) in &mut kept {
        stream.write_all(request(&format!("{id}-before")).as_bytes()).unwrap();
        let answer = read_answer(&mut BufReader::new(&*stream)).unwrap();
        assert_eq!(answer.status, 200);
    }
    stage.signal("TERM");
    let stopped = Instant::now();
    let freeze_at = CLOSES_AFTER - Duration::from_millis(150);
    std::thread::sleep(freeze_at.saturating_sub(stopped.elapsed()));
    stage.signal("STOP");
    let mut streams = kept;
    for (id, stream) in &mut streams {
        stream.write_all(request(id).as_bytes()).unwrap();
    }
    for index in 0..BURST {
        let id = format!("new-{index}");
        // A full queue takes no more connections, which tells callers to go elsewhere.
        let Ok(mut stream) =
            TcpStream::connect_timeout(&stage.callers(), Duration::from_millis(200))
        else {
            break;
        };
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(request(&id).as_bytes()).unwrap();
        streams.push((id, stream));
    }
    std::thread::sleep(
        (CLOSES_AFTER + Duration::from_millis(200)).saturating_sub(stopped.elapsed()),
    );
    stage.signal("CONT");
    let (served, all) = stage.check(answers(streams));
    println!("{served} of {all} served");
    assert!(all >= KEPT + BURST / 2, "{all}");
}
