//! Keys derived from the fleet secrets.
//!
//! The key of the first secret signs; tags under the key of any secret are accepted, so that a
//! secret can be replaced while the fleet runs.

use serde::{Deserialize, Serialize};

const KEY_DERIVATION_CONTEXT: &str = "turmericrelay 2026 fleet secret";
const TAG_BYTES: usize = 16;

/// Authentication tag of a byte sequence under a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tag([u8; TAG_BYTES]);

impl Tag {
    /// Length of a tag in bytes.
    pub const BYTES: usize = TAG_BYTES;

    /// Reads a tag from `bytes`. Returns `None` if `bytes` is not [`Tag::BYTES`] long.
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the bytes of the tag.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Key derived from a fleet secret or, for one session, from such a key.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Computes the tag of the concatenation of `parts`.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(part);
        }
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        Tag(tag)
    }

    /// Returns whether `tag` is the tag of `parts`. The comparison takes constant time.
    pub fn verifies(&self, parts: &[&[u8]], tag: &Tag) -> bool {
        let expected = self.tag(parts);
        let difference =
            expected.0.iter().zip(&tag.0).fold(0, |bits, (left, right)| bits | (left ^ right));
        difference == 0
    }

    /// Derives the key of the session with the given nonces of its initiator and its responder.
    pub fn session_key(&self, initiator_nonce: u64, responder_nonce: u64) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(b"session");
        hasher.update(&initiator_nonce.to_le_bytes());
        hasher.update(&responder_nonce.to_le_bytes());
        Self(*hasher.finalize().as_bytes())
    }
}

/// Keys of the accepted fleet secrets.
#[derive(Clone)]
pub struct Keyring {
    keys: Vec<Key>,
}

impl Keyring {
    /// Creates a keyring from `secrets`, of which the first one signs.
    pub fn new(secrets: &[String]) -> Self {
        let keys = secrets
            .iter()
            .map(|secret| Key(blake3::derive_key(KEY_DERIVATION_CONTEXT, secret.as_bytes())))
            .collect();
        Self { keys }
    }

    /// Returns the key that signs, or `None` if the keyring is empty.
    pub fn signing_key(&self) -> Option<&Key> {
        self.keys.first()
    }

    /// Returns the accepted key under which `tag` is the tag of `parts`.
    pub fn find_key(&self, parts: &[&[u8]], tag: &Tag) -> Option<&Key> {
        self.keys.iter().find(|key| key.verifies(parts, tag))
    }
}
