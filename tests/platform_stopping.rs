//! Tests of graceful shutdown while requests are partly read, wait in the accept queue, or race the
//! close of their connections.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use support::machines::{KEY, Machines, document};
use support::wait_for;
use support::worker::{HttpResponse, Worker, read_response};

/// Time after which a stopping instance closes idle connections: by then, load balancers have seen
/// twice that the instance is not ready.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(3500);

/// Upper bound on the time until an answer, well within the shutdown timeout.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of new connections that are opened in a burst.
const BURST_CONNECTIONS: usize = 200;

/// Number of connections that are open and idle before the shutdown.
const IDLE_CONNECTIONS: usize = 50;

struct Deployment {
    machines: Machines,
    shops: Vec<Worker>,
}

fn start_deployment() -> Deployment {
    let machines = Machines::start(1, 1);
    let start = |name: &str| Worker::start(name, "shop", machines.seeds());
    let shops = vec![start("i-shop-1"), start("i-shop-2")];
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_ready(7);
    let entry = &machines.entries[0];
    wait_for("upstream discovery", || (entry.events("upstream").len() >= 2).then_some(()));
    Deployment { machines, shops }
}

impl Deployment {
    fn callers(&self) -> SocketAddr {
        self.machines.entries[0].callers()
    }

    fn signal(&self, name: &str) {
        self.machines.entries[0].process.as_ref().unwrap().signal(name);
    }

    /// Returns how often the request `id` ran at any upstream.
    fn runs(&self, id: &str) -> usize {
        self.shops
            .iter()
            .flat_map(Worker::executed_requests)
            .filter(|run| run.request == id)
            .count()
    }

    /// Checks that every request got a complete answer and that a refused request did not run.
    /// Returns the number of served requests and of all requests.
    fn check_answers(
        &self,
        answers: Vec<(String, std::io::Result<HttpResponse>)>,
    ) -> (usize, usize) {
        let mut served = 0;
        let total = answers.len();
        for (id, answer) in answers {
            let answer = answer.unwrap_or_else(|error| unreachable!("{id}: {error}"));
            assert!(answer.is_complete, "{id}");
            assert!(matches!(answer.status, 200 | 503), "{id}: {}", answer.status);
            served += usize::from(answer.status == 200);
            assert_eq!(self.runs(&id), usize::from(answer.status == 200), "{id}");
        }
        (served, total)
    }
}

fn open(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT).unwrap();
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    stream
}

fn request(id: &str) -> String {
    format!(
        "POST /albums/1 HTTP/1.1\r\nHost: api.example\r\nRequest-Id: {id}\r\n\
         Authorization: Token {KEY}\r\nContent-Length: 8\r\n\r\nthe body"
    )
}

/// Reads one answer from each connection.
fn read_answers(streams: Vec<(String, TcpStream)>) -> Vec<(String, std::io::Result<HttpResponse>)> {
    let read = |(id, stream): (String, TcpStream)| {
        let answer = read_response(&mut BufReader::new(stream));
        (id, answer)
    };
    streams.into_iter().map(read).collect()
}

#[test]
fn partly_read_requests_are_answered_during_a_graceful_shutdown() {
    let deployment = start_deployment();
    let mut streams = Vec::new();
    for cut in (10..request("cut-000").len()).step_by(15) {
        let id = format!("cut-{cut:03}");
        let text = request(&id);
        let mut stream = open(deployment.callers());
        stream.write_all(&text.as_bytes()[..cut]).unwrap();
        streams.push((id, stream, text, cut));
    }
    std::thread::sleep(Duration::from_millis(200));
    deployment.signal("TERM");
    std::thread::sleep(Duration::from_millis(1000));
    for (_, stream, text, cut) in &mut streams {
        stream.write_all(&text.as_bytes()[*cut..]).unwrap();
    }
    let streams = streams.into_iter().map(|(id, stream, ..)| (id, stream)).collect();
    let (served, total) = deployment.check_answers(read_answers(streams));
    println!("{served} of {total} served");
    assert_eq!(served, total, "the shutdown leaves a second for these requests");
}

#[test]
fn requests_in_the_accept_queue_or_racing_the_close_are_answered() {
    let deployment = start_deployment();
    let idle: Vec<TcpStream> = (0..IDLE_CONNECTIONS).map(|_| open(deployment.callers())).collect();
    let mut idle: Vec<(String, TcpStream)> = idle
        .into_iter()
        .enumerate()
        .map(|(index, stream)| (format!("idle-{index}"), stream))
        .collect();
    for (id, stream) in &mut idle {
        stream.write_all(request(&format!("{id}-before")).as_bytes()).unwrap();
        let answer = read_response(&mut BufReader::new(&*stream)).unwrap();
        assert_eq!(answer.status, 200);
    }
    deployment.signal("TERM");
    let signalled = Instant::now();
    let freeze_delay = IDLE_CLOSE_DELAY - Duration::from_millis(150);
    std::thread::sleep(freeze_delay.saturating_sub(signalled.elapsed()));
    deployment.signal("STOP");
    let mut streams = idle;
    for (id, stream) in &mut streams {
        stream.write_all(request(id).as_bytes()).unwrap();
    }
    for index in 0..BURST_CONNECTIONS {
        let id = format!("new-{index}");
        // A full accept queue refuses further connections, so that callers try another instance.
        let Ok(mut stream) =
            TcpStream::connect_timeout(&deployment.callers(), Duration::from_millis(200))
        else {
            break;
        };
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        stream.write_all(request(&id).as_bytes()).unwrap();
        streams.push((id, stream));
    }
    std::thread::sleep(
        (IDLE_CLOSE_DELAY + Duration::from_millis(200)).saturating_sub(signalled.elapsed()),
    );
    deployment.signal("CONT");
    let (served, total) = deployment.check_answers(read_answers(streams));
    println!("{served} of {total} served");
    assert!(total >= IDLE_CONNECTIONS + BURST_CONNECTIONS / 2, "{total}");
}
