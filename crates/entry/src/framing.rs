//! Framing of an answer: chunked encoding, a content-length, or no body at all.

use crate::reply::append_chunk;

/// Framing of one answer.
#[derive(Clone, Copy)]
pub(crate) enum Framing {
    /// Chunked encoding; each part is one chunk.
    Chunks,
    /// Content-length, with the number of bytes that are still to be sent.
    Length(u64),
    /// No framing: the answer ends with its connection.
    UntilClose,
    /// Only the head is sent, because the caller has requested no more.
    HeadOnly,
}

/// Appends a part of an answer to `out`. Bytes beyond the announced content-length are dropped.
pub(crate) fn append_framed(framing: &mut Framing, part: &[u8], out: &mut Vec<u8>) {
    match framing {
        Framing::Chunks => append_chunk(part, out),
        Framing::Length(remaining) => {
            let limit = usize::try_from(*remaining).unwrap_or(usize::MAX);
            let length = part.len().min(limit);
            out.extend_from_slice(&part[..length]);
            *remaining -= length as u64;
        }
        Framing::UntilClose => out.extend_from_slice(part),
        Framing::HeadOnly => {}
    }
}
