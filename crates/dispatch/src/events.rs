//! Parser for server-sent events (`text/event-stream`).

use crate::{EventScanner, StreamError};

/// Largest size of one event in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Raw bytes, including the empty line that ends the event.
    pub(crate) raw: Vec<u8>,
    /// Values of the `data` lines, joined by newlines; empty for a comment.
    pub(crate) data: String,
}

/// Splits a byte stream into events and buffers the bytes of an incomplete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    scanner: EventScanner,
    /// Length of the buffer's prefix that the scanner has processed.
    scanned_bytes: usize,
}

impl Event {
    /// Returns the raw bytes, including the empty line that ends the event.
    pub fn raw(&self) -> &[u8] {
        &self.raw
    }

    /// Returns the value of the event's `id` line, if there is one.
    pub fn id(&self) -> Option<String> {
        let text = String::from_utf8_lossy(&self.raw);
        let id = lines(&text).find_map(|line| line.strip_prefix("id:"))?;
        Some(id.strip_prefix(' ').unwrap_or(id).to_string())
    }

    /// Returns whether receivers ignore the event: it has no data, and each of its lines is a
    /// comment or a field of an event.
    pub fn is_ignored(&self) -> bool {
        let text = String::from_utf8_lossy(&self.raw);
        let is_known = |line: &str| {
            let (name, _) = line.split_once(':').unwrap_or((line, ""));
            matches!(name, "" | "data" | "event" | "id" | "retry")
        };
        self.data.is_empty() && lines(&text).all(is_known)
    }
}

impl EventSplitter {
    /// Returns whether the stream has begun an event and not ended it.
    pub fn is_within_event(&self) -> bool {
        self.scanner.is_within_event()
    }

    /// Returns the bytes of the incomplete event.
    pub fn into_partial_event(self) -> Vec<u8> {
        self.buffer
    }

    /// Appends the next bytes of the stream to the buffer.
    pub fn push(&mut self, part: &[u8]) {
        self.buffer.extend_from_slice(part);
    }

    /// Removes the next complete event from the buffer and returns it.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError::EventTooLarge`] if the event is larger than 256 KiB.
    pub fn next_event(&mut self) -> Result<Option<Event>, StreamError> {
        let end = self.scanner.next_end(&self.buffer[self.scanned_bytes..]);
        match end.map(|end| self.scanned_bytes + end) {
            Some(end) if end > MAX_EVENT_BYTES => {
                Err(StreamError::EventTooLarge { limit: MAX_EVENT_BYTES })
            }
            Some(end) => {
                let raw: Vec<u8> = self.buffer.drain(..end).collect();
                self.scanned_bytes = 0;
                Ok(Some(Event { data: parse_data(&raw), raw }))
            }
            None if self.buffer.len() > MAX_EVENT_BYTES => {
                Err(StreamError::EventTooLarge { limit: MAX_EVENT_BYTES })
            }
            None => {
                self.scanned_bytes = self.buffer.len();
                Ok(None)
            }
        }
    }
}

/// Returns the lines of an event, without a byte order mark.
fn lines(text: &str) -> impl Iterator<Item = &str> {
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    // A line feed after a carriage return adds an empty line, which has no meaning in an event.
    text.split(['\n', '\r'])
}

fn parse_data(raw: &[u8]) -> String {
    let text = String::from_utf8_lossy(raw);
    let values = lines(&text).filter_map(|line| line.strip_prefix("data:"));
    values.map(|line| line.strip_prefix(' ').unwrap_or(line)).collect::<Vec<_>>().join("\n")
}
