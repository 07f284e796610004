//! Openings of bodies that end with their connection.

use crate::field;
use crate::resemblance::{FRAMING_FIELDS, resembles_framing};
use crate::{Bounds, Chunks, Rule, Step};

/// Fields that tell what becomes of a connection.
const CONNECTION_FIELDS: [&str; 2] = ["connection", "keep-alive"];

/// What the received bytes of a body say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The body begins neither with the rest of a head nor with a chunk, or with a chunk that is passed on
    /// before its end.
    Body,
    /// More bytes are needed.
    NeedMoreBytes,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Within the first line.
    Start,
    /// Within the first chunk, if it is one.
    Chunk(Chunks),
    /// Behind lines that are fields.
    Fields,
    /// Nothing that follows is checked.
    Body,
}

/// Part of a body that was read.
enum Read {
    NeedMoreBytes,
    /// The place behind this number of bytes.
    To(Place, usize),
}

/// Check of a body that ends with its connection. A body that begins with a whole chunk, or with fields of
/// which one belongs to a head, is the rest of an answer whose head is damaged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    bounds: Bounds,
    /// Names of fields that only heads have, beside those of HTTP/1.1, in lower case.
    head_fields: &'static [&'static str],
    place: Place,
    /// Number of bytes that were checked and not passed on.
    checked: usize,
    /// Whether bytes of a chunk were passed on before its end.
    is_passing: bool,
}

impl Opening {
    /// Creates the check of a body of which nothing has arrived. `bounds` limit the length of a line.
    /// `head_fields` are names of fields that only heads have, beside those of HTTP/1.1, in lower case.
    pub fn new(bounds: Bounds, head_fields: &'static [&'static str]) -> Self {
        Self { bounds, head_fields, place: Place::Start, checked: 0, is_passing: false }
    }

    /// Checks `received`, the bytes of the body that were not passed on.
    ///
    /// # Errors
    ///
    /// Returns [`Rule::ChunksInBody`] if the body begins with a whole chunk, and [`Rule::HeadInBody`] if
    /// it begins with fields of which one belongs to a head. Empty lines may precede them.
    pub fn check(&mut self, received: &[u8]) -> Result<Finding, Rule> {
        loop {
            let rest = &received[self.checked..];
            let read = match self.place {
                Place::Start if rest.starts_with(b"\r\n") => Read::To(Place::Start, 2),
                Place::Start => self.read_first_line(rest)?,
                Place::Chunk(chunks) => read_chunk(chunks, rest)?,
                Place::Fields => self.read_field(rest)?,
                Place::Body => return Ok(Finding::Body),
            };
            match read {
                Read::NeedMoreBytes if self.is_passing => return Ok(Finding::Body),
                Read::NeedMoreBytes => return Ok(Finding::NeedMoreBytes),
                Read::To(place, length) => {
                    self.place = place;
                    self.checked += length;
                }
            }
        }
    }

    /// Returns whether the body so far is within a chunk, if it is one.
    pub fn is_within_chunk(&self) -> bool {
        matches!(self.place, Place::Chunk(_))
    }

    /// Returns the number of bytes of `received` that are passed on now. Within a chunk these are the
    /// checked ones, and the check goes on; otherwise nothing that follows is checked.
    pub fn pass(&mut self, received: &[u8]) -> usize {
        self.is_passing = true;
        if !self.is_within_chunk() {
            self.place = Place::Body;
            self.checked = received.len();
        }
        std::mem::take(&mut self.checked)
    }

    fn read_first_line(&self, rest: &[u8]) -> Result<Read, Rule> {
        let mut chunks = Chunks::new(self.bounds);
        match chunks.next(rest) {
            Ok(Step::Framing(length)) => Ok(Read::To(Place::Chunk(chunks), length)),
            Ok(_) => Ok(Read::NeedMoreBytes),
            Err(_) if rest == b"\r" => Ok(Read::NeedMoreBytes),
            Err(_) => self.read_field(rest),
        }
    }

    /// Reads a line that may be a field of a head.
    fn read_field(&self, rest: &[u8]) -> Result<Read, Rule> {
        match field::line_length(rest) {
            Ok(None) if rest.len() < self.bounds.line_bytes => Ok(Read::NeedMoreBytes),
            Ok(Some(length)) if self.belongs_to_head(&rest[..length]) => Err(Rule::HeadInBody),
            Ok(Some(length)) => Ok(Read::To(Place::Fields, length)),
            // An empty line would end the head.
            Ok(None) | Err(_) => Ok(Read::To(Place::Body, 0)),
        }
    }

    /// Returns whether the field `line` belongs to the head of an answer.
    fn belongs_to_head(&self, line: &[u8]) -> bool {
        let line = String::from_utf8_lossy(line).to_ascii_lowercase();
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        FRAMING_FIELDS.contains(&name)
            || CONNECTION_FIELDS.contains(&name)
            || self.head_fields.contains(&name)
            || resembles_framing(name, value.trim())
    }
}

fn read_chunk(mut chunks: Chunks, rest: &[u8]) -> Result<Read, Rule> {
    match chunks.next(rest) {
        Ok(Step::NeedMoreBytes) => Ok(Read::NeedMoreBytes),
        Ok(Step::End(_)) => Err(Rule::ChunksInBody),
        Ok(Step::Framing(_)) if chunks.is_before_chunk() => Err(Rule::ChunksInBody),
        Ok(Step::Framing(length) | Step::Data(length)) => {
            Ok(Read::To(Place::Chunk(chunks), length))
        }
        Err(_) => Ok(Read::To(Place::Body, 0)),
    }
}
