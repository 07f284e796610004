//! Follows the events of a response whose bytes pass unchanged.

use dispatch::{EventScanner, Head};

/// Beginnings of the first line of a stream of events: a comment or a field.
const LINE_BEGINNINGS: [&str; 5] = [":", "id:", "data:", "event:", "retry:"];

/// Mark that may precede the first line of a stream of events.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// What a response is.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Content {
    Events,
    Other,
    /// The response names no type, and its first bytes do not decide yet.
    Unknown {
        beginning: Vec<u8>,
        line_beginnings: Vec<String>,
    },
}

/// Finds out whether a response ends within an event.
#[derive(Debug)]
pub struct EventBoundary {
    content: Content,
    scanner: EventScanner,
}

impl EventBoundary {
    /// Creates a boundary for a response that is a stream of events, or something else.
    pub fn typed(is_event_stream: bool) -> Self {
        let content = if is_event_stream { Content::Events } else { Content::Other };
        Self { content, scanner: EventScanner::default() }
    }

    /// Creates a boundary for a response that names no type. It is a stream of events if its first
    /// line is a comment, or has one of the fields of events or `more_fields`.
    pub fn untyped(more_fields: &[&str]) -> Self {
        let more_fields = more_fields.iter().map(|field| format!("{field}:"));
        let line_beginnings = LINE_BEGINNINGS.map(str::to_string).into_iter().chain(more_fields);
        let content =
            Content::Unknown { beginning: Vec::new(), line_beginnings: line_beginnings.collect() };
        Self { content, scanner: EventScanner::default() }
    }

    /// Takes the next bytes of the response.
    pub fn push(&mut self, part: &[u8]) {
        match &mut self.content {
            Content::Other => {}
            Content::Events => self.scan(part),
            Content::Unknown { beginning, line_beginnings } => {
                if first_line(beginning).is_empty() {
                    beginning.clear();
                }
                beginning.extend_from_slice(part);
                let line = first_line(beginning);
                let begins = |text: &String| line.starts_with(text.as_bytes());
                let may_begin = |text: &String| text.as_bytes().starts_with(line);
                if line_beginnings.iter().any(begins) {
                    let beginning = std::mem::take(beginning);
                    self.content = Content::Events;
                    self.scan(&beginning);
                } else if !line_beginnings.iter().any(may_begin)
                    && !BYTE_ORDER_MARK.starts_with(line)
                {
                    self.content = Content::Other;
                }
            }
        }
    }

    /// Returns whether the response is known to be no stream of events.
    pub fn is_other_content(&self) -> bool {
        self.content == Content::Other
    }

    /// Returns whether the response has begun an event and not ended it. A response without a type
    /// that ends within its first line may be a stream that broke off, unless `is_proven` says that
    /// its length or chunks show that it is complete.
    pub fn is_within_event(&self, is_proven: bool) -> bool {
        match &self.content {
            Content::Events => self.scanner.is_within_event(),
            Content::Other => false,
            Content::Unknown { beginning, .. } => !is_proven && !first_line(beginning).is_empty(),
        }
    }

    fn scan(&mut self, part: &[u8]) {
        let mut rest = part;
        while let Some(end) = self.scanner.next_end(rest) {
            rest = &rest[end..];
        }
    }
}

/// Returns the bytes from the first line on, without a byte order mark and empty lines.
fn first_line(bytes: &[u8]) -> &[u8] {
    bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes).trim_ascii_start()
}

/// Returns whether a response says that it is a stream of events, or `None` if it names no type. The
/// events of a compressed stream cannot be followed, so that it counts as other content.
pub fn is_event_stream(head: &Head) -> Option<bool> {
    let is_compressed = head
        .header("content-encoding")
        .is_some_and(|encoding| !encoding.trim().eq_ignore_ascii_case("identity"));
    if is_compressed {
        return Some(false);
    }
    let content_type = head.header("content-type")?;
    let media_type = content_type.split(';').next().unwrap_or_default();
    Some(media_type.trim().eq_ignore_ascii_case("text/event-stream"))
}
