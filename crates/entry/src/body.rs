//! Parser of request bodies with a content-length or in chunked encoding.

use crate::head::BodyLength;
use crate::{Problem, Rejection};

/// Longest line with the size of a chunk.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;

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

/// A request body that is being received.
pub(crate) struct Body {
    length: BodyLength,
    collected: Vec<u8>,
}

fn too_large(limit: usize) -> BodyOutcome {
    let message = format!("the body is larger than {limit} bytes");
    BodyOutcome::Refused(Problem::rejected(Rejection::BodyTooLarge, "body_too_large", message))
}

fn malformed() -> BodyOutcome {
    let message = "the chunked body is not valid";
    BodyOutcome::Refused(Problem::rejected(Rejection::BadRequest, "malformed_request", message))
}

impl Body {
    pub(crate) fn new(length: BodyLength) -> Self {
        Self { length, collected: Vec::new() }
    }

    /// Moves bytes of the body out of `received`. The body may have at most `limit` bytes.
    pub(crate) fn read(&mut self, received: &mut Vec<u8>, limit: usize) -> BodyOutcome {
        match self.length {
            BodyLength::Known(length) if length > limit => too_large(limit),
            BodyLength::Known(length) if received.len() < length => BodyOutcome::Partial,
            BodyLength::Known(length) => BodyOutcome::Complete(received.drain(..length).collect()),
            BodyLength::Chunked => self.read_chunks(received, limit),
        }
    }

    fn read_chunks(&mut self, received: &mut Vec<u8>, limit: usize) -> BodyOutcome {
        loop {
            let (line_length, size) = match parse_chunk_size(received) {
                ChunkSize::Partial => return BodyOutcome::Partial,
                ChunkSize::Malformed => return malformed(),
                ChunkSize::Complete { line_length, size } => (line_length, size),
            };
            if self.collected.len() + size > limit {
                return too_large(limit);
            }
            let end = line_length + size;
            match received.get(end..end + 2) {
                None => return BodyOutcome::Partial,
                Some(b"\r\n") => {}
                Some(_) => return malformed(),
            }
            self.collected.extend_from_slice(&received[line_length..end]);
            received.drain(..end + 2);
            if size == 0 {
                return BodyOutcome::Complete(std::mem::take(&mut self.collected));
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
