//! Requests of the own interface at an upstream that sends an earlier refusal once more on a kept
//! connection.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use support::worker::{HttpResponse, read_attempt, send_request};
use support::{API_KEY, Fleet, post, wait_for};

/// Time between the repeated refusal and the answer.
const PAUSE: Duration = Duration::from_millis(30);

/// What the upstream has done.
#[derive(Default)]
struct Record {
    has_refused: bool,
    runs: Vec<String>,
}

/// Refuses the first request of all. The next request on the same connection runs, and the refusal
/// is sent once more before its answer. Other requests run and are answered.
fn serve(record: &Mutex<Record>, mut stream: TcpStream) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut repeats_refusal = false;
    let refusal = |id_line: &str| {
        format!(
            "HTTP/1.1 503 No\r\n{id_line}x-turmericrelay-verdict: not-run\r\n\
             content-length: 0\r\n\r\n"
        )
    };
    loop {
        let (path, id) = read_attempt(&mut reader)?;
        let id_line = format!("x-attempt-id: {id}\r\n");
        if !std::mem::replace(&mut record.lock().unwrap().has_refused, true) {
            repeats_refusal = true;
            stream.write_all(refusal(&id_line).as_bytes()).ok()?;
            continue;
        }
        record.lock().unwrap().runs.push(path);
        if std::mem::take(&mut repeats_refusal) {
            stream.write_all(refusal("").as_bytes()).ok()?;
            std::thread::sleep(PAUSE);
        }
        write!(stream, "HTTP/1.1 200 OK\r\n{id_line}content-length: 2\r\n\r\n{{}}").ok()?;
    }
}

struct Deployment {
    _fleet: Fleet,
    callers: SocketAddr,
    record: Arc<Mutex<Record>>,
}

impl Deployment {
    /// Starts an instance and an upstream whose connection has carried a refusal.
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let record = Arc::new(Mutex::new(Record::default()));
        let accepting = record.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let record = accepting.clone();
                std::thread::spawn(move || serve(&record, stream));
            }
        });
        let fleet = Fleet::start(&["giza"]);
        let announcement = json!({
            "upstream": "shop-1", "incarnation": 1, "data_centre": "giza",
            "address": address.to_string(), "protocol": "plain", "models": [], "slots": 8,
            "labels": { "app": "shop" }, "expires_in": "300s",
        });
        let addresses = fleet.instances[0].addresses.clone();
        post(addresses.operators, "/announce", &[], &announcement).unwrap();
        let deployment = Self { _fleet: fleet, callers: addresses.callers, record };
        wait_for("a refusal of the upstream", || {
            let answer = deployment.read("/menu");
            deployment.record.lock().unwrap().has_refused.then_some(answer)
        });
        deployment
    }

    fn read(&self, path: &str) -> HttpResponse {
        let key = format!("Bearer {API_KEY}");
        let headers = [("authorization", key.as_str())];
        send_request(self.callers, "GET", &format!("/services/shop{path}"), &headers, "").unwrap()
    }

    fn runs_of(&self, path: &str) -> usize {
        self.record.lock().unwrap().runs.iter().filter(|run| *run == path).count()
    }
}

/// Guards against a late refusal that tells a caller that its request did not run.
#[test]
fn a_request_that_ran_is_not_reported_as_not_run_after_a_repeated_refusal() {
    let deployment = Deployment::start();
    let answer = deployment.read("/tables");
    assert_eq!(deployment.runs_of("/tables"), 1);
    let verdict = answer.headers.get("x-turmericrelay-verdict").map(String::as_str);
    assert_ne!(verdict, Some("not-run"), "status {}", answer.status);
}

/// Guards against a booking on a connection whose earlier refusal can be taken for its own.
#[test]
fn a_booking_takes_no_connection_that_carried_a_refusal() {
    let deployment = Deployment::start();
    let path = "/services/shop/bookings";
    let answer = post(deployment.callers, path, &[], &json!({ "table": 4 })).unwrap();
    assert_eq!((answer.status, deployment.runs_of("/bookings")), (200, 1));
}
