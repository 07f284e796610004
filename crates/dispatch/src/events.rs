//! Server-sent events, cut out of a stream of bytes.

use crate::Flaw;

/// Most bytes of one event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the empty line behind.
    pub(crate) raw: Vec<u8>,
    /// Its data lines, joined; empty for a comment.
    pub(crate) data: String,
}

/// Holds the bytes of an event that is not whole yet.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    /// Bytes of the buffer in which no event ends.
    searched: usize,
}

impl Event {
    /// Its bytes, with the empty line behind.
    pub fn raw(&self) -> &[u8] {
        &self.raw
    }

    /// Its id, if it has one.
    pub fn id(&self) -> Option<String> {
        let text = String::from_utf8_lossy(&self.raw);
        let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
        Some(id.strip_prefix(' ').unwrap_or(id).to_string())
    }
}

impl Splitter {
    /// Whether no part of an event waits for the rest of it.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Takes the next bytes of the stream.
    pub fn push(&mut self, part: &[u8]) {
        self.buffer.extend_from_slice(part);
    }

    /// Takes the next whole event out.
    ///
    /// # Errors
    ///
    /// [`Flaw::Large`] when the event is larger than may be held.
    pub fn next_event(&mut self) -> Result<Option<Event>, Flaw> {
        match find_end(&self.buffer, self.searched) {
            Some(end) if end > MAX_EVENT_BYTES => Err(Flaw::Large { limit: MAX_EVENT_BYTES }),
            Some(end) => {
                let raw: Vec<u8> = self.buffer.drain(..end).collect();
                self.searched = 0;
                Ok(Some(Event { data: data_of(&raw), raw }))
            }
            None if self.buffer.len() > MAX_EVENT_BYTES => {
                Err(Flaw::Large { limit: MAX_EVENT_BYTES })
            }
            None => {
                self.searched = self.buffer.len().saturating_sub(3);
                Ok(None)
            }
        }
    }
}

/// The end of the first empty line from `start` on.
fn find_end(buffer: &[u8], start: usize) -> Option<usize> {
    (start..buffer.len()).find_map(|index| {
        let rest = &buffer[index..];
        if rest.starts_with(b"\n\n") {
            Some(index + 2)
        } else if rest.starts_with(b"\r\n\r\n") {
            Some(index + 4)
        } else {
            None
        }
    })
}

fn data_of(raw: &[u8]) -> String {
    let text = String::from_utf8_lossy(raw);
    let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
    lines.map(|line| line.strip_prefix(' ').unwrap_or(line)).collect::<Vec<_>>().join("\n")
}
