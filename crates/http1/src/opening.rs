//! Openings of bodies that end with their connection.

use crate::{Bounds, Chunks, Rule, Step};

/// What the received bytes of a body say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The body does not begin with a chunk, or with one that is too large to wait for its end.
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
    /// Nothing that follows is checked.
    Body,
}

/// Part of a body that was read.
enum Read {
    NeedMoreBytes,
    /// The place behind this number of bytes.
    To(Place, usize),
}

/// Check of a body that ends with its connection. A body that begins with a whole chunk belongs to an
/// answer whose head has lost the field of its encoding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    bounds: Bounds,
    place: Place,
    /// Number of bytes that were checked and not passed on.
    checked: usize,
    /// Whether bytes of a chunk were passed on before its end.
    is_passing: bool,
}

impl Opening {
    /// Creates the check of a body of which nothing has arrived. `bounds` limit the line before a chunk.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, place: Place::Start, checked: 0, is_passing: false }
    }

    /// Checks `received`, the bytes of the body that were not passed on.
    ///
    /// # Errors
    ///
    /// Returns [`Rule::ChunksInBody`] if the body begins with a whole chunk.
    pub fn check(&mut self, received: &[u8]) -> Result<Finding, Rule> {
        loop {
            let rest = &received[self.checked..];
            let read = match self.place {
                Place::Start => read_first_line(Chunks::new(self.bounds), rest),
                Place::Chunk(chunks) => read_chunk(chunks, rest)?,
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
}

fn read_first_line(mut chunks: Chunks, rest: &[u8]) -> Read {
    match chunks.next(rest) {
        Ok(Step::Framing(length)) => Read::To(Place::Chunk(chunks), length),
        Ok(_) => Read::NeedMoreBytes,
        Err(_) => Read::To(Place::Body, 0),
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
