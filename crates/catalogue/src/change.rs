//! Compressed differences between two versions of the document.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;
use zstd::bulk::{Compressor, Decompressor};

use crate::newest::{COMPRESSION_LEVEL, MAX_TEXT_BYTES};
use crate::{Document, Number};

/// The difference between two documents.
///
/// A change is far smaller than either document if only a few routes differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Number of the document that the change applies to.
    pub base: Number,
    /// Number of the document that results from the change.
    pub number: Number,
    /// Length of the resulting text, in bytes.
    text_bytes: u64,
    /// XXH3 hash of the resulting text.
    text_hash: u64,
    /// The resulting text, compressed by zstd with the text of the base as the dictionary.
    compressed: Arc<[u8]>,
}

impl Change {
    /// Creates the change from `base` to the document `number` with the given `text`.
    ///
    /// Returns `None` if `base` is corrupt or the text cannot be compressed.
    pub fn between(base: &Document, number: Number, text: &[u8]) -> Option<Self> {
        let mut compressor = Compressor::with_dictionary(COMPRESSION_LEVEL, &base.text()?).ok()?;
        let compressed = compressor.compress(text).ok()?;
        let (text_bytes, text_hash) = (text.len() as u64, xxh3_64(text));
        Some(Self {
            base: base.number,
            number,
            text_bytes,
            text_hash,
            compressed: compressed.into(),
        })
    }

    /// Compressed size in bytes.
    pub fn size(&self) -> usize {
        self.compressed.len()
    }

    /// Applies the change to `base` and returns the resulting document.
    ///
    /// Returns `None` if `base` is not the document that the change was made for, or if the change
    /// is corrupt.
    pub fn apply(&self, base: &Document) -> Option<Document> {
        let bytes =
            usize::try_from(self.text_bytes).ok().filter(|bytes| *bytes <= MAX_TEXT_BYTES)?;
        let base = base.text().filter(|_| base.number == self.base)?;
        let mut decompressor = Decompressor::with_dictionary(&base).ok()?;
        let text = decompressor.decompress(&self.compressed, bytes).ok()?;
        (xxh3_64(&text) == self.text_hash).then(|| Document::pack(self.number, &text))
    }
}
