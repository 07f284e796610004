//! Position in bytes of which more may follow.

use crate::Rule;

/// Position in received bytes.
pub(crate) struct Cursor<'a> {
    received: &'a [u8],
    position: usize,
}

impl<'a> Cursor<'a> {
    pub(crate) fn new(received: &'a [u8]) -> Self {
        Self { received, position: 0 }
    }

    /// Returns the next byte without moving.
    pub(crate) fn peek(&self) -> Option<u8> {
        self.received.get(self.position).copied()
    }

    /// Returns the next byte and moves behind it.
    pub(crate) fn next(&mut self) -> Option<u8> {
        let byte = self.peek()?;
        self.position += 1;
        Some(byte)
    }

    /// Moves behind all next bytes that are `included`, and returns their number.
    pub(crate) fn skip_while<F>(&mut self, included: F) -> usize
    where
        F: Fn(u8) -> bool,
    {
        let start = self.position;
        while self.peek().is_some_and(&included) {
            self.position += 1;
        }
        self.position - start
    }

    /// Reads the line end, and returns the position behind it, or none if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`Rule::LineEnd`] for half of a line end, and `otherwise` for any other byte.
    pub(crate) fn line_end(&mut self, otherwise: Rule) -> Result<Option<usize>, Rule> {
        match (self.next(), self.next()) {
            (None, _) | (Some(b'\r'), None) => Ok(None),
            (Some(b'\r'), Some(b'\n')) => Ok(Some(self.position)),
            (Some(b'\r' | b'\n'), _) => Err(Rule::LineEnd),
            (Some(_), _) => Err(otherwise),
        }
    }
}
