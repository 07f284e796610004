//! Connections of requests that are sent to the same address again.

#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use dispatch::{Call, CallEvent, Client, ConnectionReuse, Field, KeepAlive, Outbound, Progress};
use eventloop::{Loop, mailbox};
use names::Attempt;
use stakker::{ActorOwn, Fwd, StopCause, actor, call, ret_nop};

const TIMEOUT: Duration = Duration::from_secs(10);

const KEEP_ALIVE: KeepAlive = KeepAlive {
    idle_timeout: TIMEOUT,
    close_margin: Duration::ZERO,
    dead_peer_timeout: TIMEOUT,
    late_reader_timeout: TIMEOUT,
};

/// Call with the time at which its request was first sent to the address; none ends the client.
type Command = Option<(Call, Option<Instant>)>;

fn run(events: Sender<CallEvent>, ready: Sender<eventloop::Sender<Command>>) {
    let mut event_loop = Loop::new().unwrap();
    let stakker = event_loop.stakker();
    let forwarded = Fwd::new(move |event| drop(events.send(event)));
    let client: ActorOwn<Client> =
        actor!(stakker, Client::init(KEEP_ALIVE, forwarded, Fwd::new(|_| {})), ret_nop!());
    let deferrer = stakker.deferrer();
    let handle = Fwd::new(move |command: Command| match command {
        Some((call, first_sent_at)) => {
            let outbound = Outbound { first_sent_at, ..Outbound::try_from(call).unwrap() };
            call!([client], call(outbound));
        }
        None => deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped)),
    });
    ready.send(mailbox(stakker, handle)).unwrap();
    event_loop.run().unwrap();
}

/// Answers the requests of a connection and reports its number for each of them.
fn serve(number: usize, mut stream: TcpStream, served: &Sender<usize>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|length| length > 0) {
        if line == "\r\n" {
            reader.read_exact(&mut [0; 2]).unwrap();
            served.send(number).unwrap();
            write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
        }
        line.clear();
    }
}

/// Starts an upstream and returns the numbers of the connections on which requests arrive.
fn upstream() -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, served) = channel();
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let sender = sender.clone();
            std::thread::spawn(move || serve(number, stream.unwrap(), &sender));
        }
    });
    (address, served)
}

/// Guards against a late copy of a response that counts for the next attempt of its request.
#[test]
fn a_request_that_is_sent_again_takes_a_connection_that_has_not_carried_it() {
    let (event_sender, events) = channel();
    let (ready, ready_receiver) = channel();
    let client = std::thread::spawn(move || run(event_sender, ready));
    let commands = ready_receiver.recv().unwrap();
    let (address, served) = upstream();
    let mut attempt = 0;
    let mut call = |reuse: ConnectionReuse, first_sent_at: Option<Instant>| {
        attempt += 1;
        let call = Call {
            attempt: Attempt(attempt),
            method: "POST".to_string(),
            address,
            path: "/".to_string(),
            headers: vec![Field { name: "x-attempt-id".to_string(), value: attempt.to_string() }],
            body: b"{}".to_vec(),
            connect_deadline: Instant::now() + TIMEOUT,
            deadline: Instant::now() + TIMEOUT,
            reuse,
        };
        commands.send(Some((call, first_sent_at)));
        while events.recv_timeout(TIMEOUT).unwrap().progress != Progress::End {}
        served.recv_timeout(TIMEOUT).unwrap()
    };
    let idle = [call(ConnectionReuse::Never, None), call(ConnectionReuse::Never, None)];
    assert_eq!(idle, [0, 1]);
    std::thread::sleep(Duration::from_millis(5));
    let first_sent_at = Some(Instant::now());
    assert_eq!(call(ConnectionReuse::Allowed, None), 1, "the first attempt");
    assert_eq!(call(ConnectionReuse::Allowed, first_sent_at), 0, "the second attempt");
    assert_eq!(call(ConnectionReuse::Allowed, first_sent_at), 2, "the third attempt");
    assert_eq!(call(ConnectionReuse::Allowed, None), 2, "another request");
    commands.send(None);
    client.join().unwrap();
}
