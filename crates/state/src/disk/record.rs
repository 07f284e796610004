//! Format of the checksummed records in a segment.

/// Size of a record header: payload length, payload checksum, and the checksum of these two fields,
/// as 32-bit little-endian numbers.
const HEADER_BYTES: usize = 12;

/// Largest unit that a disk writes atomically.
const SECTOR_BYTES: usize = 512;

/// Result of reading a segment at an offset.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RecordRead<'bytes> {
    /// A valid record; the next one starts at `next`.
    Complete { payload: &'bytes [u8], next: usize },
    /// The end of the segment.
    End,
    /// A torn write: the last sectors of the record were never written.
    Torn,
    /// A record whose content has changed since it was written.
    Damaged { problem: &'static str },
}

/// Appends a record with the given payload to `out`.
pub(super) fn append(payload: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&header(&[payload]));
    out.extend_from_slice(payload);
}

/// Returns the header of a record whose payload is the concatenation of `pieces`.
pub(super) fn header(pieces: &[&[u8]]) -> [u8; HEADER_BYTES] {
    let mut hasher = crc32fast::Hasher::new();
    pieces.iter().for_each(|piece| hasher.update(piece));
    let length: usize = pieces.iter().map(|piece| piece.len()).sum();
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&u32::try_from(length).unwrap_or(u32::MAX).to_le_bytes());
    header[4..8].copy_from_slice(&hasher.finalize().to_le_bytes());
    let checksum = crc32fast::hash(&header[..8]);
    header[8..].copy_from_slice(&checksum.to_le_bytes());
    header
}

fn read_u32(bytes: &[u8]) -> u32 {
    let mut array = [0; 4];
    array.copy_from_slice(&bytes[..4]);
    u32::from_le_bytes(array)
}

/// Reads the record at `offset`.
pub(super) fn read(segment: &[u8], offset: usize) -> RecordRead<'_> {
    let rest = &segment[offset..];
    if rest.is_empty() {
        return RecordRead::End;
    }
    if rest.len() < HEADER_BYTES {
        return RecordRead::Torn;
    }
    if crc32fast::hash(&rest[..8]) != read_u32(&rest[8..]) {
        let header_end = offset + HEADER_BYTES;
        return classify_mismatch(
            segment,
            offset,
            header_end,
            "the checksum of a record header does not match",
        );
    }
    let end = HEADER_BYTES.saturating_add(read_u32(rest) as usize);
    if rest.len() < end {
        return RecordRead::Torn;
    }
    let payload = &rest[HEADER_BYTES..end];
    if crc32fast::hash(payload) != read_u32(&rest[4..]) {
        return classify_mismatch(
            segment,
            offset,
            offset + end,
            "the checksum of a record does not match",
        );
    }
    RecordRead::Complete { payload, next: offset + end }
}

/// Distinguishes a torn write from a change of written data. After a torn write, the segment
/// contains only zeros from the start of the record or from one of its sector boundaries.
fn classify_mismatch<'bytes>(
    segment: &'bytes [u8],
    start: usize,
    end: usize,
    problem: &'static str,
) -> RecordRead<'bytes> {
    let zeros_from = segment.iter().rposition(|byte| *byte != 0).map_or(0, |last| last + 1);
    let first_sector = start.next_multiple_of(SECTOR_BYTES);
    let lost = std::iter::once(start).chain((first_sector..end).step_by(SECTOR_BYTES));
    if lost.into_iter().any(|lost| zeros_from <= lost) {
        RecordRead::Torn
    } else {
        RecordRead::Damaged { problem }
    }
}
