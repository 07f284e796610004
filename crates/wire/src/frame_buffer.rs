//! Length-prefixed frames in a byte stream.

use crate::Error;

/// Largest frame in a stream, without its length prefix.
pub(crate) const MAX_FRAME_BYTES: usize = 2 << 20;

const LENGTH_PREFIX_BYTES: usize = 4;

/// Buffers received bytes and splits them into frames.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: Vec<u8>,
    start: usize,
}

impl FrameBuffer {
    /// Appends received bytes and discards those of frames already returned.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] if the announced length of the frame is above the limit.
    pub fn next_frame(&mut self) -> Result<Option<Vec<u8>>, Error> {
        let rest = &self.bytes[self.start..];
        let Some(prefix) = rest.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(Error::TooLarge { length, limit: MAX_FRAME_BYTES });
        }
        let Some(frame) = rest.get(LENGTH_PREFIX_BYTES..LENGTH_PREFIX_BYTES + length) else {
            return Ok(None);
        };
        let frame = frame.to_vec();
        self.start += LENGTH_PREFIX_BYTES + length;
        Ok(Some(frame))
    }

    /// Appends `frame` with its length prefix to `out`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] if the length of the frame is above the limit.
    pub fn append(frame: &[u8], out: &mut Vec<u8>) -> Result<(), Error> {
        if frame.len() > MAX_FRAME_BYTES {
            return Err(Error::TooLarge { length: frame.len(), limit: MAX_FRAME_BYTES });
        }
        let length = frame.len() as u32;
        out.extend_from_slice(&length.to_le_bytes());
        out.extend_from_slice(frame);
        Ok(())
    }
}
