//! Tracks a stream of events so that another upstream can resume the stream.

use std::time::Duration;

use dispatch::{EventSplitter, StreamError};

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
}

impl StreamTracker {
    /// Creates a tracker for a stream that continues after the event with the id `last_event_id`,
    /// which the caller already has.
    pub fn new(last_event_id: Option<String>) -> Self {
        Self { splitter: EventSplitter::default(), last_event_id, event_count: 0 }
    }

    /// Takes the next bytes of the stream and appends the complete events to `out`.
    ///
    /// # Errors
    ///
    /// [`StreamError::EventTooLarge`] when an event is too large to be buffered.
    pub fn forward(&mut self, part: &[u8], out: &mut Vec<u8>) -> Result<(), StreamError> {
        self.splitter.push(part);
        while let Some(event) = self.splitter.next_event()? {
            if let Some(id) = event.id() {
                self.last_event_id = Some(id);
                self.event_count += 1;
            }
            out.extend_from_slice(event.raw());
        }
        Ok(())
    }

    /// Returns the id of the last forwarded event.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }

    /// Returns the number of forwarded events that have an id. Comments and partial events do not
    /// count.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns whether the stream ends between two events.
    pub fn is_between_events(&self) -> bool {
        self.splitter.is_empty()
    }

    /// Discards a partial event because another upstream resumes the stream.
    pub fn restart(&mut self) {
        self.splitter = EventSplitter::default();
    }
}
