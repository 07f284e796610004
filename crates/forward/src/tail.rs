//! Follows a stream of events so that it can go on at another upstream.

use dispatch::{Flaw, Splitter};

/// Passes whole events on and remembers the last one.
#[derive(Debug, Default)]
pub struct Tail {
    splitter: Splitter,
    last: Option<String>,
}

impl Tail {
    /// A stream that goes on after the event `last`, which the caller has.
    pub fn new(last: Option<String>) -> Self {
        Self { splitter: Splitter::default(), last }
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
            }
            out.extend_from_slice(event.raw());
        }
        Ok(())
    }

    /// The id of the last event that was passed on.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
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
