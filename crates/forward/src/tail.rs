//! Follows a stream of events so that it can go on at another upstream.

use std::time::Duration;

use dispatch::{Flaw, Splitter};

/// Callers wait for the next event of a stream for the longest of these: a fixed time, so many
/// objectives and so many of the pauses that are on time.
const CALLERS_WAIT: Duration = Duration::from_secs(2);
const CALLERS_OBJECTIVES: u32 = 4;
const CALLERS_PAUSES: u32 = 8;

/// Part of that time after which a stream goes on elsewhere, so that its caller is still there.
const STALL_PART: u32 = 2;

/// How long a stream may bring no event, whatever bytes it brings, before it counts as stalled.
pub fn stall_span(objective: Duration, pause: Duration) -> Duration {
    let wait = CALLERS_WAIT.max(objective * CALLERS_OBJECTIVES).max(pause * CALLERS_PAUSES);
    wait / STALL_PART
}

/// Passes whole events on and remembers the last one.
#[derive(Debug, Default)]
pub struct Tail {
    splitter: Splitter,
    last: Option<String>,
    /// Events with an id that were passed on.
    events: u64,
}

impl Tail {
    /// A stream that goes on after the event `last`, which the caller has.
    pub fn new(last: Option<String>) -> Self {
        Self { splitter: Splitter::default(), last, events: 0 }
    }

    /// Takes the next bytes of the stream and appends the events that are whole to `out`.
    ///
    /// # Errors
    ///
    /// [`Flaw::Large`] when an event is too large to be held.
    pub fn take(&mut self, part: &[u8], out: &mut Vec<u8>) -> Result<(), Flaw> {
        self.splitter.push(part);
        while let Some(event) = self.splitter.next_event()? {
            if let Some(id) = event.id() {
                self.last = Some(id);
                self.events += 1;
            }
            out.extend_from_slice(event.raw());
        }
        Ok(())
    }

    /// The id of the last event that was passed on.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// How many events were passed on; comments and parts of events do not count.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether the stream ends between two events.
    pub fn is_between_events(&self) -> bool {
        self.splitter.is_empty()
    }

    /// Drops what is there of an event, since another upstream goes on.
    pub fn restart(&mut self) {
        self.splitter = Splitter::default();
    }
}
