//! Single authenticated datagrams.

use names::{Incarnation, Instance};
use serde::{Deserialize, Serialize};

use crate::{Error, Keyring, Slice, Tag, decode, encode};

/// Version of the frame format.
pub(crate) const VERSION: u8 = 1;

/// Largest datagram with its tag; a datagram of this size fits one packet on common networks.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1400;

/// A message as it is sent in one UDP datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Version of the frame format.
    pub version: u8,
    /// Instance that sends the datagram.
    pub sender: Instance,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence number, which grows with every datagram of an incarnation.
    pub sequence: u64,
    /// Instance that the datagram is addressed to.
    pub addressee: Instance,
    /// Slice that the payload belongs to.
    pub slice: Slice,
    /// Encoded message.
    pub payload: Vec<u8>,
}

impl Datagram {
    /// Encodes the datagram and appends its authentication tag.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] if the result does not fit one packet, and
    /// [`Error::Unauthenticated`] if the keyring has no key.
    pub fn seal(&self, keyring: &Keyring) -> Result<Vec<u8>, Error> {
        let mut bytes = encode(self)?;
        let key = keyring.signing_key().ok_or(Error::Unauthenticated)?;
        let tag = key.tag(&[&bytes]);
        bytes.extend_from_slice(tag.as_bytes());
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(Error::TooLarge { length: bytes.len(), limit: MAX_DATAGRAM_BYTES });
        }
        Ok(bytes)
    }

    /// Authenticates and decodes a datagram that arrived at the instance `me`.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is truncated, malformed, not authenticated, of another
    /// format version, or addressed to another instance.
    pub fn open(bytes: &[u8], keyring: &Keyring, me: &Instance) -> Result<Self, Error> {
        let truncated = || Error::Truncated { length: bytes.len() };
        let tag_start = bytes.len().checked_sub(Tag::BYTES).ok_or_else(truncated)?;
        let (content, tag) = bytes.split_at(tag_start);
        let tag = Tag::from_slice(tag).ok_or_else(truncated)?;
        keyring.find_key(&[content], &tag).ok_or(Error::Unauthenticated)?;
        let datagram: Self = decode("datagram", content)?;
        if datagram.version != VERSION {
            return Err(Error::UnsupportedVersion { version: datagram.version });
        }
        if datagram.addressee != *me {
            return Err(Error::Misdirected { addressee: datagram.addressee });
        }
        Ok(datagram)
    }
}
