//! Calls to upstreams that read a request late.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use dispatch::{Call, CallEvent, Client, ConnectionReuse, KeepAlive, Outbound, Progress};
use eventloop::{Loop, mailbox};
use names::Attempt;
use stakker::{ActorOwn, Fwd, StopCause, actor, call, ret_nop};
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which sent bytes may stay unacknowledged.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the upstream reads nothing, while its operating system acknowledges what it gets.
const READ_DELAY: Duration = Duration::from_secs(3);

fn last_progress(body_bytes: usize) -> Progress {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        std::thread::sleep(READ_DELAY);
        let mut body = vec![0; body_bytes];
        let is_read = stream.read_exact(&mut body).is_ok();
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        let is_answered = is_read && stream.write_all(answer.as_bytes()).is_ok();
        let _ = stream.shutdown(Shutdown::Write);
        // Bytes that wait unread at the close would reset the connection.
        is_answered && stream.read_to_end(&mut body).is_ok()
    });
    let (sender, events) = channel::<CallEvent>();
    let mut event_loop = Loop::new().unwrap();
    let stakker = event_loop.stakker();
    let keep_alive = KeepAlive {
        idle_timeout: TIMEOUT,
        close_margin: Duration::ZERO,
        dead_peer_timeout: DEAD_PEER_TIMEOUT,
        late_reader_timeout: TIMEOUT,
    };
    let deferrer = stakker.deferrer();
    let stop = mailbox(
        stakker,
        Fwd::new(move |()| deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped))),
    );
    let handle = Fwd::new(move |event: CallEvent| {
        let is_last = !matches!(
            event.progress,
            Progress::Head { .. } | Progress::Body(_) | Progress::Received
        );
        sender.send(event).unwrap();
        if is_last {
            stop.send(());
        }
    });
    let client: ActorOwn<Client> =
        actor!(stakker, Client::init(keep_alive, handle, Fwd::new(|_| {})), ret_nop!());
    let outbound = Outbound::try_from(Call {
        attempt: Attempt(1),
        method: "POST".to_string(),
        address,
        path: "/".to_string(),
        headers: Vec::new(),
        body: vec![b'x'; body_bytes],
        connect_deadline: Instant::now() + TIMEOUT,
        deadline: Instant::now() + TIMEOUT,
        reuse: ConnectionReuse::Never,
    })
    .unwrap();
    call!([client], call(outbound));
    event_loop.run().unwrap();
    let _ = upstream.join().unwrap();
    events.try_iter().last().unwrap().progress
}

#[test_case(10_000; "of ten kilobytes")]
#[test_case(1_000_000; "of a megabyte")]
#[test_case(16_000_000; "of sixteen megabytes")]
fn a_call_fails_because_its_upstream_reads_a_body_late(body_bytes: usize) {
    assert_eq!(last_progress(body_bytes), Progress::End);
}
