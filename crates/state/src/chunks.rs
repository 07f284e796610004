//! Byte strings made of shared pieces, which lets large states be passed around and stored without
//! copies.

use std::fmt;
use std::sync::Arc;

use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes stored as a list of shared pieces. Serializes as a single byte string.
#[derive(Clone, Default)]
pub struct Chunks {
    list: Vec<Arc<[u8]>>,
    length: usize,
}

impl Chunks {
    /// Appends a piece without copying it.
    pub fn push(&mut self, piece: Arc<[u8]>) {
        self.length += piece.len();
        self.list.push(piece);
    }

    /// Appends all pieces of `other` without copying them.
    pub fn extend(&mut self, other: Self) {
        self.length += other.length;
        self.list.extend(other.list);
    }

    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the length is zero.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the pieces in order.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.list.iter().map(|piece| &piece[..])
    }

    /// Copies the bytes in `start..end`, clamped to the available length.
    pub fn slice(&self, start: usize, end: usize) -> Vec<u8> {
        let mut out = Vec::with_capacity(end.min(self.length).saturating_sub(start));
        let mut offset = 0;
        for piece in &self.list {
            let from = start.saturating_sub(offset).min(piece.len());
            let to = end.saturating_sub(offset).min(piece.len());
            out.extend_from_slice(piece.get(from..to).unwrap_or_default());
            offset += piece.len();
        }
        out
    }

    /// Copies all bytes into one vector.
    pub fn to_vec(&self) -> Vec<u8> {
        self.slice(0, self.length)
    }

    /// Returns all bytes as one piece; copies only if there are several pieces.
    pub fn joined(&self) -> Arc<[u8]> {
        match &self.list[..] {
            [] => Arc::default(),
            [only] => only.clone(),
            _ => self.to_vec().into(),
        }
    }
}

impl From<Vec<u8>> for Chunks {
    fn from(bytes: Vec<u8>) -> Self {
        Self::from(Arc::from(bytes))
    }
}

impl From<Arc<[u8]>> for Chunks {
    fn from(bytes: Arc<[u8]>) -> Self {
        Self { length: bytes.len(), list: vec![bytes] }
    }
}

impl PartialEq for Chunks {
    fn eq(&self, other: &Self) -> bool {
        self.length == other.length && self.joined() == other.joined()
    }
}

impl Eq for Chunks {}

impl fmt::Debug for Chunks {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Chunks({} bytes in {} pieces)", self.length, self.list.len())
    }
}

impl Serialize for Chunks {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_bytes(&self.joined())
    }
}

struct Bytes;

impl Visitor<'_> for Bytes {
    type Value = Chunks;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a byte string")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Chunks, E> {
        Ok(Chunks::from(Arc::from(bytes)))
    }
}

impl<'de> Deserialize<'de> for Chunks {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_bytes(Bytes)
    }
}
