//! Parser of request bodies with a content-length or in chunked encoding.

use http1::{Bounds, Chunks, Rule, Step};

use crate::head::BodyLength;
use crate::{Problem, Rejection};

/// Limits on the lines between chunks. Trailers are refused, since nothing reads them.
const CHUNK_BOUNDS: Bounds = Bounds { line_bytes: 256, trailer_bytes: 0 };

/// Size in bytes of the first block of a body in chunks, and of the largest ones. A block is as large
/// as those before it together, up to this size, so that the blocks need at most twice the bytes that
/// have arrived. Blocks of equal size leave no holes in memory, which bodies that grow beside each other
/// would.
const FIRST_BLOCK_BYTES: usize = 4 << 10;
const MAX_BLOCK_BYTES: usize = 64 << 10;

/// Outcome of reading a body from the received bytes.
pub enum BodyOutcome {
    /// More bytes are needed.
    Partial,
    /// The body is complete.
    Complete(Vec<u8>),
    /// The body is too large or malformed.
    Refused(Problem),
}

/// A request body that is being received.
pub struct Body {
    length: BodyLength,
    /// Position in the body, if it comes in chunks.
    chunks: Chunks,
    /// Bytes that have arrived: one block for a body with a length.
    blocks: Vec<Vec<u8>>,
    collected_bytes: usize,
}

fn too_large(limit: usize) -> Problem {
    let message = format!("the body is larger than {limit} bytes");
    Problem::rejected(Rejection::BodyTooLarge, "body_too_large", message)
}

fn malformed(rule: Rule) -> BodyOutcome {
    let message = format!("the chunked body is not valid: {rule}");
    BodyOutcome::Refused(Problem::rejected(Rejection::BadRequest, "malformed_request", message))
}

impl Body {
    /// Creates an empty body with the length that its head tells.
    pub fn new(length: BodyLength) -> Self {
        let chunks = Chunks::new(CHUNK_BOUNDS);
        Self { length, chunks, blocks: Vec::new(), collected_bytes: 0 }
    }

    /// Returns the number of bytes that are known to be needed for the body: its length, or what has
    /// arrived so far. `received_bytes` bytes have been received and not been read yet.
    pub(crate) fn needed_bytes(&self, received_bytes: usize) -> usize {
        match self.length {
            BodyLength::Known(length) => length,
            BodyLength::Chunked => self.collected_bytes + received_bytes,
        }
    }

    /// Returns the number of bytes that have arrived.
    pub(crate) fn collected_bytes(&self) -> usize {
        self.collected_bytes
    }

    /// Returns the refusal of a body whose length is larger than `limit` bytes.
    pub(crate) fn check_length(&self, limit: usize) -> Option<Problem> {
        match self.length {
            BodyLength::Known(length) if length > limit => Some(too_large(limit)),
            BodyLength::Known(_) | BodyLength::Chunked => None,
        }
    }

    /// Moves bytes of the body out of `received`. The body may have at most `limit` bytes.
    pub fn read(&mut self, received: &mut Vec<u8>, limit: usize) -> BodyOutcome {
        match self.length {
            BodyLength::Known(length) => {
                let missing = length - self.collected_bytes;
                let count = missing.min(received.len());
                self.collect(&received[..count]);
                received.drain(..count);
                match count == missing {
                    true => BodyOutcome::Complete(self.take()),
                    false => BodyOutcome::Partial,
                }
            }
            BodyLength::Chunked => {
                let mut read = 0;
                let outcome = self.read_chunks(received, &mut read, limit);
                received.drain(..read);
                outcome
            }
        }
    }

    /// Appends bytes of the body.
    fn collect(&mut self, mut bytes: &[u8]) {
        self.collected_bytes += bytes.len();
        while !bytes.is_empty() {
            match self.blocks.last_mut().filter(|block| block.len() < block.capacity()) {
                Some(block) => {
                    let count = bytes.len().min(block.capacity() - block.len());
                    block.extend_from_slice(&bytes[..count]);
                    bytes = &bytes[count..];
                }
                None => {
                    let filled: usize = self.blocks.iter().map(Vec::len).sum();
                    let capacity = match self.length {
                        BodyLength::Known(length) => length,
                        BodyLength::Chunked => filled.clamp(FIRST_BLOCK_BYTES, MAX_BLOCK_BYTES),
                    };
                    self.blocks.push(Vec::with_capacity(capacity));
                }
            }
        }
    }

    /// Returns the complete body.
    fn take(&mut self) -> Vec<u8> {
        let mut blocks = std::mem::take(&mut self.blocks);
        match blocks.len() {
            0 | 1 => blocks.pop().unwrap_or_default(),
            _ => {
                let mut body = Vec::with_capacity(self.collected_bytes);
                blocks.into_iter().for_each(|block| body.extend_from_slice(&block));
                body
            }
        }
    }

    /// Reads chunks from `received`, and counts the bytes that were read in `read`.
    fn read_chunks(&mut self, received: &[u8], read: &mut usize, limit: usize) -> BodyOutcome {
        loop {
            let rest = &received[*read..];
            match self.chunks.next(rest) {
                Ok(Step::NeedMoreBytes) => return BodyOutcome::Partial,
                Ok(Step::Framing(_)) if self.exceeds(limit) => {
                    return BodyOutcome::Refused(too_large(limit));
                }
                Ok(Step::Framing(bytes)) => *read += bytes,
                Ok(Step::Data(bytes)) => {
                    self.collect(&rest[..bytes]);
                    *read += bytes;
                }
                Ok(Step::End(bytes)) => {
                    *read += bytes;
                    return BodyOutcome::Complete(self.take());
                }
                Err(rule) => return malformed(rule),
            }
        }
    }

    /// Returns whether the body has more than `limit` bytes with the current chunk.
    fn exceeds(&self, limit: usize) -> bool {
        let missing = usize::try_from(self.chunks.missing_bytes()).unwrap_or(usize::MAX);
        self.collected_bytes.saturating_add(missing) > limit
    }
}
