//! Parser of request bodies with a content-length or in chunked encoding.

use crate::head::BodyLength;
use crate::{Problem, Rejection};

/// Longest line with the size of a chunk.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;

/// Size in bytes of the first block of a body in chunks, and of the largest ones. A block is as large
/// as those before it together, up to this size, so that the blocks need at most twice the bytes that
/// have arrived. Blocks of equal size leave no holes in memory, which bodies that grow beside each other
/// would.
const FIRST_BLOCK_BYTES: usize = 4 << 10;
const MAX_BLOCK_BYTES: usize = 64 << 10;

/// Outcome of reading a body from the received bytes.
pub(crate) enum BodyOutcome {
    /// More bytes are needed.
    Partial,
    /// The body is complete.
    Complete(Vec<u8>),
    /// The body is too large or malformed.
    Refused(Problem),
}

/// Outcome of parsing the size line of the next chunk.
enum ChunkSize {
    Partial,
    /// Length of the size line and size of the chunk's data, in bytes.
    Complete {
        line_length: usize,
        size: usize,
    },
    Malformed,
}

/// Position in a chunked body.
enum ChunkPosition {
    /// The next byte belongs to the size line of a chunk.
    SizeLine,
    /// This number of bytes of the chunk's data follows.
    Data(usize),
    /// The line end after the chunk's data follows.
    DataEnd,
    /// The line end after the last chunk follows.
    LastEnd,
}

/// A request body that is being received.
pub(crate) struct Body {
    length: BodyLength,
    position: ChunkPosition,
    /// Bytes that have arrived: one block for a body with a length.
    blocks: Vec<Vec<u8>>,
    collected_bytes: usize,
}

fn too_large(limit: usize) -> Problem {
    let message = format!("the body is larger than {limit} bytes");
    Problem::rejected(Rejection::BodyTooLarge, "body_too_large", message)
}

fn malformed() -> BodyOutcome {
    let message = "the chunked body is not valid";
    BodyOutcome::Refused(Problem::rejected(Rejection::BadRequest, "malformed_request", message))
}

impl Body {
    pub(crate) fn new(length: BodyLength) -> Self {
        Self { length, position: ChunkPosition::SizeLine, blocks: Vec::new(), collected_bytes: 0 }
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
    pub(crate) fn read(&mut self, received: &mut Vec<u8>, limit: usize) -> BodyOutcome {
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
            match self.position {
                ChunkPosition::SizeLine => {
                    let (line_length, size) = match parse_chunk_size(rest) {
                        ChunkSize::Partial => return BodyOutcome::Partial,
                        ChunkSize::Malformed => return malformed(),
                        ChunkSize::Complete { line_length, size } => (line_length, size),
                    };
                    if self.collected_bytes + size > limit {
                        return BodyOutcome::Refused(too_large(limit));
                    }
                    *read += line_length;
                    self.position = match size {
                        0 => ChunkPosition::LastEnd,
                        size => ChunkPosition::Data(size),
                    };
                }
                ChunkPosition::Data(0) => self.position = ChunkPosition::DataEnd,
                ChunkPosition::Data(_) if rest.is_empty() => return BodyOutcome::Partial,
                ChunkPosition::Data(missing) => {
                    let count = missing.min(rest.len());
                    self.collect(&rest[..count]);
                    *read += count;
                    self.position = ChunkPosition::Data(missing - count);
                }
                ChunkPosition::DataEnd | ChunkPosition::LastEnd => {
                    match rest.get(..2) {
                        None => return BodyOutcome::Partial,
                        Some(b"\r\n") => *read += 2,
                        Some(_) => return malformed(),
                    }
                    if matches!(self.position, ChunkPosition::LastEnd) {
                        return BodyOutcome::Complete(self.take());
                    }
                    self.position = ChunkPosition::SizeLine;
                }
            }
        }
    }
}

fn parse_chunk_size(received: &[u8]) -> ChunkSize {
    match httparse::parse_chunk_size(received) {
        Ok(httparse::Status::Complete((line_length, size))) => match usize::try_from(size) {
            Ok(size) if size <= isize::MAX as usize / 2 => {
                ChunkSize::Complete { line_length, size }
            }
            _ => ChunkSize::Malformed,
        },
        Ok(httparse::Status::Partial) if received.len() > MAX_CHUNK_SIZE_LINE_BYTES => {
            ChunkSize::Malformed
        }
        Ok(httparse::Status::Partial) => ChunkSize::Partial,
        Err(_) => ChunkSize::Malformed,
    }
}
