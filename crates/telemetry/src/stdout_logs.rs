//! Logger that writes JSON lines to standard output with a limited rate, and never blocks.
//!
//! A log call appends its line to a bounded buffer, and a separate thread writes the buffer. If the
//! reader of the output stops reading, only that thread blocks; lines that do not fit into the
//! buffer are counted and dropped. A limit on lines and bytes per second also holds under load:
//! failures may use the whole limit, state changes most of it, and normal requests half of it. The
//! number of suppressed lines of each kind is logged once per second.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use serde::Serialize;

use crate::event::EVENT_MODULE;
use crate::logs::Error;

/// Maximum size of the lines that wait to be written, in bytes.
const BUFFER_BYTES: usize = 256 << 10;

/// Time for which lines are collected before they are written together, because each write costs a
/// system call.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Maximum time that the end of the process waits until the last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Length of the window in which lines and bytes are counted against the limit.
const WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of log lines and bytes per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogRateLimit {
    /// Maximum number of lines per second.
    pub lines: u64,
    /// Maximum number of bytes per second.
    pub bytes: u64,
}

/// Number of lines of one kind that were suppressed in the current window.
#[derive(Debug)]
struct Suppressed {
    kind: String,
    count: u64,
}

/// Buffer of lines to write, and the counters of the current window.
#[derive(Debug)]
struct LogState {
    buffer: Vec<u8>,
    /// Whether the writer thread is writing lines that it took from the buffer.
    is_writing: bool,
    window_start: Instant,
    window_lines: u64,
    window_bytes: u64,
    /// Sorted by kind.
    suppressed: Vec<Suppressed>,
    /// Number of lines dropped in the current window because the buffer was full.
    dropped: u64,
    /// Number of the last line, including suppressed and dropped lines.
    last_number: u64,
}

/// State that log calls and the writer thread share.
#[derive(Debug)]
struct Shared {
    state: Mutex<LogState>,
    /// Notified when the buffer is no longer empty.
    filled: Condvar,
    /// Notified when the writer thread has written the lines that it took.
    written: Condvar,
}

/// Appender that adds log lines to the buffer.
#[derive(Debug)]
struct StdoutAppender {
    instance: String,
    limit: LogRateLimit,
    shared: Arc<Shared>,
}

/// Fields at the start of every line.
#[derive(Serialize)]
struct LineHeader<'a> {
    /// Unix time in milliseconds.
    at: u64,
    /// Number of the line in this process. Suppressed and dropped lines are counted too.
    line: u64,
    instance: &'a str,
    level: &'static str,
}

/// Fields of a line that contains a plain text message instead of an event.
#[derive(Serialize)]
struct Message<'a> {
    event: &'static str,
    module: &'a str,
    message: String,
}

/// Fields of a line that reports the number of lines of one kind that were not written.
#[derive(Serialize)]
struct Summary<'a> {
    event: &'static str,
    kind: &'a str,
    count: u64,
}

/// Returns the share of the limit that lines of a level may use, in percent.
fn limit_percent(level: Level) -> u64 {
    match level {
        Level::Error | Level::Warn => 100,
        Level::Info => 80,
        Level::Debug | Level::Trace => 50,
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, LogState> {
    shared.state.lock().unwrap_or_else(PoisonError::into_inner)
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

impl StdoutAppender {
    /// Formats a line: one JSON object with the header fields followed by those of the JSON object
    /// `content`.
    fn format_line(&self, number: u64, level: Level, content: &str) -> String {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let header = LineHeader {
            at: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
            line: number,
            instance: &self.instance,
            level: level_name(level),
        };
        let mut line = serde_json::to_string(&header).unwrap_or_default();
        line.pop();
        line.push(',');
        line.push_str(content.strip_prefix('{').unwrap_or(content));
        line.push('\n');
        line
    }

    /// Adds a line to the buffer, unless the limit is reached or the buffer is full.
    fn append_line(&self, state: &mut LogState, level: Level, kind: &str, content: &str) {
        state.last_number += 1;
        let line = self.format_line(state.last_number, level, content);
        let length = line.len() as u64;
        let percent = limit_percent(level);
        let is_over_limit = (state.window_lines + 1) * 100 > self.limit.lines * percent
            || (state.window_bytes + length) * 100 > self.limit.bytes * percent;
        if is_over_limit {
            state.count_suppressed(kind);
            return;
        }
        if state.buffer.len() + line.len() > BUFFER_BYTES {
            state.dropped += 1;
            return;
        }
        state.window_lines += 1;
        state.window_bytes += length;
        state.buffer.extend_from_slice(line.as_bytes());
    }

    /// Starts a new window if the current one has ended, and reports the lines that were
    /// suppressed or dropped in it.
    fn advance_window(&self, state: &mut LogState, now: Instant) {
        if now < state.window_start + WINDOW {
            return;
        }
        state.window_start = now;
        state.window_lines = 0;
        state.window_bytes = 0;
        for Suppressed { kind, count } in std::mem::take(&mut state.suppressed) {
            self.append_summary(state, "suppressed", &kind, count);
        }
        let dropped = std::mem::take(&mut state.dropped);
        if dropped > 0 {
            self.append_summary(state, "dropped", "all", dropped);
        }
    }

    fn append_summary(&self, state: &mut LogState, event: &'static str, kind: &str, count: u64) {
        let content = serde_json::to_string(&Summary { event, kind, count }).unwrap_or_default();
        self.append_line(state, Level::Warn, event, &content);
    }
}

impl LogState {
    fn count_suppressed(&mut self, kind: &str) {
        match self.suppressed.binary_search_by(|suppressed| suppressed.kind.as_str().cmp(kind)) {
            Ok(index) => self.suppressed[index].count += 1,
            Err(index) => {
                self.suppressed.insert(index, Suppressed { kind: kind.to_string(), count: 1 });
            }
        }
    }
}

impl Append for StdoutAppender {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let module = record.module_path().unwrap_or_default();
        let content = match module {
            EVENT_MODULE => record.args().to_string(),
            module => {
                let message = record.args().to_string();
                serde_json::to_string(&Message { event: "note", module, message })?
            }
        };
        let kind = if module == EVENT_MODULE { record.target() } else { "note" };
        let mut state = lock(&self.shared);
        let was_empty = state.buffer.is_empty();
        self.advance_window(&mut state, Instant::now());
        self.append_line(&mut state, record.level(), kind, &content);
        if was_empty && !state.buffer.is_empty() {
            self.shared.filled.notify_one();
        }
        Ok(())
    }

    /// Waits until all lines are written, but no longer than `FLUSH_TIMEOUT`, because the reader of
    /// the output may have stopped reading.
    fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut state = lock(&self.shared);
        while !state.buffer.is_empty() || state.is_writing {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            let waited = self.shared.written.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Runs the writer thread: writes the lines in the buffer, forever.
fn run_writer<W>(shared: &Shared, mut output: W)
where
    W: Write,
{
    loop {
        let mut state = lock(shared);
        while state.buffer.is_empty() {
            state = shared.filled.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        drop(state);
        std::thread::sleep(BATCH_DELAY);
        let mut state = lock(shared);
        let lines = std::mem::take(&mut state.buffer);
        state.is_writing = true;
        drop(state);
        // An error of the log output cannot be reported anywhere; writing later lines may succeed.
        let _ = output.write_all(&lines).and_then(|()| output.flush());
        lock(shared).is_writing = false;
        shared.written.notify_all();
    }
}

/// Starts a logger of `instance` that writes JSON lines to standard output, limited by `limit`.
///
/// # Errors
///
/// [`Error::AlreadyStarted`] if the process already has a logger, [`Error::Thread`] if the writer
/// thread cannot be started, [`Error::Configuration`] if the configuration of the logger is
/// invalid.
pub fn start_stdout_logs(instance: &str, limit: LogRateLimit) -> Result<(), Error> {
    let state = LogState {
        buffer: Vec::new(),
        is_writing: false,
        window_start: Instant::now(),
        window_lines: 0,
        window_bytes: 0,
        suppressed: Vec::new(),
        dropped: 0,
        last_number: 0,
    };
    let (filled, written) = (Condvar::new(), Condvar::new());
    let shared = Arc::new(Shared { state: Mutex::new(state), filled, written });
    let writer_shared = shared.clone();
    std::thread::Builder::new()
        .name("logs".to_string())
        .spawn(move || run_writer(&writer_shared, std::io::stdout()))
        .map_err(|source| Error::Thread { source })?;
    let appender = StdoutAppender { instance: instance.to_string(), limit, shared };
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(appender)))
        .build(Root::builder().appender("stdout").build(LevelFilter::Debug))?;
    log4rs::init_config(config)?;
    Ok(())
}
