//! Checks on the product's own interface that answers without end, which are collected before they
//! are sent, do not fill the memory of an instance.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::json;
use support::worker::{read_attempt, send_request_with_timeout};
use support::{API_KEY, Fleet, memory_kibibytes, post, wait_for};

/// Number of concurrent calls.
const CALLS: usize = 100;

/// Size of an answer before it only trickles, below `limits.body`.
const ANSWER_BYTES: usize = 3 << 20;

/// Memory of the smallest machine of an entry instance in the users' deployments, 160 MB.
const MAX_MEMORY_KIBIBYTES: u64 = 160 * 1000 * 1000 / 1024;

const TRICKLE_INTERVAL: Duration = Duration::from_millis(200);

/// Path whose answers end.
const SOUND_PATH: &str = "/sound";

/// Answers requests without end, except those for [`SOUND_PATH`].
fn serve(mut stream: TcpStream) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let (path, id) = read_attempt(&mut reader)?;
        let head = format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\n");
        if path.ends_with(SOUND_PATH) {
            write!(stream, "{head}content-length: 2\r\n\r\n{{}}").ok()?;
            continue;
        }
        write!(stream, "{head}\r\n").ok()?;
        stream.write_all(&vec![b'x'; ANSWER_BYTES]).ok()?;
        loop {
            std::thread::sleep(TRICKLE_INTERVAL);
            stream.write_all(b"x").ok()?;
        }
    }
}

fn read(callers: SocketAddr, path: &str) -> Option<u16> {
    let key = format!("Bearer {API_KEY}");
    let headers = [("authorization", key.as_str())];
    let path = format!("/services/shop{path}");
    let answer = send_request_with_timeout(callers, "GET", &path, &headers, "", 5);
    answer.ok().map(|answer| answer.status)
}

/// Guards against memory that grows with the number of collected answers: each may have
/// `limits.body`, and nothing limited all of them together.
#[test]
fn endless_answers_that_are_collected_fill_no_memory() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve(stream));
        }
    });
    let fleet = Fleet::start(&["giza"]);
    let announcement = json!({
        "upstream": "shop-1", "incarnation": 1, "data_centre": "giza",
        "address": address.to_string(), "protocol": "plain", "models": [], "slots": 400,
        "labels": { "app": "shop" }, "expires_in": "300s",
    });
    let instance = &fleet.instances[0];
    let callers = instance.addresses.callers;
    post(instance.addresses.operators, "/announce", &[], &announcement).unwrap();
    wait_for("a sound answer", || (read(callers, SOUND_PATH)? == 200).then_some(()));
    let process = instance.process.id();
    let calls: Vec<_> = (0..CALLS)
        .map(|number| std::thread::spawn(move || read(callers, &format!("/endless/{number}"))))
        .collect();
    let until = Instant::now() + Duration::from_secs(4);
    let mut most = 0;
    while Instant::now() < until {
        most = memory_kibibytes(process).max(most);
        std::thread::sleep(Duration::from_millis(10));
    }
    println!("at most {most} KiB");
    assert!(most < MAX_MEMORY_KIBIBYTES, "{most} KiB");
    for call in calls {
        assert_ne!(call.join().unwrap(), Some(200), "an endless answer was taken for a whole one");
    }
    assert_eq!(read(callers, SOUND_PATH), Some(200));
}
