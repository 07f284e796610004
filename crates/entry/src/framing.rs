//! How the parts of an answer are told apart from what follows.

use crate::reply::append_part;

/// The framing of one answer.
#[derive(Clone, Copy)]
pub(crate) enum Framing {
    /// Each part is a chunk.
    Chunks,
    /// So many bytes are to come.
    Length(u64),
}

/// Appends a part of an answer, of which no more bytes are sent than were promised.
pub(crate) fn append(framing: &mut Framing, part: &[u8], out: &mut Vec<u8>) {
    match framing {
        Framing::Chunks => append_part(part, out),
        Framing::Length(left) => {
            let most = usize::try_from(*left).unwrap_or(usize::MAX);
            let taken = part.len().min(most);
            out.extend_from_slice(&part[..taken]);
            *left -= taken as u64;
        }
    }
}
