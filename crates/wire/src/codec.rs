//! Encoding and decoding of messages with postcard.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Encodes `message`.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if the message cannot be encoded.
pub fn encode<M>(message: &M) -> Result<Vec<u8>, Error>
where
    M: Serialize,
{
    postcard::to_allocvec(message).map_err(|source| Error::Malformed {
        what: "message",
        length: 0,
        source,
    })
}

/// Decodes a message from `bytes`, which must contain nothing else; `what` names the message in
/// errors.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if the bytes are not a valid message of this type.
pub fn decode<M>(what: &'static str, bytes: &[u8]) -> Result<M, Error>
where
    M: DeserializeOwned,
{
    let malformed = |source| Error::Malformed { what, length: bytes.len(), source };
    let (message, rest) = postcard::take_from_bytes(bytes).map_err(malformed)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(malformed(postcard::Error::DeserializeBadEncoding))
    }
}
