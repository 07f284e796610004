//! Request bodies, of known length or chunked.

use crate::head::BodyLength;
use crate::{Problem, Status};

/// Longest line that announces a chunk.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Outcome of taking a body out of the received bytes.
pub(crate) enum Taken {
    /// More bytes are needed.
    Partial,
    /// The body is whole.
    Whole(Vec<u8>),
    /// The body is too large or malformed.
    Refused(Problem),
}

enum Chunk {
    Partial,
    Data { line: usize, size: usize },
    Malformed,
}

/// A body on its way in.
pub(crate) struct Body {
    length: BodyLength,
    collected: Vec<u8>,
}

fn too_large(limit: usize) -> Taken {
    let message = format!("the body is larger than {limit} bytes");
    Taken::Refused(Problem::not_run(Status::BODY_TOO_LARGE, "body_too_large", message))
}

fn malformed() -> Taken {
    let message = "the chunked body is not valid";
    Taken::Refused(Problem::not_run(Status::BAD_REQUEST, "malformed_request", message))
}

impl Body {
    pub(crate) fn new(length: BodyLength) -> Self {
        Self { length, collected: Vec::new() }
    }

    /// Takes what `received` holds of the body, which may have at most `limit` bytes.
    pub(crate) fn take(&mut self, received: &mut Vec<u8>, limit: usize) -> Taken {
        match self.length {
            BodyLength::Known(length) if length > limit => too_large(limit),
            BodyLength::Known(length) if received.len() < length => Taken::Partial,
            BodyLength::Known(length) => Taken::Whole(received.drain(..length).collect()),
            BodyLength::Chunked => self.take_chunks(received, limit),
        }
    }

    fn take_chunks(&mut self, received: &mut Vec<u8>, limit: usize) -> Taken {
        loop {
            let (line, size) = match next_chunk(received) {
                Chunk::Partial => return Taken::Partial,
                Chunk::Malformed => return malformed(),
                Chunk::Data { line, size } => (line, size),
            };
            if self.collected.len() + size > limit {
                return too_large(limit);
            }
            let end = line + size;
            match received.get(end..end + 2) {
                None => return Taken::Partial,
                Some(b"\r\n") => {}
                Some(_) => return malformed(),
            }
            self.collected.extend_from_slice(&received[line..end]);
            received.drain(..end + 2);
            if size == 0 {
                return Taken::Whole(std::mem::take(&mut self.collected));
            }
        }
    }
}

fn next_chunk(received: &[u8]) -> Chunk {
    match httparse::parse_chunk_size(received) {
        Ok(httparse::Status::Complete((line, size))) => match usize::try_from(size) {
            Ok(size) if size <= isize::MAX as usize / 2 => Chunk::Data { line, size },
            _ => Chunk::Malformed,
        },
        Ok(httparse::Status::Partial) if received.len() > MAX_CHUNK_LINE_BYTES => Chunk::Malformed,
        Ok(httparse::Status::Partial) => Chunk::Partial,
        Err(_) => Chunk::Malformed,
    }
}
