//! Checks that malformed and excessive input on the callers' port gets a specific error, and that
//! other callers are still served.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::json;
use support::{
    API_KEY, Fleet, Plan, WAIT_TIMEOUT, chat, expected_answer, get, memory_kibibytes, post,
    streamed_text,
};
use test_case::test_case;

const CHAT_PATH: &str = "/v1/chat/completions";
const MAX_MEMORY_KIBIBYTES: u64 = 64 * 1024;

fn start_fleet() -> Fleet {
    let timing = json!({ "receive": "2s", "unread": "2s" });
    let mut fleet = Fleet::start_plan(Plan::new(&["giza"]).with_setting("timing", timing));
    let flags = ["--model", "caption-small", "--word-interval", "1ms", "--slots", "64"];
    fleet.add_upstream("engine-1", "giza", &flags);
    fleet
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

/// Sends `bytes` and returns everything that the instance sends until it closes the connection.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn assert_still_serves(fleet: &Fleet) {
    let address = fleet.instances[0].addresses.callers;
    let answer = post(address, CHAT_PATH, &[], &chat("still there", 5, true)).unwrap();
    assert_eq!(streamed_text(&answer.body), Some(expected_answer("still there", 5)));
}

#[test_case(b"NONSENSE\r\n\r\n", 400, "malformed_request"; "not HTTP")]
#[test_case(b"BREW /pot HTTP/1.1\r\n\r\n", 400, "malformed_request"; "unknown method")]
#[test_case(
    b"POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n", 400, "malformed_request"; "invalid length")]
#[test_case(
    b"POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
    400, "malformed_request"; "both length and chunked")]
#[test_case(
    b"POST / HTTP/1.1\r\ncontent-length: 99999999\r\n\r\n", 413, "body_too_large";
    "oversized body")]
#[test_case(
    b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", 400, "malformed_request";
    "invalid chunk size")]
#[test_case(
    b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nfffffff0\r\n", 413, "body_too_large";
    "oversized chunk")]
#[test_case(
    b"POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\n123", 408, "request_timeout";
    "stalled body")]
#[test_case(b"POST / HT", 408, "request_timeout"; "incomplete head")]
fn a_malformed_request_gets_a_specific_error_code(bytes: &[u8], status: u16, code: &str) {
    let fleet = start_fleet();
    let answer = send_raw(fleet.instances[0].addresses.callers, bytes);
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{answer}");
    assert!(answer.contains("x-turmericrelay-verdict: not-run"), "{answer}");
    let metrics = get(fleet.instances[0].addresses.operators, "/metrics").unwrap();
    assert!(metrics.contains("turmericrelay_refused_total{reason=\"request\"} 1"), "{metrics}");
}

#[test_case("nobody's key", json!({}), 401, "invalid_api_key"; "unknown key")]
#[test_case(API_KEY, json!([]), 400, "invalid_body"; "not an object")]
#[test_case(
    API_KEY, json!({"model": "x", "messages": []}), 404, "model_not_found"; "unknown model")]
fn a_request_that_cannot_be_routed_gets_a_specific_error_code(
    key: &str,
    body: serde_json::Value,
    status: u16,
    code: &str,
) {
    let fleet = start_fleet();
    let address = fleet.instances[0].addresses.callers;
    let answer = support::post_as(key, address, CHAT_PATH, &[], &body).unwrap();
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(answer.body.contains(code), "{answer:?}");
    assert_eq!(answer.verdict.as_deref(), Some("not-run"));
}

#[test]
fn incomplete_heads_an_endless_header_and_stalled_readers_block_no_other_caller() {
    let fleet = start_fleet();
    let address = fleet.instances[0].addresses.callers;
    let mut incomplete_heads: Vec<TcpStream> = (0..500).map(|_| connect(address)).collect();
    for stream in &mut incomplete_heads {
        stream.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost:").unwrap();
    }
    let mut stalled: Vec<TcpStream> = (0..20).map(|_| connect(address)).collect();
    let body = chat("a long answer that nobody reads", 20_000, true).to_string();
    for stream in &mut stalled {
        let head = format!(
            "POST {CHAT_PATH} HTTP/1.1\r\nauthorization: Bearer {API_KEY}\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(body.as_bytes()).unwrap();
    }
    let endless_header = std::thread::spawn(move || {
        let mut stream = connect(address);
        let _ = stream.write_all(b"GET / HTTP/1.1\r\nx: ");
        let block = vec![b'a'; 64 << 10];
        (0..3200).take_while(|_| stream.write_all(&block).is_ok()).count()
    });
    assert_still_serves(&fleet);
    let sent_blocks = endless_header.join().unwrap();
    assert!(sent_blocks < 3200, "the instance read all 3200 blocks of the header");
    assert_still_serves(&fleet);
    let memory = memory_kibibytes(fleet.instances[0].process.id());
    assert!(memory < MAX_MEMORY_KIBIBYTES, "{memory} KiB");
}

#[test]
fn concurrent_stalled_bodies_stay_within_the_memory_budget() {
    let fleet = start_fleet();
    let address = fleet.instances[0].addresses.callers;
    let head = "POST /v1/chat/completions HTTP/1.1\r\ncontent-length: 4000000\r\n\r\n";
    let partial_body = vec![b' '; 3_900_000];
    let mut stalled: Vec<TcpStream> = (0..16).map(|_| connect(address)).collect();
    for stream in &mut stalled {
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&partial_body);
    }
    let memory = memory_kibibytes(fleet.instances[0].process.id());
    assert!(memory < MAX_MEMORY_KIBIBYTES, "{memory} KiB");
    drop(stalled);
    support::wait_for("memory budget for another caller", || {
        let answer = post(address, CHAT_PATH, &[], &chat("now there is room", 5, true)).ok()?;
        (streamed_text(&answer.body)? == expected_answer("now there is room", 5)).then_some(())
    });
}

#[test]
fn odd_announcements_on_the_operators_port_get_400_and_displace_no_upstream() {
    let fleet = start_fleet();
    assert_still_serves(&fleet);
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let announcement = |field: &str, value: &str| {
        let mut announcement = json!({
            "upstream": "engine-1", "incarnation": i64::MAX, "data_centre": "giza",
            "address": "127.0.0.1:9", "protocol": "chat-completions", "models": ["caption-small"],
            "slots": 16, "expires_in": "3s",
        });
        announcement[field] = json!("VALUE");
        announcement.to_string().replace("\"VALUE\"", value)
    };
    let odd = [
        nested.clone(),
        "{\"odd\":".repeat(100_000),
        announcement("labels", &nested),
        announcement("address", "\"127.0.0.1:65536\""),
        announcement("address", "\"127.0.0.1:0\""),
        announcement("address", "\"0.0.0.0:9\""),
        announcement("slots", "4294967295"),
        announcement("slots", "1e400"),
        announcement("incarnation", "18446744073709551616"),
        announcement("incarnation", "18446744073709551615"),
        announcement("expires_in", "\"18446744073709551615d\""),
        announcement("protocol", &format!("\"{}\"", "p".repeat(1 << 20))),
    ];
    for body in odd.iter().cycle().take(3 * odd.len()) {
        let shown: String = body.chars().take(200).collect();
        let request = format!(
            "POST /announce HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = send_raw(fleet.instances[0].addresses.operators, request.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 400 "), "{shown}: {answer}");
        assert!(answer.contains("invalid_announcement") && answer.len() < 2048, "{answer}");
        assert_still_serves(&fleet);
    }
}

#[test]
fn startup_names_the_port_that_is_in_use() {
    let mut fleet = start_fleet();
    let instance = &fleet.instances[0];
    let arguments =
        ["serve", "--settings", &instance.settings.display().to_string()].map(String::from);
    let log = fleet.folder.path().join("second.log");
    let mut second_process = support::Process::start(&arguments, log);
    assert_eq!(second_process.wait(), Some(1));
    let text = second_process.log_text();
    assert!(text.contains("cannot listen for callers on"), "{text}");
    assert!(text.contains("help: choose a free port"), "{text}");
    fleet.kill(0);
}
