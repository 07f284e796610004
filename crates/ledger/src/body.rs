//! Serialization of a response body as one byte string instead of a sequence of single bytes.

use std::fmt;

use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

struct BorrowedBody<'body>(&'body [u8]);

impl Serialize for BorrowedBody<'_> {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_bytes(self.0)
    }
}

struct OwnedBody(Vec<u8>);

impl<'de> Deserialize<'de> for OwnedBody {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_bytes(BytesVisitor).map(Self)
    }
}

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a byte string")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        Ok(bytes.to_vec())
    }
}

/// Serializes an optional body as a byte string.
pub(crate) fn serialize<S>(body: &Option<Vec<u8>>, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    body.as_deref().map(BorrowedBody).serialize(serializer)
}

/// Deserializes an optional body from a byte string.
pub(crate) fn deserialize<'de, D>(deserializer: D) -> Result<Option<Vec<u8>>, D::Error>
where
    D: Deserializer<'de>,
{
    let body = Option::<OwnedBody>::deserialize(deserializer)?;
    Ok(body.map(|body| body.0))
}
