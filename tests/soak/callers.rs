//! Callers that send requests of every kind and reuse each connection until it closes.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::recorder::Recorder;
use crate::support::caller_threads::CallerThreads;
use crate::support::machines::KEY;
use crate::support::worker::{HttpResponse, complete_stream, read_response};

/// Number of concurrent callers; each new connection goes to a random entry instance.
const CALLER_COUNT: u64 = 12;

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(3000);

/// Time that a caller waits for a response beyond the deadline.
const GRACE: Duration = Duration::from_millis(2000);

/// Longest pause of a caller between two requests.
const MAX_PAUSE_MILLIS: u64 = 120;

/// A kind of request.
struct Kind {
    name: &'static str,
    path: &'static str,
    /// Whether a request may be executed at most once.
    is_at_most_once: bool,
    /// Whether the answer is an event stream.
    is_stream: bool,
}

const KINDS: [Kind; 4] = [
    Kind { name: "caption", path: "/captions/1", is_at_most_once: false, is_stream: true },
    Kind { name: "report", path: "/reports/1", is_at_most_once: true, is_stream: true },
    Kind { name: "booking", path: "/bookings/1", is_at_most_once: true, is_stream: false },
    Kind { name: "album", path: "/albums/1", is_at_most_once: false, is_stream: false },
];

/// Starts the callers, which run until `is_stopped` is set.
pub fn start(
    entries: &[SocketAddr],
    seed: u64,
    is_stopped: &Arc<AtomicBool>,
    recorder: &Arc<Recorder>,
) -> CallerThreads {
    let (entries, recorder) = (entries.to_vec(), recorder.clone());
    CallerThreads::start(CALLER_COUNT, seed, is_stopped, move |index, random, is_stopped| {
        let (entries, recorder) = (entries.clone(), recorder.clone());
        let caller = Caller { index, entries, random, recorder, stream: None, sent_count: 0 };
        caller.run(is_stopped);
    })
}

struct Caller {
    index: u64,
    entries: Vec<SocketAddr>,
    random: Pcg64Mcg,
    recorder: Arc<Recorder>,
    /// Open connection on which earlier requests have been answered.
    stream: Option<TcpStream>,
    sent_count: u64,
}

impl Caller {
    fn run(mut self, is_stopped: &AtomicBool) {
        while !is_stopped.load(Ordering::Relaxed) {
            let kind = &KINDS[self.random.random_range(0..KINDS.len())];
            self.sent_count += 1;
            let id = format!("{}-{}-{}", kind.name, self.index, self.sent_count);
            let start = Instant::now();
            match self.call(kind, &id) {
                Ok(answer) => self.check_answer(kind, &id, &answer, start.elapsed()),
                Err(_) => {
                    self.stream = None;
                    self.recorder.record_answer(kind.name, 0);
                }
            }
            let pause = self.random.random_range(0..MAX_PAUSE_MILLIS);
            std::thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Returns the open connection, or a new one to a random entry instance.
    fn connection(&mut self) -> std::io::Result<TcpStream> {
        if let Some(stream) = self.stream.take() {
            return Ok(stream);
        }
        let entry = self.entries[self.random.random_range(0..self.entries.len())];
        let stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(DEADLINE + GRACE))?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn call(&mut self, kind: &Kind, id: &str) -> std::io::Result<HttpResponse> {
        let mut stream = self.connection()?;
        let body = format!("body of {id}");
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: api.example\r\nRequest-Id: {id}\r\n\
             Authorization: Token {KEY}\r\nDeadline-Remaining: {}\r\n\
             Prompt-Prefix: {:x}:400,{:x}:20\r\nToken-Counts: 420,40\r\nContent-Length: {}\r\n\r\n",
            kind.path,
            DEADLINE.as_millis(),
            self.index % 3 + 1,
            self.sent_count,
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body.as_bytes())?;
        let answer = read_response(&mut BufReader::new(&stream))?;
        let is_closing = answer.headers.get("connection").is_some_and(|value| value == "close");
        if answer.is_complete && !is_closing {
            self.stream = Some(stream);
        }
        Ok(answer)
    }

    /// Checks an answer against its status: the stamp of the upstream, the body, and the time.
    fn check_answer(&self, kind: &Kind, id: &str, answer: &HttpResponse, elapsed: Duration) {
        let recorder = &self.recorder;
        let status = answer.status;
        recorder.record_answer(kind.name, status);
        let text = answer.text();
        let stamp = answer.headers.get("server-stamp");
        match status {
            200 => {
                recorder.check(stamp.is_some(), || format!("{id}: 200 without a stamp"));
                let expected = match (kind.is_stream, stamp) {
                    (true, _) => complete_stream(id),
                    (false, stamp) => {
                        format!("{} ran {}", stamp.map_or("", String::as_str), kind.path)
                    }
                };
                let is_right = match answer.is_complete {
                    true => text == expected,
                    false => expected.starts_with(&text),
                };
                recorder.check(is_right, || format!("{id}: wrong answer {text:?}"));
            }
            408 | 421 | 429 | 503 => {
                recorder.check(stamp.is_none(), || format!("{id}: {status} with a stamp"));
                if kind.is_at_most_once {
                    recorder.record_not_run(id.to_string());
                }
                let delay = answer.headers.get("retry-after").and_then(|value| value.parse().ok());
                let is_short = delay.is_none_or(|delay: f64| delay <= DEADLINE.as_secs_f64() / 3.0);
                recorder.check(is_short, || format!("{id}: retry-after of {delay:?} s"));
            }
            500 => recorder.check(text == "oops", || format!("{id}: 500 with body {text:?}")),
            502 | 504 => {
                recorder.check(stamp.is_none(), || format!("{id}: {status} with a stamp"));
            }
            _ => recorder
                .record_violation(format!("{id}: unexpected status {status}, body {text:?}")),
        }
        // A request gets its final answer soon after its deadline, unless the answer has begun by
        // then.
        let is_late = status != 200 && elapsed > DEADLINE + GRACE / 2;
        recorder.check(!is_late, || format!("{id}: {status} after {elapsed:?}"));
    }
}
