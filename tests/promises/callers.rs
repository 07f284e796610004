//! Callers that keep connections, pipeline, leave early, send slowly, and have short deadlines.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::ledger::Ledger;
use crate::support::caller_threads::CallerThreads;
use crate::support::machines::KEY;
use crate::support::script::reset_on_close;
use crate::support::worker::read_response;

const CALLER_COUNT: u64 = 28;

/// Range of the time that a caller waits for an answer, as powers of two of milliseconds.
const DEADLINE_EXPONENTS: (f64, f64) = (4.3, 11.0);

/// Time that a caller waits for an answer beyond its deadline.
const GRACE: Duration = Duration::from_millis(2500);

/// Longest pause of a caller between two requests.
const MAX_PAUSE_MILLIS: u64 = 40;

/// Longest pause of a caller within a request.
const MAX_SPLIT_MILLIS: u64 = 700;

/// Largest number of requests that are sent before the first answer is read.
const MAX_PIPELINED: usize = 3;

struct Kind {
    name: &'static str,
    path: &'static str,
    /// Whether a request may run once at most.
    is_at_most_once: bool,
}

/// Kinds of requests. Most requests may run once at most.
const KINDS: [Kind; 6] = [
    Kind { name: "booking", path: "/bookings/1", is_at_most_once: true },
    Kind { name: "booking", path: "/bookings/2", is_at_most_once: true },
    Kind { name: "booking", path: "/bookings/3", is_at_most_once: true },
    Kind { name: "report", path: "/reports/1", is_at_most_once: true },
    Kind { name: "album", path: "/albums/1", is_at_most_once: false },
    Kind { name: "caption", path: "/captions/1", is_at_most_once: false },
];

/// Starts the callers, which run until `is_stopped` is set.
pub fn start(
    entries: &[SocketAddr],
    seed: u64,
    is_stopped: &Arc<AtomicBool>,
    ledger: &Arc<Ledger>,
) -> CallerThreads {
    let (entries, ledger) = (entries.to_vec(), ledger.clone());
    CallerThreads::start(CALLER_COUNT, seed, is_stopped, move |index, random, is_stopped| {
        let (entries, ledger) = (entries.clone(), ledger.clone());
        let caller = Caller { index, entries, random, ledger, connection: None, sent_count: 0 };
        caller.run(is_stopped);
    })
}

struct Caller {
    index: u64,
    entries: Vec<SocketAddr>,
    random: Pcg64Mcg,
    ledger: Arc<Ledger>,
    /// Open connection on which all earlier requests have been answered.
    connection: Option<BufReader<TcpStream>>,
    sent_count: u64,
}

/// A request that was written to a buffer.
struct Sent {
    id: String,
    is_at_most_once: bool,
}

impl Caller {
    fn run(mut self, is_stopped: &AtomicBool) {
        while !is_stopped.load(Ordering::Relaxed) {
            // A connection that failed is not used again.
            let _ = self.exchange();
            let pause = self.random.random_range(0..MAX_PAUSE_MILLIS);
            std::thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Returns the open connection, or a new one to a random entry instance.
    fn connection(&mut self) -> std::io::Result<BufReader<TcpStream>> {
        if let Some(connection) = self.connection.take() {
            return Ok(connection);
        }
        let entry = self.entries[self.random.random_range(0..self.entries.len())];
        let stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(GRACE))?;
        Ok(BufReader::new(stream))
    }

    /// Sends one request, or several at once, and reads the answers.
    fn exchange(&mut self) -> std::io::Result<()> {
        let mut connection = self.connection()?;
        let (low, high) = DEADLINE_EXPONENTS;
        let deadline = match self.random.random_bool(0.01) {
            true => 0,
            false => self.random.random_range(low..high).exp2() as u64,
        };
        let count = match self.random.random_bool(0.06) {
            true => self.random.random_range(2..=MAX_PIPELINED),
            false => 1,
        };
        let mut bytes = Vec::new();
        let sent: Vec<Sent> = (0..count).map(|_| self.write(deadline, &mut bytes)).collect();
        let stream = connection.get_ref();
        stream.set_read_timeout(Some(Duration::from_millis(deadline) + GRACE))?;
        let mut writer = stream;
        let split = match self.random.random_bool(0.06) {
            true => self.random.random_range(0..bytes.len()),
            false => bytes.len(),
        };
        writer.write_all(&bytes[..split])?;
        if split < bytes.len() {
            std::thread::sleep(Duration::from_millis(
                self.random.random_range(0..MAX_SPLIT_MILLIS),
            ));
            writer.write_all(&bytes[split..])?;
        }
        if self.random.random_bool(0.05) {
            std::thread::sleep(Duration::from_millis(self.random.random_range(0..200)));
            if self.random.random_bool(0.5) {
                reset_on_close(connection.get_ref());
            }
            return Ok(());
        }
        for Sent { id, is_at_most_once } in &sent {
            let answer = read_response(&mut connection)?;
            self.ledger.record_answer(id, *is_at_most_once, answer.status);
            let is_closing = answer.headers.get("connection").is_some_and(|value| value == "close");
            if !answer.is_complete || is_closing {
                return Ok(());
            }
        }
        if self.random.random_bool(0.9) {
            self.connection = Some(connection);
        }
        Ok(())
    }

    /// Appends a random request to `bytes`.
    fn write(&mut self, deadline: u64, bytes: &mut Vec<u8>) -> Sent {
        let kind = &KINDS[self.random.random_range(0..KINDS.len())];
        self.sent_count += 1;
        let id = format!("{}-{}-{}", kind.name, self.index, self.sent_count);
        let length = match self.random.random_range(0..20) {
            0..16 => self.random.random_range(0..200),
            16..19 => self.random.random_range(200..40_000),
            _ => self.random.random_range(100_000..400_000),
        };
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: api.example\r\nRequest-Id: {id}\r\n\
             Authorization: Token {KEY}\r\nDeadline-Remaining: {deadline}\r\n\
             Prompt-Prefix: {:x}:400,{:x}:20\r\nToken-Counts: 420,40\r\n\
             Content-Length: {length}\r\n\r\n",
            kind.path,
            self.index % 3 + 1,
            self.sent_count,
        );
        bytes.extend_from_slice(head.as_bytes());
        bytes.resize(bytes.len() + length, b'b');
        Sent { id, is_at_most_once: kind.is_at_most_once }
    }
}
