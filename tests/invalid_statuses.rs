//! End-to-end tests of answers with a status that no HTTP answer may have, at both interfaces: the
//! caller is told that the upstream failed and that the request may have run.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use serde_json::json;
use support::machines::{Machines, document};
use support::platform_calls::call;
use support::worker::{Behaviour, Worker, read_attempt};
use support::{BOOKINGS, CHAT, Fleet, booking, chat, post, wait_for};
use test_case::test_case;

/// Returns an answer with `status`. The interim status 101 is followed by a final answer, which is
/// none since no request asks for another protocol.
fn answer(status: &str, headers: &str) -> String {
    let rest = format!("{headers}content-length: 5\r\n\r\nhello");
    match status {
        "101" => format!("HTTP/1.1 101 Odd\r\n\r\nHTTP/1.1 200 OK\r\n{rest}"),
        _ => format!("HTTP/1.1 {status} Odd\r\n{rest}"),
    }
}

/// Guards against an answer with an invalid status that is passed on to the caller.
#[test_case("000")]
#[test_case("099")]
#[test_case("101")]
#[test_case("600")]
#[test_case("999")]
fn an_answer_with_an_invalid_status_is_a_failure_of_its_upstream(status: &str) {
    let machines = Machines::start(1, 1);
    let start = |name: &str, service: &str| Worker::start(name, service, machines.seeds());
    let workers = [start("i-shop-1", "shop"), start("i-engine-1", "engines")];
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_ready(7);
    wait_for("arrival of the upstreams at the entry instance", || {
        (machines.entries[0].events("upstream").len() >= 2).then_some(())
    });
    let raw = answer(status, "request-id: ID\r\nserver-stamp: s\r\n");
    let raw: &'static str = Box::leak(raw.into_boxed_str());
    workers.iter().for_each(|worker| worker.set_behaviour(Behaviour::Raw(raw, raw)));
    for path in ["/albums/1", "/bookings/1", "/captions/1", "/reports/1"] {
        let id = path.replace('/', "-");
        let answer = call(machines.entries[0].callers(), path, &id);
        assert_eq!((answer.status, answer.is_complete), (502, true), "{path}: {}", answer.text());
    }
    let failed = wait_for("log lines of the failures", || {
        let failed = machines.entries[0].events("failed");
        (failed.len() >= 4).then_some(failed)
    });
    for line in failed {
        assert_eq!(line["verdict"], "may-have-run", "{line}");
    }
}

/// Answers requests of the own interface with the status that `status` holds.
fn serve(mut stream: TcpStream, status: &Mutex<String>) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let (_, id) = read_attempt(&mut reader)?;
        let status = status.lock().unwrap().clone();
        let text = answer(&status, &format!("x-attempt-id: {id}\r\n"));
        stream.write_all(text.replace("hello", "\"abc\"").as_bytes()).ok()?;
    }
}

/// Starts an upstream that answers every request with the status that `status` holds, and returns
/// its address.
fn start_upstream(status: &Arc<Mutex<String>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, status) = (listener.local_addr().unwrap(), status.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let status = status.clone();
            std::thread::spawn(move || serve(stream, &status));
        }
    });
    address
}

/// Guards against an answer with an invalid status that is passed on at the own interface.
#[test]
fn an_answer_with_an_invalid_status_at_the_own_interface_is_a_failure_of_its_upstream() {
    let fleet = Fleet::start(&["giza"]);
    let addresses = fleet.instances[0].addresses.clone();
    let status = Arc::new(Mutex::new("200".to_string()));
    let upstreams = [
        ("shop-1", "plain", json!([]), json!({ "app": "shop" })),
        ("engine-1", "chat-completions", json!(["caption-small"]), json!({})),
    ];
    for (name, protocol, models, labels) in upstreams {
        let announcement = json!({
            "upstream": name, "incarnation": 1, "data_centre": "giza",
            "address": start_upstream(&status).to_string(), "protocol": protocol,
            "models": models, "slots": 8, "labels": labels, "expires_in": "300s",
        });
        post(addresses.operators, "/announce", &[], &announcement).unwrap();
    }
    let headers = [("x-turmericrelay-deadline", "3s")];
    let book = || post(addresses.callers, BOOKINGS, &headers, &booking("nasr")).unwrap();
    let send_chat = || post(addresses.callers, CHAT, &headers, &chat("hello", 1, false)).unwrap();
    wait_for("a sound answer", || (book().status == 200).then_some(()));
    wait_for("a sound chat", || (send_chat().status == 200).then_some(()));
    for invalid in ["000", "099", "101", "600", "999"] {
        *status.lock().unwrap() = invalid.to_string();
        for answer in [book(), send_chat()] {
            // A chat is sent again, and its only engine may be avoided by then.
            assert!(matches!(answer.status, 502 | 503), "{invalid}: {answer:?}");
            assert_eq!(answer.verdict.as_deref(), Some("may-have-run"), "{invalid}: {answer:?}");
        }
    }
}
