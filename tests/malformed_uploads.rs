//! End-to-end tests of requests that break a rule of HTTP/1.1, at both interfaces: no part of one
//! runs, and a request that keeps to the rules is served.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use support::machines::{KEY, Machines, document};
use support::malformed::{self, UploadFault};
use support::script::{Arrival, send_text};
use support::worker::{HttpResponse, Worker, read_response};
use support::{API_KEY, BOOKINGS, Fleet, wait_for};
use test_case::test_case;

const ARRIVALS: [Arrival; 3] = [Arrival::AtOnce, Arrival::ByteByByte, Arrival::Split];

/// Limit on the time for an answer. A refusal is sent at once.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

const BODY: &str = "{\"family\": \"nasr\", \"seats\": 4}";

fn fields(id: usize) -> String {
    format!(
        "Host: api.example\r\nRequest-Id: upload-{id}\r\nAuthorization: Token {KEY}\r\n\
         Deadline-Remaining: 3000\r\n"
    )
}

/// Sends a request; `None` if the connection ended without a whole head of an answer.
fn send(address: SocketAddr, text: &str, arrival: Arrival) -> Option<HttpResponse> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    // The instance may refuse the request before all of it was sent.
    let _ = send_text(&mut stream, text, arrival);
    read_response(&mut BufReader::new(stream)).ok()
}

struct Deployment {
    machines: Machines,
    worker: Worker,
}

impl Deployment {
    fn start() -> Self {
        let machines = Machines::start(1, 1);
        let worker = Worker::start("i-shop-1", "shop", machines.seeds());
        machines.put_document_until_acknowledged(&document(7));
        machines.wait_ready(7);
        wait_for("arrival of the upstream at the entry instance", || {
            (!machines.entries[0].events("upstream").is_empty()).then_some(())
        });
        Self { machines, worker }
    }

    fn callers(&self) -> SocketAddr {
        self.machines.entries[0].callers()
    }
}

/// Guards against a part of a request that runs as a booking, and against bytes of a body that are
/// read as another request.
#[test_case(UploadFault::Length; "length of the body")]
#[test_case(UploadFault::Line; "line that is no field")]
#[test_case(UploadFault::Chunks; "chunks")]
fn no_part_of_a_malformed_request_reaches_an_upstream(fault: UploadFault) {
    let deployment = Deployment::start();
    let uploads = malformed::uploads(fault, "/bookings/1", &fields(1), BODY);
    let mut faults = Vec::new();
    for arrival in ARRIVALS {
        for text in &uploads {
            let answer = send(deployment.callers(), text, arrival);
            let status = answer.as_ref().map(|answer| answer.status);
            let runs = deployment.worker.received_requests();
            if status != Some(400) || !runs.is_empty() {
                faults.push(format!("{arrival:?}, {text:?}: {status:?}, {} runs", runs.len()));
                deployment.worker.forget_requests();
            }
        }
    }
    let plays = uploads.len() * ARRIVALS.len();
    assert!(faults.is_empty(), "{} of {plays} plays: {faults:#?}", faults.len());
}

/// Guards against a malformed request at the product's own interface that is not refused as such.
#[test_case(UploadFault::Length; "length of the body")]
#[test_case(UploadFault::Line; "line that is no field")]
#[test_case(UploadFault::Chunks; "chunks")]
fn a_malformed_request_at_the_own_interface_is_refused(fault: UploadFault) {
    let fleet = Fleet::start(&["giza"]);
    let fields = format!(
        "host: a\r\nauthorization: Bearer {API_KEY}\r\ncontent-type: application/json\r\n\
         x-turmericrelay-deadline: 3s\r\n"
    );
    let uploads = malformed::uploads(fault, BOOKINGS, &fields, BODY);
    let mut faults = Vec::new();
    for arrival in ARRIVALS {
        for text in &uploads {
            let answer = send(fleet.instances[0].addresses.callers, text, arrival);
            let is_refused = answer.as_ref().is_some_and(|answer| {
                answer.status == 400 && answer.text().contains("malformed_request")
            });
            if !is_refused {
                faults.push(format!("{arrival:?}, {text:?}: {answer:?}"));
            }
        }
    }
    let plays = uploads.len() * ARRIVALS.len();
    assert!(faults.is_empty(), "{} of {plays} plays: {faults:#?}", faults.len());
}

/// Sends `text` and returns the first two answers on its connection.
fn send_twofold(address: SocketAddr, text: &str) -> [Option<HttpResponse>; 2] {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let _ = send_text(&mut stream, text, Arrival::AtOnce);
    let mut reader = BufReader::new(stream);
    [read_response(&mut reader).ok(), read_response(&mut reader).ok()]
}

/// Returns `POST` requests for `path` whose length is less than that of their body. The rest of the body
/// is the beginning of the next request.
fn short_uploads(path: &str, fields: &str) -> Vec<String> {
    let upload = |length: usize| {
        format!("POST {path} HTTP/1.1\r\n{fields}content-length: {length}\r\n\r\n{BODY}")
    };
    [0, 1, 9, 15, 18, BODY.len() - 1].map(upload).to_vec()
}

/// Returns whether `answer` refuses a malformed request and closes the connection.
fn is_refusal(answer: Option<&HttpResponse>) -> bool {
    answer.is_some_and(|answer| {
        let connection = answer.headers.get("connection");
        answer.status == 400 && connection.is_some_and(|value| value == "close")
    })
}

/// Guards against the rest of a body that runs as a request of its own, because the length of the request
/// is too small. By the pages its first part is a whole request.
#[test]
fn the_rest_of_a_request_behind_its_length_is_refused() {
    let deployment = Deployment::start();
    for text in short_uploads("/bookings/1", &fields(1)) {
        let [first, second] = send_twofold(deployment.callers(), &text);
        assert_eq!(first.map(|answer| answer.status), Some(200), "{text:?}");
        assert!(is_refusal(second.as_ref()), "{text:?}: {second:?}");
        assert_eq!(deployment.worker.received_requests().len(), 1, "{text:?}");
        deployment.worker.forget_requests();
    }
}

/// Guards against the same at the product's own interface.
#[test]
fn the_rest_of_a_request_at_the_own_interface_behind_its_length_is_refused() {
    let fleet = Fleet::start(&["giza"]);
    let fields = format!("host: a\r\nauthorization: Bearer {API_KEY}\r\n");
    for text in short_uploads(BOOKINGS, &fields) {
        let [_, second] = send_twofold(fleet.instances[0].addresses.callers, &text);
        assert!(is_refusal(second.as_ref()), "{text:?}: {second:?}");
        assert!(second.unwrap().text().contains("malformed_request"), "{text:?}");
    }
}

/// Guards against the refusal of a body that keeps to the rules.
#[test_case("content-length: 30\r\n\r\n", BODY; "length")]
#[test_case("content-length: \t 00030\t \r\n\r\n", BODY; "length with zeros and blanks")]
#[test_case("transfer-encoding: Chunked\r\n\r\n", "1e\r\n{\"family\": \"nasr\", \"seats\": 4}\r\n0\r\n\r\n"; "chunk")]
#[test_case("transfer-encoding:chunked \r\n\r\n", "001E \t; a = b ;c=\"d\\\" ;\"\r\n{\"family\": \"nasr\", \"seats\": 4}\r\n000;x\r\n\r\n"; "zeros and extensions")]
fn a_request_that_keeps_to_the_rules_is_served(framing: &str, encoded: &str) {
    let deployment = Deployment::start();
    for arrival in [Arrival::AtOnce, Arrival::ByteByByte] {
        let text = format!("POST /bookings/1 HTTP/1.1\r\n{}{framing}{encoded}", fields(1));
        let answer = send(deployment.callers(), &text, arrival).unwrap();
        assert_eq!((answer.status, answer.is_complete), (200, true), "{}", answer.text());
    }
    let runs = deployment.worker.received_requests();
    assert_eq!(runs.len(), 2);
    for run in runs {
        assert_eq!(String::from_utf8_lossy(&run.body), BODY);
    }
}
