//! Log lines on standard output: JSON, bounded, and never waited for.
//!
//! Whoever logs hands a line to a bounded buffer; a thread of its own writes. A reader that stops
//! stops that thread alone: lines that find the buffer full are counted and dropped. A ceiling
//! of lines and bytes a second holds under load; failures may use all of it, changes of what is
//! believed most, successes half. What was left out is summed up by kind once a second.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use serde::Serialize;

use crate::event::EVENT_MODULE;
use crate::logs::Error;

/// Most bytes that wait for the reader of the output.
const BUFFER_BYTES: usize = 256 << 10;

/// How long lines are collected before they are written together: each write costs a system call.
const BATCH_SPAN: Duration = Duration::from_millis(50);

/// How long the end of the process waits for the last lines to be written.
const FLUSH_SPAN: Duration = Duration::from_millis(300);

/// The span that the ceiling counts in.
const WINDOW: Duration = Duration::from_secs(1);

/// Most lines and bytes of a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ceiling {
    /// Lines a second.
    pub lines: u64,
    /// Bytes a second.
    pub bytes: u64,
}

/// Lines of one kind that were left out.
#[derive(Debug)]
struct Suppressed {
    kind: String,
    count: u64,
}

#[derive(Debug)]
struct Book {
    buffer: Vec<u8>,
    is_writing: bool,
    window: Instant,
    lines: u64,
    bytes: u64,
    /// Sorted by kind.
    suppressed: Vec<Suppressed>,
    dropped: u64,
    number: u64,
}

#[derive(Debug)]
struct Shared {
    book: Mutex<Book>,
    filled: Condvar,
    emptied: Condvar,
}

/// The appender.
#[derive(Debug)]
struct Trail {
    instance: String,
    ceiling: Ceiling,
    shared: Arc<Shared>,
}

/// What every line begins with.
#[derive(Serialize)]
struct Start<'a> {
    /// Milliseconds of Unix time.
    at: u64,
    /// Counts the lines of this process, also those left out.
    line: u64,
    instance: &'a str,
    level: &'static str,
}

/// A line of plain text.
#[derive(Serialize)]
struct Note<'a> {
    event: &'static str,
    module: &'a str,
    message: String,
}

/// Sums up what was left out.
#[derive(Serialize)]
struct Summary<'a> {
    event: &'static str,
    kind: &'a str,
    count: u64,
}

/// Share of the ceiling that lines of a level may use, in percent.
fn share(level: Level) -> u64 {
    match level {
        Level::Error | Level::Warn => 100,
        Level::Info => 80,
        Level::Debug | Level::Trace => 50,
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, Book> {
    shared.book.lock().unwrap_or_else(PoisonError::into_inner)
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}

impl Trail {
    /// Joins the start of a line with its `content`, both JSON objects.
    fn line(&self, number: u64, level: Level, content: &str) -> String {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start = Start {
            at: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
            line: number,
            instance: &self.instance,
            level: level_name(level),
        };
        let mut line = serde_json::to_string(&start).unwrap_or_default();
        line.pop();
        line.push(',');
        line.push_str(content.strip_prefix('{').unwrap_or(content));
        line.push('\n');
        line
    }

    fn write(&self, book: &mut Book, level: Level, kind: &str, content: &str) {
        book.number += 1;
        let line = self.line(book.number, level, content);
        let length = line.len() as u64;
        let share = share(level);
        let is_over = (book.lines + 1) * 100 > self.ceiling.lines * share
            || (book.bytes + length) * 100 > self.ceiling.bytes * share;
        if is_over {
            book.suppress(kind);
            return;
        }
        if book.buffer.len() + line.len() > BUFFER_BYTES {
            book.dropped += 1;
            return;
        }
        book.lines += 1;
        book.bytes += length;
        book.buffer.extend_from_slice(line.as_bytes());
    }

    /// Begins another second, with the sums of the last one.
    fn turn(&self, book: &mut Book, now: Instant) {
        if now < book.window + WINDOW {
            return;
        }
        book.window = now;
        book.lines = 0;
        book.bytes = 0;
        for Suppressed { kind, count } in std::mem::take(&mut book.suppressed) {
            self.sum_up(book, "suppressed", &kind, count);
        }
        let dropped = std::mem::take(&mut book.dropped);
        if dropped > 0 {
            self.sum_up(book, "dropped", "all", dropped);
        }
    }

    fn sum_up(&self, book: &mut Book, event: &'static str, kind: &str, count: u64) {
        let content = serde_json::to_string(&Summary { event, kind, count }).unwrap_or_default();
        self.write(book, Level::Warn, event, &content);
    }
}

impl Book {
    fn suppress(&mut self, kind: &str) {
        match self.suppressed.binary_search_by(|one| one.kind.as_str().cmp(kind)) {
            Ok(index) => self.suppressed[index].count += 1,
            Err(index) => {
                self.suppressed.insert(index, Suppressed { kind: kind.to_string(), count: 1 });
            }
        }
    }
}

impl Append for Trail {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let module = record.module_path().unwrap_or_default();
        let content = match module {
            EVENT_MODULE => record.args().to_string(),
            module => {
                let message = record.args().to_string();
                serde_json::to_string(&Note { event: "note", module, message })?
            }
        };
        let kind = if module == EVENT_MODULE { record.target() } else { "note" };
        let mut book = lock(&self.shared);
        let was_empty = book.buffer.is_empty();
        self.turn(&mut book, Instant::now());
        self.write(&mut book, record.level(), kind, &content);
        if was_empty && !book.buffer.is_empty() {
            self.shared.filled.notify_one();
        }
        Ok(())
    }

    /// Waits until the lines are written, but not for a reader that has stopped.
    fn flush(&self) {
        let until = Instant::now() + FLUSH_SPAN;
        let mut book = lock(&self.shared);
        while !book.buffer.is_empty() || book.is_writing {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.shared.emptied.wait_timeout(book, left);
            book = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Writes what is in the buffer, forever.
fn write_all<W>(shared: &Shared, mut out: W)
where
    W: Write,
{
    loop {
        let mut book = lock(shared);
        while book.buffer.is_empty() {
            book = shared.filled.wait(book).unwrap_or_else(PoisonError::into_inner);
        }
        drop(book);
        std::thread::sleep(BATCH_SPAN);
        let mut book = lock(shared);
        let lines = std::mem::take(&mut book.buffer);
        book.is_writing = true;
        drop(book);
        // Nobody can be told when the output itself fails; the next lines may fare better.
        let _ = out.write_all(&lines).and_then(|()| out.flush());
        lock(shared).is_writing = false;
        shared.emptied.notify_all();
    }
}

/// Starts logs of `instance` as JSON lines on standard output, bounded by `ceiling`.
///
/// # Errors
///
/// [`Error::Started`] when the process has a logger already, [`Error::Thread`] when the system
/// gives no thread.
pub fn start_trail(instance: &str, ceiling: Ceiling) -> Result<(), Error> {
    let book = Book {
        buffer: Vec::new(),
        is_writing: false,
        window: Instant::now(),
        lines: 0,
        bytes: 0,
        suppressed: Vec::new(),
        dropped: 0,
        number: 0,
    };
    let (filled, emptied) = (Condvar::new(), Condvar::new());
    let shared = Arc::new(Shared { book: Mutex::new(book), filled, emptied });
    let writing = shared.clone();
    std::thread::Builder::new()
        .name("logs".to_string())
        .spawn(move || write_all(&writing, std::io::stdout()))
        .map_err(|source| Error::Thread { source })?;
    let trail = Trail { instance: instance.to_string(), ceiling, shared };
    let config = Config::builder()
        .appender(Appender::builder().build("trail", Box::new(trail)))
        .build(Root::builder().appender("trail").build(LevelFilter::Debug))?;
    log4rs::init_config(config)?;
    Ok(())
}
