//! Checksummed records, one behind the other in a segment.

/// Length of the payload, checksum of the payload, checksum of these two.
const HEADER_BYTES: usize = 12;

/// Most that a disk writes as a whole.
const SECTOR_BYTES: usize = 512;

/// What stands at one place of a segment.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RecordRead<'bytes> {
    /// A whole record; the next one begins at `next`.
    Complete { payload: &'bytes [u8], next: usize },
    /// The end of the segment.
    End,
    /// A record whose last sectors were never written.
    Torn,
    /// A record that has changed since it was written.
    Damaged { problem: &'static str },
}

/// Appends a record of `payload` to `out`.
pub(super) fn append(payload: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&header(&[payload]));
    out.extend_from_slice(payload);
}

/// The header of a record whose payload consists of `pieces`.
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

/// Reads what stands at `offset`.
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
            "the checksum of a record's header differs",
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
            "the checksum of a record differs",
        );
    }
    RecordRead::Complete { payload, next: offset + end }
}

/// Tells a write that was cut short, after which the segment holds only zeros from the record's
/// start or a sector in it, from a change of what was written.
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
