//! Checks on the product's own interface that answers without end, which are collected before they
//! are sent, do not fill the memory of an instance.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::json;
use support::worker::{read_attempt, send_request_with_timeout};
use support::{API_KEY, CHAT, Fleet, chat, memory_kibibytes, post, wait_for};

/// Number of concurrent calls.
const CALLS: usize = 100;

/// Number of concurrent calls of which `limits.collected`, 64 MiB, takes the whole beginnings.
const FEW_CALLS: usize = 21;

/// Size of an answer before it only trickles, below `limits.body`.
const ANSWER_BYTES: usize = 3 << 20;

/// Size of the answers of the model service: less than one of the endless answers, more than
/// these leave of `limits.collected`.
const CHAT_BYTES: usize = 2 << 20;

/// Memory of the smallest machine of an entry instance in the users' deployments, 160 MB.
const MAX_MEMORY_KIBIBYTES: u64 = 160 * 1000 * 1000 / 1024;

const TRICKLE_INTERVAL: Duration = Duration::from_millis(200);

/// Path whose answers end.
const SOUND_PATH: &str = "/sound";

/// Answers requests without end, except chats and those for [`SOUND_PATH`].
fn serve(mut stream: TcpStream) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let (path, id) = read_attempt(&mut reader)?;
        let head = format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\n");
        if path.ends_with(SOUND_PATH) {
            write!(stream, "{head}content-length: 2\r\n\r\n{{}}").ok()?;
            continue;
        }
        if path.ends_with(CHAT) {
            let body = json!({ "content": "x".repeat(CHAT_BYTES) }).to_string();
            write!(stream, "{head}content-length: {}\r\n\r\n{body}", body.len()).ok()?;
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

/// Starts an upstream of [`serve`], and returns its address.
fn start_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Starts an instance with an upstream of the service `shop`, whose answers have no end, and one of
/// the model service, whose answers are sound.
fn start_fleet() -> Fleet {
    let fleet = Fleet::start(&["giza"]);
    let addresses = &fleet.instances[0].addresses;
    let upstreams = [
        ("shop-1", "plain", json!([]), json!({ "app": "shop" })),
        ("engine-1", "chat-completions", json!(["caption-small"]), json!({})),
    ];
    for (name, protocol, models, labels) in upstreams {
        let announcement = json!({
            "upstream": name, "incarnation": 1, "data_centre": "giza",
            "address": start_upstream().to_string(), "protocol": protocol, "models": models,
            "slots": 400, "labels": labels, "expires_in": "300s",
        });
        post(addresses.operators, "/announce", &[], &announcement).unwrap();
    }
    let callers = addresses.callers;
    wait_for("a sound answer", || (read(callers, SOUND_PATH)? == 200).then_some(()));
    wait_for("a chat", || (send_chat(callers) == 200).then_some(()));
    fleet
}

/// Starts calls whose answers have no end. Each returns the status that its caller gets.
fn start_endless_calls(callers: SocketAddr, count: usize) -> Vec<JoinHandle<Option<u16>>> {
    let call = |number| std::thread::spawn(move || read(callers, &format!("/endless/{number}")));
    (0..count).map(call).collect()
}

/// Sends a chat whose answer is collected, and returns the status of the answer.
fn send_chat(callers: SocketAddr) -> u16 {
    post(callers, CHAT, &[], &chat("hello", 1, false)).unwrap().status
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
    let fleet = start_fleet();
    let instance = &fleet.instances[0];
    let (callers, process) = (instance.addresses.callers, instance.process.id());
    let calls = start_endless_calls(callers, CALLS);
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

/// Guards against endless answers that use up the memory for collected answers, so that the sound
/// answers of other callers fail until the deadlines of the endless ones.
#[test]
fn endless_answers_that_are_collected_end_no_sound_answer() {
    let fleet = start_fleet();
    let callers = fleet.instances[0].addresses.callers;
    let calls = start_endless_calls(callers, FEW_CALLS);
    let until = Instant::now() + Duration::from_secs(4);
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < until {
        sent += 1;
        served += usize::from(send_chat(callers) == 200);
    }
    assert_eq!(served, sent);
    for call in calls {
        assert_ne!(call.join().unwrap(), Some(200), "an endless answer was taken for a whole one");
    }
}
