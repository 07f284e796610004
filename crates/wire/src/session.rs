//! The handshake of a TCP connection and the frames under its session key.
//!
//! The initiator, which opened the connection, sends [`Hello`], and the responder answers with
//! [`Welcome`]; both carry a fresh nonce and a tag under the fleet secret. The session key depends
//! on both nonces, so a recorded connection cannot be replayed. Only the initiator sends frames.

use names::{Incarnation, Instance};
use serde::{Deserialize, Serialize};

use crate::datagram::VERSION;
use crate::keyring::Key;
use crate::{Error, Keyring, Slice, Tag, decode, encode};

/// First message of the handshake, from the initiator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the frame format.
    pub version: u8,
    /// Instance that initiates the connection.
    pub sender: Instance,
    /// Incarnation of the initiator.
    pub incarnation: Incarnation,
    /// Instance that the connection is addressed to.
    pub addressee: Instance,
    /// Nonce of the initiator.
    pub nonce: u64,
}

/// Answer of the responder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// Nonce of the responder.
    pub nonce: u64,
    /// Nonce of the initiator, copied from its [`Hello`].
    pub initiator_nonce: u64,
}

/// An encoded message with its authentication tag.
#[derive(Serialize, Deserialize)]
struct Signed {
    content: Vec<u8>,
    tag: Tag,
}

fn sign<M>(keyring: &Keyring, message: &M) -> Result<Vec<u8>, Error>
where
    M: Serialize,
{
    let content = encode(message)?;
    let tag = keyring.signing_key().ok_or(Error::Unauthenticated)?.tag(&[&content]);
    encode(&Signed { content, tag })
}

fn verify<'a>(keyring: &'a Keyring, bytes: &[u8]) -> Result<(Vec<u8>, &'a Key), Error> {
    let signed: Signed = decode("handshake", bytes)?;
    let key = keyring.find_key(&[&signed.content], &signed.tag).ok_or(Error::Unauthenticated)?;
    Ok((signed.content, key))
}

/// Initiator's side of a handshake in progress.
pub struct Initiator {
    keyring: Keyring,
    nonce: u64,
}

impl Initiator {
    /// Starts a handshake. Returns its state and the [`Hello`] to send.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unauthenticated`] if the keyring has no key.
    pub fn start(
        keyring: Keyring,
        sender: Instance,
        incarnation: Incarnation,
        addressee: Instance,
        nonce: u64,
    ) -> Result<(Self, Vec<u8>), Error> {
        let hello = Hello { version: VERSION, sender, incarnation, addressee, nonce };
        let bytes = sign(&keyring, &hello)?;
        Ok((Self { keyring, nonce }, bytes))
    }

    /// Checks the responder's [`Welcome`]. Returns the session that seals frames.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unauthenticated`] if the answer is not authenticated or belongs to another
    /// handshake, and [`Error::Malformed`] if it cannot be decoded.
    pub fn finish(self, bytes: &[u8]) -> Result<Session, Error> {
        let (content, _) = verify(&self.keyring, bytes)?;
        let welcome: Welcome = decode("welcome", &content)?;
        if welcome.initiator_nonce != self.nonce {
            return Err(Error::Unauthenticated);
        }
        let key = self.keyring.signing_key().ok_or(Error::Unauthenticated)?;
        Ok(Session { key: key.session_key(self.nonce, welcome.nonce), sequence: 0 })
    }
}

/// Responder's side of a handshake.
pub struct Responder;

impl Responder {
    /// Checks an initiator's [`Hello`]. Returns the decoded message, the [`Welcome`] to send and
    /// the session that opens frames.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed, not authenticated, of another format version,
    /// or addressed to another instance.
    pub fn accept(
        keyring: &Keyring,
        me: &Instance,
        nonce: u64,
        bytes: &[u8],
    ) -> Result<(Hello, Vec<u8>, Session), Error> {
        let (content, key) = verify(keyring, bytes)?;
        let hello: Hello = decode("hello", &content)?;
        if hello.version != VERSION {
            return Err(Error::UnsupportedVersion { version: hello.version });
        }
        if hello.addressee != *me {
            return Err(Error::Misdirected { addressee: hello.addressee });
        }
        let session = Session { key: key.session_key(hello.nonce, nonce), sequence: 0 };
        let welcome = sign(keyring, &Welcome { nonce, initiator_nonce: hello.nonce })?;
        Ok((hello, welcome, session))
    }
}

/// Key and frame counter of an established connection, which seal or open its frames.
pub struct Session {
    key: Key,
    sequence: u64,
}

impl Session {
    fn next_sequence(&mut self) -> [u8; 8] {
        self.sequence += 1;
        self.sequence.to_le_bytes()
    }

    /// Appends the next frame to `out`: the slice, the payload and the authentication tag.
    pub fn seal(&mut self, slice: Slice, payload: &[u8], out: &mut Vec<u8>) {
        let sequence = self.next_sequence();
        let slice = [slice as u8];
        let tag = self.key.tag(&[&sequence, &slice, payload]);
        out.extend_from_slice(&slice);
        out.extend_from_slice(payload);
        out.extend_from_slice(tag.as_bytes());
    }

    /// Authenticates the next frame. Returns its slice and payload.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Truncated`], [`Error::Unauthenticated`] or [`Error::Malformed`]. The
    /// connection must be closed after any of these errors.
    pub fn open(&mut self, bytes: &[u8]) -> Result<(Slice, Vec<u8>), Error> {
        let truncated = || Error::Truncated { length: bytes.len() };
        let tag_start = bytes.len().checked_sub(Tag::BYTES).ok_or_else(truncated)?;
        let (content, tag) = bytes.split_at(tag_start);
        let tag = Tag::from_slice(tag).ok_or_else(truncated)?;
        let (slice, payload) = content.split_first().ok_or_else(truncated)?;
        let sequence = self.next_sequence();
        if !self.key.verifies(&[&sequence, &[*slice], payload], &tag) {
            return Err(Error::Unauthenticated);
        }
        Ok((decode("slice", &[*slice])?, payload.to_vec()))
    }
}
