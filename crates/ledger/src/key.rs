//! Idempotency keys, digests, and ledger time.

use std::fmt;
use std::time::Duration;

use names::{ClientAccount, Service};
use serde::{Deserialize, Serialize};

use crate::KeyError;

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// An idempotency key, which a caller sends with a request that must not run twice.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(String);

impl TryFrom<String> for Key {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        if text.is_empty() {
            return Err(KeyError::Empty { limit: MAX_KEY_BYTES });
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(KeyError::TooLong { length: text.len(), limit: MAX_KEY_BYTES });
        }
        match text.chars().find(|character| !character.is_ascii_graphic()) {
            Some(character) => Err(KeyError::InvalidCharacter { character }),
            None => Ok(Self(text)),
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A BLAKE3 hash of 32 bytes, displayed as its first 8 bytes in hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    pub(crate) fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns the hash of `parts`. Each part is hashed with its length, so that the same bytes
    /// split differently have a different hash.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..8].iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Digest({self})")
    }
}

/// Identity of a request with an idempotency key, as it is claimed in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestIdentity {
    /// Hash of client account, service and key.
    pub key: Digest,
    /// Account whose share of the ledger the claim counts against.
    pub account: ClientAccount,
    /// Hash of the request, which a resend must match.
    pub request: Digest,
}

impl RequestIdentity {
    /// Creates the identity of a request with `key`. `request_parts` are the parts of the request
    /// that must be identical in a resend.
    pub fn new(
        account: &ClientAccount,
        service: &Service,
        key: &Key,
        request_parts: &[&[u8]],
    ) -> Self {
        let scope = [account.as_str(), service.as_str(), &key.0].map(str::as_bytes);
        Self {
            key: Digest::of(&scope),
            account: account.clone(),
            request: Digest::of(request_parts),
        }
    }
}

/// Ledger time in milliseconds. Ledger time advances only with committed commands, and never
/// faster than the fastest monotonic clock among the instances.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time `span` later.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)))
    }

    /// Returns the duration from `now` until this time, or zero if this time has passed.
    pub fn remaining_at(self, now: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(now.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}
