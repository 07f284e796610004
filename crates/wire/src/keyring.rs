//! Fleet secrets: the first signs, each of them is accepted.

use serde::{Deserialize, Serialize};

const FLEET_CONTEXT: &str = "turmericrelay 2026 fleet secret";
const TAG_BYTES: usize = 16;

/// Authenticates a run of bytes under a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tag([u8; TAG_BYTES]);

impl Tag {
    /// Length of a tag in bytes.
    pub const BYTES: usize = TAG_BYTES;

    /// The tag in `bytes`, which must have the length of a tag.
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The tag as bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// A key derived from a fleet secret or for a session.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// The tag of `parts`, taken one after the other.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(part);
        }
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        Tag(tag)
    }

    /// Whether `tag` is that of `parts`, compared in constant time.
    pub fn verifies(&self, parts: &[&[u8]], tag: &Tag) -> bool {
        let expected = self.tag(parts);
        let difference =
            expected.0.iter().zip(&tag.0).fold(0, |sum, (left, right)| sum | (left ^ right));
        difference == 0
    }

    /// A key of its own for the session that both nonces name.
    pub fn session(&self, dialler: u64, listener: u64) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(b"session");
        hasher.update(&dialler.to_le_bytes());
        hasher.update(&listener.to_le_bytes());
        Self(*hasher.finalize().as_bytes())
    }
}

/// The accepted fleet secrets.
#[derive(Clone)]
pub struct Keyring {
    keys: Vec<Key>,
}

impl Keyring {
    /// A keyring of `secrets`, the signing one first.
    pub fn new(secrets: &[String]) -> Self {
        let keys = secrets
            .iter()
            .map(|secret| Key(blake3::derive_key(FLEET_CONTEXT, secret.as_bytes())))
            .collect();
        Self { keys }
    }

    /// The key that signs, if there is any.
    pub fn signing(&self) -> Option<&Key> {
        self.keys.first()
    }

    /// The accepted key under which `tag` is that of `parts`.
    pub fn verifying(&self, parts: &[&[u8]], tag: &Tag) -> Option<&Key> {
        self.keys.iter().find(|key| key.verifies(parts, tag))
    }
}
