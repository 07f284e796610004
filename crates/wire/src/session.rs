//! The handshake of a TCP connection and the frames under its session key.
//!
//! The dialler sends [`Hello`], the listener answers [`Welcome`]; both carry a fresh nonce and a
//! tag under the fleet secret. The session key depends on both nonces, so a recorded connection
//! cannot be played back. Only the dialler sends frames.

use names::{Incarnation, Instance};
use serde::{Deserialize, Serialize};

use crate::datagram::VERSION;
use crate::keyring::Key;
use crate::{Error, Keyring, Slice, Tag, decode, encode};

/// First message of the dialler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the frame format.
    pub version: u8,
    /// The dialling instance.
    pub sender: Instance,
    /// The dialler's run.
    pub incarnation: Incarnation,
    /// The instance that the dialler wants to reach.
    pub addressee: Instance,
    /// The dialler's nonce.
    pub nonce: u64,
}

/// Answer of the listener.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The listener's nonce.
    pub nonce: u64,
    /// The dialler's nonce, repeated.
    pub dialler: u64,
}

/// A message with its tag.
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
    let tag = keyring.signing().ok_or(Error::Forged)?.tag(&[&content]);
    encode(&Signed { content, tag })
}

fn verify<'a>(keyring: &'a Keyring, bytes: &[u8]) -> Result<(Vec<u8>, &'a Key), Error> {
    let signed: Signed = decode("handshake", bytes)?;
    let key = keyring.verifying(&[&signed.content], &signed.tag).ok_or(Error::Forged)?;
    Ok((signed.content, key))
}

/// The dialling side before the session stands.
pub struct Dialler {
    keyring: Keyring,
    nonce: u64,
}

impl Dialler {
    /// Starts a handshake; gives the bytes to send.
    ///
    /// # Errors
    ///
    /// [`Error::Forged`] without a fleet secret.
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

    /// Checks the listener's answer; gives the session to send under.
    ///
    /// # Errors
    ///
    /// [`Error::Forged`] when the answer is not to this handshake or not authenticated.
    pub fn finish(self, bytes: &[u8]) -> Result<Session, Error> {
        let (content, _) = verify(&self.keyring, bytes)?;
        let welcome: Welcome = decode("welcome", &content)?;
        if welcome.dialler != self.nonce {
            return Err(Error::Forged);
        }
        let key = self.keyring.signing().ok_or(Error::Forged)?;
        Ok(Session { key: key.session(self.nonce, welcome.nonce), sequence: 0 })
    }
}

/// The listening side.
pub struct Listener;

impl Listener {
    /// Checks a dialler's hello; gives the dialler's identity, the answer and the session.
    ///
    /// # Errors
    ///
    /// When the hello is forged, of another version, or meant for another instance.
    pub fn accept(
        keyring: &Keyring,
        me: &Instance,
        nonce: u64,
        bytes: &[u8],
    ) -> Result<(Hello, Vec<u8>, Session), Error> {
        let (content, key) = verify(keyring, bytes)?;
        let hello: Hello = decode("hello", &content)?;
        if hello.version != VERSION {
            return Err(Error::Version { version: hello.version });
        }
        if hello.addressee != *me {
            return Err(Error::Misdirected { addressee: hello.addressee });
        }
        let session = Session { key: key.session(hello.nonce, nonce), sequence: 0 };
        let welcome = sign(keyring, &Welcome { nonce, dialler: hello.nonce })?;
        Ok((hello, welcome, session))
    }
}

/// One direction of an established connection.
pub struct Session {
    key: Key,
    sequence: u64,
}

impl Session {
    fn next_sequence(&mut self) -> [u8; 8] {
        self.sequence += 1;
        self.sequence.to_le_bytes()
    }

    /// Appends the next frame to `out`: the slice, the payload and the tag.
    pub fn seal(&mut self, slice: Slice, payload: &[u8], out: &mut Vec<u8>) {
        let sequence = self.next_sequence();
        let slice = [slice as u8];
        let tag = self.key.tag(&[&sequence, &slice, payload]);
        out.extend_from_slice(&slice);
        out.extend_from_slice(payload);
        out.extend_from_slice(tag.as_bytes());
    }

    /// Checks the next frame; gives its slice and payload.
    ///
    /// # Errors
    ///
    /// [`Error::Truncated`] or [`Error::Forged`], after which the connection must be closed.
    pub fn open(&mut self, bytes: &[u8]) -> Result<(Slice, Vec<u8>), Error> {
        let truncated = || Error::Truncated { length: bytes.len() };
        let split = bytes.len().checked_sub(Tag::BYTES).ok_or_else(truncated)?;
        let (content, tag) = bytes.split_at(split);
        let tag = Tag::from_slice(tag).ok_or_else(truncated)?;
        let (slice, payload) = content.split_first().ok_or_else(truncated)?;
        let sequence = self.next_sequence();
        if !self.key.verifies(&[&sequence, &[*slice], payload], &tag) {
            return Err(Error::Forged);
        }
        Ok((decode("slice", &[*slice])?, payload.to_vec()))
    }
}
