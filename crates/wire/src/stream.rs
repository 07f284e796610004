//! Length-prefixed frames in a byte stream.

use crate::Error;

/// Largest frame in a stream.
pub(crate) const MAX_FRAME_BYTES: usize = 2 << 20;

const PREFIX_BYTES: usize = 4;

/// Collects bytes and cuts them into frames.
#[derive(Debug, Default)]
pub struct Frames {
    bytes: Vec<u8>,
    start: usize,
}

impl Frames {
    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Takes the next whole frame, if there is one.
    ///
    /// # Errors
    ///
    /// [`Error::Large`] when the frame's announced length is above the limit.
    pub fn next_frame(&mut self) -> Result<Option<Vec<u8>>, Error> {
        let rest = &self.bytes[self.start..];
        let Some(prefix) = rest.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(Error::Large { length, limit: MAX_FRAME_BYTES });
        }
        let Some(frame) = rest.get(PREFIX_BYTES..PREFIX_BYTES + length) else {
            return Ok(None);
        };
        let frame = frame.to_vec();
        self.start += PREFIX_BYTES + length;
        Ok(Some(frame))
    }

    /// Appends `frame` with its length before it to `out`.
    ///
    /// # Errors
    ///
    /// [`Error::Large`] when the frame is above the limit.
    pub fn append(frame: &[u8], out: &mut Vec<u8>) -> Result<(), Error> {
        if frame.len() > MAX_FRAME_BYTES {
            return Err(Error::Large { length: frame.len(), limit: MAX_FRAME_BYTES });
        }
        let length = frame.len() as u32;
        out.extend_from_slice(&length.to_le_bytes());
        out.extend_from_slice(frame);
        Ok(())
    }
}
