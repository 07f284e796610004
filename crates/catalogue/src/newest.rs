//! The replicated state machine that stores the document with the highest number.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use state::{Index, Machine};

use crate::{Change, Number};

/// Maximum size of a decompressed document, in bytes. The limit is well above the largest accepted
/// request body.
pub(crate) const MAX_TEXT_BYTES: usize = 16 << 20;

/// Compression level of zstd. Up to this level, the compression of a few hundred kilobytes takes a
/// few milliseconds.
pub(crate) const COMPRESSION_LEVEL: i32 = 3;

/// First bytes of a zstd frame. Documents without this prefix are compressed with LZ4, either by an
/// earlier version or because zstd failed.
const ZSTD_MAGIC: [u8; 4] = 0xFD2F_B528_u32.to_le_bytes();

/// A document as an operator sent it, compressed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version number of the document.
    pub number: Number,
    /// Text of the document, compressed to save bandwidth on slow links.
    compressed: Arc<[u8]>,
}

impl Document {
    /// Compresses the `text` of the document `number`.
    pub fn pack(number: Number, text: &[u8]) -> Self {
        let compressed = zstd::bulk::compress(text, COMPRESSION_LEVEL);
        let compressed = compressed.unwrap_or_else(|_| lz4_flex::compress_prepend_size(text));
        Self { number, compressed: compressed.into() }
    }

    /// Compressed size in bytes.
    pub fn size(&self) -> usize {
        self.compressed.len()
    }

    /// Returns the decompressed text, or `None` if the compressed bytes are corrupt.
    pub fn text(&self) -> Option<Vec<u8>> {
        if self.compressed.starts_with(&ZSTD_MAGIC) {
            let size = zstd::zstd_safe::get_frame_content_size(&self.compressed).ok()??;
            let size = usize::try_from(size).ok().filter(|size| *size <= MAX_TEXT_BYTES)?;
            return zstd::bulk::decompress(&self.compressed, size).ok();
        }
        let (size, _) = lz4_flex::block::uncompressed_size(&self.compressed).ok()?;
        match size <= MAX_TEXT_BYTES {
            true => lz4_flex::decompress_size_prepended(&self.compressed).ok(),
            false => None,
        }
    }
}

/// A command in the replicated log that reads or replaces the document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the stored document if the given document has a higher number.
    Offer(Document),
    /// Reads the number of the newest document, linearizably with all writes.
    Read,
    /// Applies the change if its base is the newest document.
    Amend(Change),
}

/// Result of a [`Command`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The newest document has this number after the command.
    Held(Number),
    /// The command cannot be decoded.
    Malformed,
    /// The base of the change is not the newest document, which has this number.
    Missed(Number),
}

/// Maximum number of changes that are kept for instances that are a few versions behind.
const MAX_CHANGES: usize = 8;

/// Replicated state machine that stores the newest document.
#[derive(Debug, Default)]
pub struct Newest {
    document: Document,
    /// Consecutive changes that led to the document, oldest first.
    changes: Vec<Change>,
}

impl Newest {
    /// Returns the newest document; its number is 0 if no document is stored yet.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the command that replaces this document with the document `number`, which must be
    /// higher.
    ///
    /// The command holds only the change, because the leader sends each command to all other
    /// instances over a slow link. The command holds the whole document if the change is not
    /// smaller.
    pub fn offer(&self, number: Number, text: &[u8]) -> Command {
        let change = Change::between(&self.document, number, text);
        match change.filter(|change| change.size() < self.document.size()) {
            Some(change) => Command::Amend(change),
            None => Command::Offer(Document::pack(number, text)),
        }
    }

    /// Applies a committed change. The change has no effect if its base is not the newest document.
    pub fn amend(&mut self, change: &Change) -> Outcome {
        if change.number <= self.document.number {
            return Outcome::Held(self.document.number);
        }
        let Some(document) = change.apply(&self.document) else {
            return Outcome::Missed(self.document.number);
        };
        self.document = document;
        self.changes.push(change.clone());
        self.drop_changes();
        Outcome::Held(self.document.number)
    }

    /// Drops the oldest changes until at most [`MAX_CHANGES`] remain and their total size is less
    /// than the size of the document.
    fn drop_changes(&mut self) {
        let is_too_large = |changes: &[Change]| {
            let bytes: usize = changes.iter().map(Change::size).sum();
            changes.len() > MAX_CHANGES || bytes >= self.document.size()
        };
        let count = self.changes.len();
        let first =
            (0..count).find(|first| !is_too_large(&self.changes[*first..])).unwrap_or(count);
        self.changes.drain(..first);
    }

    /// Returns the changes that lead from the document `number` to the newest document.
    ///
    /// Returns `None` if some of these changes are not stored.
    pub fn changes_from(&self, number: Number) -> Option<&[Change]> {
        let first = self.changes.iter().position(|change| change.base == number)?;
        Some(&self.changes[first..])
    }

    /// Replaces the stored document if `document` has a higher number. Returns whether the stored
    /// document was replaced.
    ///
    /// `document` must be committed, but need not come from the replicated log.
    pub fn adopt(&mut self, document: Document) -> bool {
        let is_newer = document.number > self.document.number;
        if is_newer {
            self.document = document;
            self.changes.clear();
        }
        is_newer
    }
}

impl Machine for Newest {
    fn apply(&mut self, _: Index, command: &[u8]) -> Vec<u8> {
        let outcome = match postcard::from_bytes(command) {
            Ok(Command::Offer(document)) => {
                self.adopt(document);
                Outcome::Held(self.document.number)
            }
            Ok(Command::Read) => Outcome::Held(self.document.number),
            Ok(Command::Amend(change)) => self.amend(&change),
            Err(_) => Outcome::Malformed,
        };
        postcard::to_allocvec(&outcome).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.document).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let Ok(document) = postcard::from_bytes::<Document>(snapshot) else {
            return false;
        };
        self.adopt(document);
        true
    }
}
