//! Hashes of API keys. The keys themselves are never stored.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Context string of the key derivation. A different value invalidates all stored hashes.
const KEY_CONTEXT: &str = "turmericrelay 2026 api key";

/// Hash of an API key of a client account.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash(String);

impl KeyHash {
    /// Hashes the API key `key`, in the form that callers send.
    pub fn of(key: &str) -> Self {
        let hash = blake3::derive_key(KEY_CONTEXT, key.as_bytes());
        Self(blake3::Hash::from_bytes(hash).to_hex().to_string())
    }
}

impl KeyHash {
    /// Returns the hash as 64 hexadecimal digits in lower case.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for KeyHash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let is_hash = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if is_hash { Ok(Self(text.to_ascii_lowercase())) } else { Err(Error::InvalidKeyHash) }
    }
}

impl TryFrom<String> for KeyHash {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        hash.0
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
