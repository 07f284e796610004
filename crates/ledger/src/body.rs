//! The body of an answer, serialized in one piece in the form of a sequence of bytes.

use std::fmt;

use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

struct Borrowed<'body>(&'body [u8]);

impl Serialize for Borrowed<'_> {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_bytes(self.0)
    }
}

struct Owned(Vec<u8>);

impl<'de> Deserialize<'de> for Owned {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_bytes(Bytes).map(Self)
    }
}

struct Bytes;

impl Visitor<'_> for Bytes {
    type Value = Vec<u8>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a byte string")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        Ok(bytes.to_vec())
    }
}

/// Serializes a body.
pub(crate) fn serialize<S>(body: &Option<Vec<u8>>, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    body.as_deref().map(Borrowed).serialize(serializer)
}

/// Deserializes a body.
pub(crate) fn deserialize<'de, D>(deserializer: D) -> Result<Option<Vec<u8>>, D::Error>
where
    D: Deserializer<'de>,
{
    let body = Option::<Owned>::deserialize(deserializer)?;
    Ok(body.map(|body| body.0))
}
