//! Callers of each kind of work, which use their connections until these end.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::machines::KEY;
use crate::support::worker::{Exchange, read_answer, whole_stream};
use crate::verdicts::Verdicts;

/// Callers at a time; they come back to one entry instance or another.
const COUNT: u64 = 12;

/// The time that a request has, and how long its caller waits beyond.
const LIMIT: Duration = Duration::from_millis(3000);
const PATIENCE: Duration = Duration::from_millis(2000);

/// Longest pause between two requests of a caller.
const MAX_PAUSE_MILLIS: u64 = 120;

/// A kind of work: its path, and whether it may run once at most.
struct Kind {
    name: &'static str,
    path: &'static str,
    is_once: bool,
    is_stream: bool,
}

const KINDS: [Kind; 4] = [
    Kind { name: "caption", path: "/captions/1", is_once: false, is_stream: true },
    Kind { name: "report", path: "/reports/1", is_once: true, is_stream: true },
    Kind { name: "booking", path: "/bookings/1", is_once: true, is_stream: false },
    Kind { name: "album", path: "/albums/1", is_once: false, is_stream: false },
];

/// The running callers.
pub struct Callers {
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    pub fn start(
        entries: &[SocketAddr],
        seed: u64,
        is_over: &Arc<AtomicBool>,
        verdicts: &Arc<Verdicts>,
    ) -> Self {
        let start = |number: u64| {
            let caller = Caller {
                number,
                entries: entries.to_vec(),
                random: Pcg64Mcg::seed_from_u64(seed * 1000 + number),
                verdicts: verdicts.clone(),
                stream: None,
                sent: 0,
            };
            let is_over = is_over.clone();
            std::thread::spawn(move || caller.run(&is_over))
        };
        Self { threads: (0..COUNT).map(start).collect() }
    }

    pub fn join(self) {
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
    }
}

struct Caller {
    number: u64,
    entries: Vec<SocketAddr>,
    random: Pcg64Mcg,
    verdicts: Arc<Verdicts>,
    /// The open connection, with requests already answered on it.
    stream: Option<TcpStream>,
    sent: u64,
}

impl Caller {
    fn run(mut self, is_over: &AtomicBool) {
        while !is_over.load(Ordering::Relaxed) {
            let kind = &KINDS[self.random.random_range(0..KINDS.len())];
            self.sent += 1;
            let id = format!("{}-{}-{}", kind.name, self.number, self.sent);
            let began = Instant::now();
            match self.call(kind, &id) {
                Ok(answer) => self.judge(kind, &id, &answer, began.elapsed()),
                Err(_) => {
                    self.stream = None;
                    self.verdicts.answered(kind.name, 0);
                }
            }
            let pause = self.random.random_range(0..MAX_PAUSE_MILLIS);
            std::thread::sleep(Duration::from_millis(pause));
        }
    }

    fn connection(&mut self) -> std::io::Result<TcpStream> {
        if let Some(stream) = self.stream.take() {
            return Ok(stream);
        }
        let entry = self.entries[self.random.random_range(0..self.entries.len())];
        let stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(LIMIT + PATIENCE))?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn call(&mut self, kind: &Kind, id: &str) -> std::io::Result<Exchange> {
        let mut stream = self.connection()?;
        let body = format!("body of {id}");
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: api.example\r\nRequest-Id: {id}\r\n\
             Authorization: Token {KEY}\r\nDeadline-Remaining: {}\r\n\
             Prompt-Prefix: {:x}:400,{:x}:20\r\nToken-Counts: 420,40\r\nContent-Length: {}\r\n\r\n",
            kind.path,
            LIMIT.as_millis(),
            self.number % 3 + 1,
            self.sent,
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body.as_bytes())?;
        let answer = read_answer(&mut BufReader::new(&stream))?;
        let closes = answer.headers.get("connection").is_some_and(|value| value == "close");
        if answer.is_whole && !closes {
            self.stream = Some(stream);
        }
        Ok(answer)
    }

    fn judge(&self, kind: &Kind, id: &str, answer: &Exchange, took: Duration) {
        let verdicts = &self.verdicts;
        let status = answer.status;
        verdicts.answered(kind.name, status);
        let text = answer.text();
        let stamp = answer.headers.get("server-stamp");
        match status {
            200 => {
                verdicts.check(stamp.is_some(), || format!("{id}: 200 without a stamp"));
                let expected = match (kind.is_stream, stamp) {
                    (true, _) => whole_stream(id),
                    (false, stamp) => {
                        format!("{} ran {}", stamp.map_or("", String::as_str), kind.path)
                    }
                };
                let is_right = match answer.is_whole {
                    true => text == expected,
                    false => expected.starts_with(&text),
                };
                verdicts.check(is_right, || format!("{id}: wrong answer {text:?}"));
            }
            408 | 421 | 429 | 503 => {
                verdicts.check(stamp.is_none(), || format!("{id}: {status} with a stamp"));
                if kind.is_once {
                    verdicts.not_run(id.to_string());
                }
                let wait = answer.headers.get("retry-after").and_then(|one| one.parse().ok());
                let is_usable = wait.is_none_or(|wait: f64| wait <= LIMIT.as_secs_f64() / 3.0);
                verdicts.check(is_usable, || format!("{id}: come back after {wait:?} s"));
            }
            500 => verdicts.check(text == "oops", || format!("{id}: 500 with {text:?}")),
            502 | 504 => {
                verdicts.check(stamp.is_none(), || format!("{id}: {status} with a stamp"));
            }
            _ => verdicts.broken(format!("{id}: status {status}, {text:?}")),
        }
        // Beyond its time limit a request has its final answer at once, unless its answer began.
        let is_late = status != 200 && took > LIMIT + PATIENCE / 2;
        verdicts.check(!is_late, || format!("{id}: {status} after {took:?}"));
    }
}
