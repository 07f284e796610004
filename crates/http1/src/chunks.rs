//! Bodies in chunks (RFC 9112, section 7.1).

use crate::Rule;
use crate::cursor::Cursor;
use crate::field::{self, is_token_byte};

/// Limits on the parts of a body in chunks that are not data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Largest length in bytes of the line before a chunk, and of a trailer line.
    pub line_bytes: usize,
    /// Largest length in bytes of all trailer lines together.
    pub trailer_bytes: usize,
}

/// What the next received bytes are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// More bytes are needed.
    NeedMoreBytes,
    /// This number of bytes belongs to the framing.
    Framing(usize),
    /// This number of bytes is data of the body.
    Data(usize),
    /// This number of bytes ends the body.
    End(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    SizeLine,
    /// This number of bytes of the chunk follows.
    Data(u64),
    DataEnd,
    Trailer,
}

/// Position in a body in chunks. Trailers are checked and dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Chunks {
    bounds: Bounds,
    position: Position,
    trailer_bytes: usize,
}

impl Chunks {
    /// Creates the position before the first chunk.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, position: Position::SizeLine, trailer_bytes: 0 }
    }

    /// Returns the number of bytes of the current chunk that are still to come.
    pub fn missing_bytes(&self) -> u64 {
        match self.position {
            Position::Data(missing) => missing,
            Position::SizeLine | Position::DataEnd | Position::Trailer => 0,
        }
    }

    /// Returns whether the line before a chunk comes next.
    pub(crate) fn is_before_chunk(&self) -> bool {
        self.position == Position::SizeLine
    }

    /// Says what the start of `received` is, and moves behind it.
    ///
    /// # Errors
    ///
    /// Returns the rule that the bytes break.
    pub fn next(&mut self, received: &[u8]) -> Result<Step, Rule> {
        match self.position {
            Position::SizeLine => self.read_size_line(received),
            Position::Data(missing) => Ok(self.read_data(missing, received.len())),
            Position::DataEnd => self.read_data_end(received),
            Position::Trailer => self.read_trailer(received),
        }
    }

    fn read_size_line(&mut self, received: &[u8]) -> Result<Step, Rule> {
        let line = &received[..received.len().min(self.bounds.line_bytes)];
        let Some(SizeLine { length, size }) = parse_size_line(line)? else {
            return if line.len() < self.bounds.line_bytes {
                Ok(Step::NeedMoreBytes)
            } else {
                Err(Rule::ChunkSize)
            };
        };
        self.position = if size == 0 { Position::Trailer } else { Position::Data(size) };
        Ok(Step::Framing(length))
    }

    fn read_data(&mut self, missing: u64, received_bytes: usize) -> Step {
        if received_bytes == 0 {
            return Step::NeedMoreBytes;
        }
        let bytes = received_bytes.min(usize::try_from(missing).unwrap_or(usize::MAX));
        let missing = missing - bytes as u64;
        self.position = if missing == 0 { Position::DataEnd } else { Position::Data(missing) };
        Step::Data(bytes)
    }

    fn read_data_end(&mut self, received: &[u8]) -> Result<Step, Rule> {
        let Some(length) = Cursor::new(received).line_end(Rule::ChunkEnd)? else {
            return Ok(Step::NeedMoreBytes);
        };
        self.position = Position::SizeLine;
        Ok(Step::Framing(length))
    }

    fn read_trailer(&mut self, received: &[u8]) -> Result<Step, Rule> {
        if received.starts_with(b"\r\n") {
            return Ok(Step::End(2));
        }
        if received.is_empty() || received == b"\r" {
            return Ok(Step::NeedMoreBytes);
        }
        let limit = self.bounds.line_bytes.min(self.bounds.trailer_bytes - self.trailer_bytes);
        let line = &received[..received.len().min(limit)];
        match field::line_length(line).map_err(|_| Rule::Trailer)? {
            Some(length) => {
                self.trailer_bytes += length;
                Ok(Step::Framing(length))
            }
            None if line.len() < limit => Ok(Step::NeedMoreBytes),
            None => Err(Rule::Trailer),
        }
    }
}

/// Line before a chunk.
struct SizeLine {
    /// Length of the line in bytes, with its end.
    length: usize,
    /// Size of the chunk in bytes.
    size: u64,
}

/// Parses the line before a chunk: digits, and extensions, which are checked and dropped.
fn parse_size_line(received: &[u8]) -> Result<Option<SizeLine>, Rule> {
    let mut cursor = Cursor::new(received);
    let mut size: Option<u64> = None;
    while let Some(digit) = cursor.peek().and_then(|byte| char::from(byte).to_digit(16)) {
        let larger = size.unwrap_or(0).checked_mul(16).ok_or(Rule::ChunkSize)?;
        size = Some(larger + u64::from(digit));
        cursor.next();
    }
    let Some(size) = size else {
        return if received.is_empty() { Ok(None) } else { Err(Rule::ChunkSize) };
    };
    let mut place = Place::AfterItem;
    let mut broken_rule = Rule::ChunkSize;
    while let Some(byte) = cursor.peek() {
        match place.next(byte) {
            Some(next) => place = next,
            None if place.ends_item() => break,
            None => return Err(broken_rule),
        }
        broken_rule = Rule::ChunkExtension;
        cursor.next();
    }
    let length = cursor.line_end(broken_rule)?;
    Ok(length.map(|length| SizeLine { length, size }))
}

/// Place in the extensions of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Behind the size or a quoted value.
    AfterItem,
    /// Within blanks behind the size or a value.
    Gap,
    BeforeName,
    Name,
    GapAfterName,
    BeforeValue,
    Value,
    Quoted,
    /// Behind a backslash in a quoted value.
    Escaped,
}

impl Place {
    /// Returns the place behind `byte`, or none if no extension may hold it here.
    fn next(self, byte: u8) -> Option<Self> {
        match (self, byte) {
            (Self::Quoted, b'"') => Some(Self::AfterItem),
            (Self::Quoted, b'\\') => Some(Self::Escaped),
            (Self::Quoted | Self::Escaped, _) => field::is_value_byte(byte).then_some(Self::Quoted),
            (Self::AfterItem | Self::Gap | Self::Value, b' ' | b'\t') => Some(Self::Gap),
            (Self::Name | Self::GapAfterName, b' ' | b'\t') => Some(Self::GapAfterName),
            (Self::BeforeName | Self::BeforeValue, b' ' | b'\t') => Some(self),
            (Self::BeforeName | Self::BeforeValue, b';') => None,
            (_, b';') => Some(Self::BeforeName),
            (Self::Name | Self::GapAfterName, b'=') => Some(Self::BeforeValue),
            (Self::BeforeValue, b'"') => Some(Self::Quoted),
            (Self::BeforeName | Self::Name, _) if is_token_byte(byte) => Some(Self::Name),
            (Self::BeforeValue | Self::Value, _) if is_token_byte(byte) => Some(Self::Value),
            _ => None,
        }
    }

    /// Returns whether the line may end here.
    fn ends_item(self) -> bool {
        matches!(self, Self::AfterItem | Self::Name | Self::Value)
    }
}
