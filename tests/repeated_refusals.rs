//! Bookings at an upstream that sends an earlier refusal once more on a kept connection, or a
//! status that callers take for a refusal after it has run the booking.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use support::machines::{KEY, Machines, document};
use support::wait_for;
use support::worker::{HttpResponse, Worker, send_request};
use test_case::test_case;

/// Statuses that promise callers that their request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Time between the repeated refusal and the answer, or between pieces of the repeated refusal.
const PAUSE: Duration = Duration::from_millis(30);

/// Bookings for each status and delivery, so that the connections of earlier ones are reused.
const BOOKINGS: usize = 3;

/// How the repeated refusal arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Whole,
    InTwoPieces,
    WithTheFirstBytesOfTheAnswer,
}

/// What the upstream sends.
#[derive(Debug, Clone, Copy)]
enum Mode {
    /// Refuses each booking once, and sends the refusal once more before the next answer on the
    /// connection.
    Repeat { status: u16, keeps_id: bool, delivery: Delivery },
    /// Runs each booking and answers with a status that callers take for a refusal.
    Unproven(u16),
    /// Runs each booking, and sends the previous answer on the connection once more before the next
    /// one, without an id.
    Copy(u16),
}

struct State {
    mode: Mutex<Mode>,
    refused: Mutex<Vec<String>>,
    runs: Mutex<Vec<String>>,
}

impl State {
    fn runs_of(&self, id: &str) -> usize {
        self.runs.lock().unwrap().iter().filter(|run| *run == id).count()
    }

    /// Returns whether the booking `id` is refused now, which happens once.
    fn refuses(&self, id: &str) -> bool {
        let mut refused = self.refused.lock().unwrap();
        let is_new = !refused.iter().any(|other| other == id);
        if is_new {
            refused.push(id.to_string());
        }
        is_new
    }
}

/// Reads a request and returns its id.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end().split_once(": ") {
            Some(("request-id", value)) => id = value.to_string(),
            Some(("content-length", value)) => length = value.parse().ok()?,
            _ if line == "\r\n" => break,
            _ => {}
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(id)
}

fn refusal(status: u16, id: Option<&str>) -> String {
    let id = id.map_or(String::new(), |id| format!("request-id: {id}\r\n"));
    let proof = if status == 421 { "" } else { "not-executed: 1\r\n" };
    format!("HTTP/1.1 {status} No\r\n{id}{proof}content-length: 0\r\n\r\n")
}

fn answer(status: u16, id: &str) -> String {
    format!(
        "HTTP/1.1 {status} Done\r\nrequest-id: {id}\r\nserver-stamp: i-shop\r\n\
         content-length: 4\r\n\r\ndone"
    )
}

fn serve(state: &State, mut stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut earlier: Option<String> = None;
    loop {
        let id = read_request(&mut reader)?;
        let mode = *state.mode.lock().unwrap();
        match (mode, earlier.take()) {
            (Mode::Unproven(status), _) => {
                state.runs.lock().unwrap().push(id.clone());
                stream.write_all(answer(status, &id).as_bytes()).ok()?;
            }
            (Mode::Copy(status), copy) => {
                state.runs.lock().unwrap().push(id.clone());
                let own = answer(status, &id);
                stream.write_all((copy.unwrap_or_default() + &own).as_bytes()).ok()?;
                earlier = Some(own.replace(&format!("request-id: {id}\r\n"), ""));
            }
            (Mode::Repeat { delivery, .. }, Some(earlier)) => {
                state.runs.lock().unwrap().push(id.clone());
                let pieces = match delivery {
                    Delivery::Whole => [earlier, answer(200, &id)],
                    Delivery::InTwoPieces => {
                        let (first, second) = earlier.split_at(earlier.len() / 2);
                        [first.to_string(), format!("{second}{}", answer(200, &id))]
                    }
                    Delivery::WithTheFirstBytesOfTheAnswer => {
                        let answer = answer(200, &id);
                        let (first, second) = answer.split_at(9);
                        [format!("{earlier}{first}"), second.to_string()]
                    }
                };
                for piece in pieces {
                    stream.write_all(piece.as_bytes()).ok()?;
                    std::thread::sleep(PAUSE);
                }
            }
            (Mode::Repeat { status, keeps_id, .. }, None) if state.refuses(&id) => {
                // After a 421 the upstream would get no further request.
                let first_status = if status == 421 { 503 } else { status };
                stream.write_all(refusal(first_status, Some(&id)).as_bytes()).ok()?;
                earlier = Some(refusal(status, keeps_id.then_some(&id)));
            }
            (Mode::Repeat { .. }, None) => {
                state.runs.lock().unwrap().push(id.clone());
                stream.write_all(answer(200, &id).as_bytes()).ok()?;
            }
        }
    }
}

struct Deployment {
    machines: Machines,
    state: Arc<State>,
    /// Announces the address of the upstream.
    _announcer: Worker,
}

impl Deployment {
    /// Starts one control and one entry instance with one upstream for bookings.
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mode = Mutex::new(Mode::Unproven(200));
        let state = Arc::new(State { mode, refused: Mutex::default(), runs: Mutex::default() });
        let accepting = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = accepting.clone();
                std::thread::spawn(move || serve(&state, stream));
            }
        });
        let machines = Machines::start(1, 1);
        let announcer = Worker::start_advertising("i-shop", "shop", machines.seeds(), |_| address);
        machines.put_document_until_acknowledged(&document(7));
        machines.wait_ready(7);
        wait_for("the upstream at the entry instance", || {
            (!machines.entries[0].events("upstream").is_empty()).then_some(())
        });
        Self { machines, state, _announcer: announcer }
    }

    fn book(&self, id: &str) -> HttpResponse {
        let address: SocketAddr = self.machines.entries[0].callers();
        let key = format!("Token {KEY}");
        let mut headers = vec![("Authorization", key.as_str()), ("Deadline-Remaining", "5000")];
        if !id.is_empty() {
            headers.push(("Request-Id", id));
        }
        send_request(address, "POST", "/bookings/1", &headers, "a booking").unwrap()
    }

    /// Books and checks that the booking ran at most once, and not at all if it was refused.
    fn check_booking(&self, id: &str) -> u16 {
        let answer = self.book(id);
        // A further copy of the booking may still be on its way to the upstream.
        std::thread::sleep(2 * PAUSE);
        let runs = self.state.runs_of(id);
        assert!(runs <= 1, "{id} ran {runs} times and was answered {}", answer.status);
        let is_promise = PROMISES.contains(&answer.status);
        assert!(!is_promise || runs == 0, "{id} was answered {} and has run", answer.status);
        answer.status
    }
}

/// Guards against a refusal of an earlier copy of a booking that counts for the copy that runs.
#[test_case(true; "with the id of the refused booking")]
#[test_case(false; "without an id")]
fn a_repeated_refusal_says_nothing_about_the_booking_that_runs(keeps_id: bool) {
    let deployment = Deployment::start();
    for status in [503, 429, 408, 400, 421] {
        for delivery in
            [Delivery::Whole, Delivery::InTwoPieces, Delivery::WithTheFirstBytesOfTheAnswer]
        {
            *deployment.state.mode.lock().unwrap() = Mode::Repeat { status, keeps_id, delivery };
            let book =
                |number| deployment.check_booking(&format!("{status}-{delivery:?}-{number}"));
            let answers: Vec<u16> = (0..BOOKINGS).map(book).collect();
            let is_expected = match keeps_id {
                true => answers == [200; BOOKINGS],
                false => answers.contains(&502),
            };
            assert!(is_expected, "{status}, {delivery:?}: {answers:?}");
        }
    }
}

/// Guards against a refusal of another booking that counts for one without an id to compare.
#[test]
fn a_repeated_refusal_says_nothing_about_a_booking_without_an_id() {
    let deployment = Deployment::start();
    let (status, delivery) = (503, Delivery::Whole);
    *deployment.state.mode.lock().unwrap() = Mode::Repeat { status, keeps_id: true, delivery };
    assert_eq!(deployment.check_booking("other"), 200);
    assert_eq!(deployment.check_booking(""), 200);
}

/// Guards against a booking that ran and is answered as if it had not.
#[test]
fn a_status_without_proof_does_not_refuse_a_booking_that_ran() {
    let deployment = Deployment::start();
    for status in [503, 429, 408] {
        *deployment.state.mode.lock().unwrap() = Mode::Unproven(status);
        let id = format!("unproven-{status}");
        assert_eq!(deployment.check_booking(&id), 502, "{id}");
        assert_eq!(deployment.state.runs_of(&id), 1, "{id}");
    }
}

/// Guards against an answer to another booking that reaches a caller.
#[test_case(200; "success")]
#[test_case(404; "failure")]
fn a_late_answer_without_an_id_reaches_no_other_caller(status: u16) {
    let deployment = Deployment::start();
    *deployment.state.mode.lock().unwrap() = Mode::Copy(status);
    assert_eq!(deployment.check_booking("first"), status);
    assert_eq!(deployment.check_booking("second"), 502);
}
