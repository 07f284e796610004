//! Messages to bytes and back.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Encodes `message`.
///
/// # Errors
///
/// [`Error::Form`] when the message cannot be encoded.
pub fn encode<M>(message: &M) -> Result<Vec<u8>, Error>
where
    M: Serialize,
{
    postcard::to_allocvec(message).map_err(|source| Error::Form {
        what: "message",
        length: 0,
        source,
    })
}

/// Decodes the `what` in `bytes`, all of which must be used.
///
/// # Errors
///
/// [`Error::Form`] when the bytes are not such a message.
pub fn decode<M>(what: &'static str, bytes: &[u8]) -> Result<M, Error>
where
    M: DeserializeOwned,
{
    let form = |source| Error::Form { what, length: bytes.len(), source };
    let (message, rest) = postcard::take_from_bytes(bytes).map_err(form)?;
    if rest.is_empty() { Ok(message) } else { Err(form(postcard::Error::DeserializeBadEncoding)) }
}
