//! End-to-end tests at the product's own interface of upstreams that answer a long request before
//! they have read it, and then break the connection off.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::json;
use support::script::{End, PAUSE, reset_on_close};
use support::{Answer, BOOKINGS, CHAT, Fleet, chat, post, streamed_text, wait_for};
use test_case::test_case;

/// Size of a request that does not fit into the buffers of a connection whose peer reads nothing.
const BODY_BYTES: usize = 3_000_000;

/// Calls of each kind, since the order of events varies.
const CALLS: usize = 3;

/// A whole chat, of which nothing but the framing could tell that it is a part.
const WHOLE_CHAT: &str = "{\"choices\": [{\"message\": {\"content\": \"one\"}}]}";

/// A part of a stream.
const EVENT: &str = "data: {\"id\": \"c\", \"choices\": [{\"delta\": {\"content\": \"one\"}}]}\n\n";

/// How the upstream answers: headers and body, and what happens to the connection after them.
#[derive(Clone)]
struct EarlyAnswer {
    rest: String,
    end: End,
}

/// Reads the head of a request, and returns its attempt id.
fn read_attempt_head(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut id = String::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        if let Some(value) = line.trim_end().strip_prefix("x-attempt-id: ") {
            id = value.to_string();
        }
        if line == "\r\n" {
            return Some(id);
        }
    }
}

fn serve(mut stream: TcpStream, early: &EarlyAnswer) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let id = read_attempt_head(&mut reader)?;
    let text = format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\n{}", early.rest);
    stream.write_all(text.as_bytes()).ok()?;
    if early.end == End::CloseThenReset {
        stream.shutdown(Shutdown::Write).ok()?;
        std::thread::sleep(PAUSE);
    }
    if early.end != End::Close {
        reset_on_close(&stream);
    }
    Some(())
}

/// Starts an upstream of [`serve`], and returns its address.
fn start_upstream(early: &Arc<Mutex<EarlyAnswer>>, served: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (early, served) = (early.clone(), served.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let early = early.lock().unwrap().clone();
            let served = served.clone();
            std::thread::spawn(move || {
                serve(stream, &early);
                served.fetch_add(1, Ordering::Relaxed);
            });
        }
    });
    address
}

/// Returns whether the caller was told that the answer is complete.
fn is_complete(answer: &Result<Answer, String>, is_streamed: bool) -> bool {
    answer.as_ref().is_ok_and(|answer| {
        answer.status == 200 && (!is_streamed || streamed_text(&answer.body).is_some())
    })
}

/// Guards against a part of an answer that is passed on as a complete one because its connection
/// broke while the request was still being sent.
#[test_case("\r\n", End::Reset; "no framing and a reset")]
#[test_case("\r\n", End::Close; "no framing and a close with unread bytes")]
#[test_case("\r\n", End::CloseThenReset; "no framing and a proper close before a reset")]
#[test_case("content-length: 1000\r\n\r\n", End::Reset; "a length and a reset")]
#[test_case("content-length: 1000\r\n\r\n", End::CloseThenReset; "a length and a proper close before a reset")]
#[test_case("transfer-encoding: chunked\r\n\r\n3e8\r\n", End::Reset; "chunks and a reset")]
#[test_case("content-le", End::Reset; "a reset within the head")]
fn a_part_of_an_answer_to_a_request_that_was_not_read_is_never_complete(framing: &str, end: End) {
    let fleet = Fleet::start(&["giza"]);
    let addresses = fleet.instances[0].addresses.clone();
    let early = Arc::new(Mutex::new(EarlyAnswer { rest: String::new(), end }));
    let served = Arc::new(AtomicUsize::new(0));
    let upstreams = [
        ("shop-1", "plain", json!([]), json!({ "app": "shop" })),
        ("engine-1", "chat-completions", json!(["caption-small"]), json!({})),
    ];
    for (name, protocol, models, labels) in upstreams {
        let announcement = json!({
            "upstream": name, "incarnation": 1, "data_centre": "giza",
            "address": start_upstream(&early, &served).to_string(), "protocol": protocol,
            "models": models, "slots": 8, "labels": labels, "expires_in": "300s",
        });
        post(addresses.operators, "/announce", &[], &announcement).unwrap();
    }
    let text = "x".repeat(BODY_BYTES);
    let headers = [("x-turmericrelay-deadline", "3s")];
    let kinds = [
        (BOOKINGS, json!({ "family": text }), "{}", false),
        (CHAT, chat(&text, 1, false), WHOLE_CHAT, false),
        (CHAT, chat(&text, 1, true), EVENT, true),
    ];
    for (path, body, part, is_streamed) in kinds {
        early.lock().unwrap().rest = format!("{framing}{part}");
        for number in 0..CALLS {
            let before = served.load(Ordering::Relaxed);
            // An upstream that failed is avoided for a while.
            let answer = wait_for("a call that reaches the upstream", || {
                let answer = post(addresses.callers, path, &headers, &body);
                (served.load(Ordering::Relaxed) > before).then_some(answer)
            });
            assert!(!is_complete(&answer, is_streamed), "{path}, call {number}: {answer:?}");
            if let Ok(answer) = answer {
                assert_ne!(answer.verdict.as_deref(), Some("not-run"), "{path}: {answer:?}");
            }
        }
    }
}
