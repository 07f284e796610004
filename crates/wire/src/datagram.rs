//! Single authenticated datagrams.

use names::{Incarnation, Instance};
use serde::{Deserialize, Serialize};

use crate::{Error, Keyring, Slice, Tag, decode, encode};

/// Version of the frame format.
pub(crate) const VERSION: u8 = 1;

/// Largest datagram, so that it fits one packet on common networks.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1400;

/// One message in a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Version of the frame format.
    pub version: u8,
    /// The sending instance.
    pub sender: Instance,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// Grows with every datagram of the run.
    pub sequence: u64,
    /// The instance that it is meant for.
    pub addressee: Instance,
    /// The duty that the payload belongs to.
    pub slice: Slice,
    /// The encoded message.
    pub payload: Vec<u8>,
}

impl Datagram {
    /// The datagram as bytes with its tag behind.
    ///
    /// # Errors
    ///
    /// [`Error::Large`] when it does not fit one packet, [`Error::Forged`] without a secret.
    pub fn seal(&self, keyring: &Keyring) -> Result<Vec<u8>, Error> {
        let mut bytes = encode(self)?;
        let key = keyring.signing().ok_or(Error::Forged)?;
        let tag = key.tag(&[&bytes]);
        bytes.extend_from_slice(tag.as_bytes());
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(Error::Large { length: bytes.len(), limit: MAX_DATAGRAM_BYTES });
        }
        Ok(bytes)
    }

    /// Checks and reads a datagram that arrived at the instance `me`.
    ///
    /// # Errors
    ///
    /// When it is truncated, forged, of another version, or meant for another instance.
    pub fn open(bytes: &[u8], keyring: &Keyring, me: &Instance) -> Result<Self, Error> {
        let truncated = || Error::Truncated { length: bytes.len() };
        let split = bytes.len().checked_sub(Tag::BYTES).ok_or_else(truncated)?;
        let (content, tag) = bytes.split_at(split);
        let tag = Tag::from_slice(tag).ok_or_else(truncated)?;
        keyring.verifying(&[content], &tag).ok_or(Error::Forged)?;
        let datagram: Self = decode("datagram", content)?;
        if datagram.version != VERSION {
            return Err(Error::Version { version: datagram.version });
        }
        if datagram.addressee != *me {
            return Err(Error::Misdirected { addressee: datagram.addressee });
        }
        Ok(datagram)
    }
}
