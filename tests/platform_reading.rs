//! Tests of operators that read a large document concurrently. No answer is truncated, and an
//! operator that cannot be served in time is redirected or refused with `Retry-After`.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use support::machines::{Machines, document, put_document};
use support::wait_for;
use support::worker::{HttpResponse, send_request_with_timeout};

/// Number of routes in a large document: about 260 KB, which takes 0.7 s on a link of 3 Mbit/s.
const ROUTE_COUNT: usize = 1000;

/// Number of operators that read from one instance concurrently.
const OPERATOR_COUNT: usize = 8;

/// Time after which an operator gives up.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of redirects that an operator follows.
const MAX_REDIRECTS: usize = 2;

fn large_document(number: u64) -> Value {
    let mut document = document(number);
    let routes = document["routes"].as_array_mut().unwrap();
    let template = routes[3].clone();
    for index in 0..ROUTE_COUNT {
        let mut route = template.clone();
        route["name"] = format!("album-{index}").into();
        route["path-prefix"] = format!("/album-{index}/").into();
        routes.push(route);
    }
    document
}

fn read(address: SocketAddr, path: &str) -> HttpResponse {
    send_request_with_timeout(address, "GET", path, &[], "", 5).unwrap()
}

/// Reads the document as an operator that follows redirects. Returns the last answer and the time
/// until it was complete.
fn read_document(address: SocketAddr) -> (HttpResponse, Duration) {
    let started = Instant::now();
    let mut answer = read(address, "/v1/configuration");
    for _ in 0..MAX_REDIRECTS {
        if answer.status != 307 {
            break;
        }
        let location = answer.headers["location"].strip_prefix("http://").unwrap();
        let (address, path) = location.split_once('/').unwrap();
        answer = read(address.parse().unwrap(), &format!("/{path}"));
    }
    (answer, started.elapsed())
}

/// Returns the number of the document in an answer; `None` if the body is no document.
fn document_number(answer: &HttpResponse) -> Option<u64> {
    let document: Value = serde_json::from_slice(&answer.body).ok()?;
    document["version"].as_u64()
}

/// Starts three control instances that have discovered each other and hold a large document.
fn start_machines() -> Machines {
    let machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(&document(5));
    let first = &machines.controls[0];
    wait_for("discovery of the other control instances", || {
        let page =
            send_request_with_timeout(first.metrics(), "GET", "/metrics", &[], "", 5).ok()?;
        page.text().lines().any(|line| line.ends_with("_followed 2")).then_some(())
    });
    let text = large_document(6).to_string();
    wait_for("acknowledgement of the document", || {
        let answer = put_document(first.control(), &text).ok()?;
        (answer.status == 200).then_some(())
    });
    machines
}

#[test]
fn concurrent_reads_of_a_large_document_are_answered_redirected_or_refused() {
    let machines = start_machines();
    let address = machines.controls[0].control();
    let operators: Vec<_> =
        (0..OPERATOR_COUNT).map(|_| std::thread::spawn(move || read_document(address))).collect();
    let answers: Vec<_> = operators.into_iter().map(|operator| operator.join().unwrap()).collect();
    for (answer, elapsed) in &answers {
        let text = answer.text();
        println!("{} after {elapsed:?}, {} bytes: {:.90}", answer.status, text.len(), text);
    }
    let served: Vec<_> = answers.iter().filter(|(answer, _)| answer.status == 200).collect();
    assert!(
        served.iter().all(|(answer, _)| answer.is_complete && document_number(answer) == Some(6))
    );
    assert!(served.len() >= 3, "each of the three instances can serve one reader");
    let in_time = served.iter().filter(|(_, elapsed)| *elapsed <= OPERATOR_TIMEOUT).count();
    assert!(in_time >= 2, "{in_time} of {}", served.len());
    for (answer, elapsed) in answers.iter().filter(|(answer, _)| answer.status != 200) {
        assert!(matches!(answer.status, 307 | 503), "{}", answer.status);
        assert!(answer.status == 307 || answer.headers.contains_key("retry-after"));
        assert!(*elapsed < OPERATOR_TIMEOUT, "a refusal must be prompt: {elapsed:?}");
    }
}

#[test]
fn a_reader_that_disconnects_frees_its_slot() {
    let machines = start_machines();
    let address = machines.controls[0].control();
    for _ in 0..5 {
        let stream = std::net::TcpStream::connect(address).unwrap();
        let request = b"GET /v1/configuration HTTP/1.1\r\nHost: api.example\r\n\r\n";
        std::io::Write::write_all(&mut &stream, request).unwrap();
        std::thread::sleep(Duration::from_millis(100));
        drop(stream);
        std::thread::sleep(Duration::from_millis(50));
    }
    let (answer, elapsed) = read_document(address);
    assert!(answer.status == 200 && answer.is_complete, "{}", answer.status);
    assert!(elapsed <= OPERATOR_TIMEOUT, "{elapsed:?}");
}
