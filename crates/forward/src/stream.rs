//! Tracks a stream of events so that another upstream can resume the stream.

use std::time::Duration;

use dispatch::{EventSplitter, Head, StreamError};

use crate::is_event_stream;

/// Minimum time for which callers wait for the next event of a stream. Callers wait for the longest
/// of three times: this minimum, a multiple of the latency objective, and a multiple of the longest
/// pause that still counts as on time.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which callers wait, as a multiple of the latency objective.
const CALLER_TIMEOUT_OBJECTIVES: u32 = 4;

/// Time for which callers wait, as a multiple of the longest pause that counts as on time.
const CALLER_TIMEOUT_PAUSES: u32 = 8;

/// Divisor of the time for which callers wait. After the resulting time another upstream resumes
/// the stream, while the caller is still waiting.
const STALL_DIVISOR: u32 = 2;

/// Returns how long a stream may bring no event before the stream counts as stalled. Bytes that
/// complete no event do not matter.
pub fn stall_timeout(objective: Duration, pause: Duration) -> Duration {
    let caller_timeout = MIN_CALLER_TIMEOUT
        .max(objective * CALLER_TIMEOUT_OBJECTIVES)
        .max(pause * CALLER_TIMEOUT_PAUSES);
    caller_timeout / STALL_DIVISOR
}

/// Forwards complete events and remembers the id of the last one.
#[derive(Debug, Default)]
pub struct StreamTracker {
    splitter: EventSplitter,
    /// Id of the last forwarded event.
    last_event_id: Option<String>,
    /// Number of forwarded events that have an id.
    event_count: u64,
    /// Whether each id was the previous one plus one. `None` before two ids were compared.
    counts_by_one: Option<bool>,
    /// Whether an event without an id was forwarded, so that no id names the end of the stream.
    has_lost_position: bool,
    /// Whether the current response resumes an interrupted one.
    is_resumed: bool,
    /// Whether the current response shows that it is a whole stream, even if it has no event.
    shows_its_end: bool,
    /// Whether an interrupted response has begun an event that was not forwarded.
    has_missing_event: bool,
}

impl StreamTracker {
    /// Creates a tracker for a stream that continues after the event with the id `last_event_id`,
    /// which the caller already has.
    pub fn new(last_event_id: Option<String>) -> Self {
        Self { last_event_id, shows_its_end: true, ..Self::default() }
    }

    /// Takes the next bytes of the stream and appends the complete events to `out`. A response that
    /// resumes the stream must continue with the next event.
    ///
    /// # Errors
    ///
    /// [`StreamError`] when an event is too large to be buffered or does not continue the stream.
    /// The events that were appended to `out` before the error remain valid.
    pub fn forward(&mut self, part: &[u8], out: &mut Vec<u8>) -> Result<(), StreamError> {
        self.splitter.push(part);
        while let Some(event) = self.splitter.next_event()? {
            match event.id() {
                Some(id) => self.record(id)?,
                None if event.is_ignored() => {}
                None if self.is_resumed => return Err(not_resumed("it sent an event without id")),
                None => self.has_lost_position = true,
            }
            out.extend_from_slice(event.raw());
        }
        Ok(())
    }

    /// Records the id of the next event to be forwarded.
    fn record(&mut self, id: String) -> Result<(), StreamError> {
        if let Some(last) = &self.last_event_id {
            let step = match (last.parse::<u64>(), id.parse::<u64>()) {
                (Ok(last), Ok(next)) => next.checked_sub(last),
                _ => (*last != id).then_some(1),
            };
            let is_next = match step {
                None | Some(0) => false,
                Some(step) => step == 1 || self.counts_by_one != Some(true),
            };
            if self.is_resumed && !is_next {
                let reason = format!("it sent the event {id} after the event {last}");
                return Err(not_resumed(reason));
            }
            self.counts_by_one = Some(step == Some(1) && self.counts_by_one != Some(false));
        }
        self.last_event_id = Some(id);
        self.event_count += 1;
        self.has_missing_event = false;
        self.shows_its_end = true;
        Ok(())
    }

    /// Returns the id of the last forwarded event.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }

    /// Returns whether another upstream has resumed the stream.
    pub fn is_resumed(&self) -> bool {
        self.is_resumed
    }

    /// Returns the number of forwarded events that have an id. Comments and partial events do not
    /// count.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns whether the stream ends between two events.
    pub fn is_between_events(&self) -> bool {
        !self.splitter.is_within_event()
    }

    /// Returns whether the last event id names the end of what was forwarded.
    pub fn has_position(&self) -> bool {
        !self.has_lost_position
    }

    /// Ends the tracking and returns the bytes that were not forwarded: those of a partial event, or
    /// comments behind the last event.
    pub fn into_partial_event(self) -> Vec<u8> {
        self.splitter.into_partial_event()
    }

    /// Discards a partial event because another upstream resumes the stream.
    pub fn restart(&mut self) {
        let splitter = std::mem::take(&mut self.splitter);
        self.has_missing_event |= is_begun_event(&splitter.into_partial_event());
    }

    /// Starts the response of another upstream, which resumes the stream.
    ///
    /// # Errors
    ///
    /// [`StreamError::NotResumed`] when the response is no stream of events.
    pub fn resume(&mut self, head: &Head) -> Result<(), StreamError> {
        self.restart();
        self.is_resumed = true;
        let is_event_stream = is_event_stream(head);
        self.shows_its_end = is_event_stream == Some(true) && head.has_delimited_body();
        match (head.status, is_event_stream) {
            (200, Some(true) | None) => Ok(()),
            (200, Some(false)) => Err(not_resumed("it sent content of another type")),
            (status, _) => Err(not_resumed(format!("it answered {status}"))),
        }
    }

    /// Checks that the stream is complete when the response ends.
    ///
    /// # Errors
    ///
    /// [`StreamError`] when the response ends within an event, or resumes the stream without an
    /// event although the stream may have another one.
    pub fn check_end(&self) -> Result<(), StreamError> {
        if !self.is_between_events() {
            return Err(StreamError::Incomplete);
        }
        if self.is_resumed && (self.has_missing_event || !self.shows_its_end) {
            return Err(not_resumed("it ended without the next event"));
        }
        Ok(())
    }
}

/// Returns whether the bytes begin more than a comment.
fn is_begun_event(partial: &[u8]) -> bool {
    let mut lines = partial.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| !line.trim_ascii().is_empty() && !line.starts_with(b":"))
}

fn not_resumed<R>(reason: R) -> StreamError
where
    R: Into<String>,
{
    StreamError::NotResumed { reason: reason.into() }
}
