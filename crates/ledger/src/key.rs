//! Idempotency keys, their digests, and the ledger's time.

use std::fmt;
use std::time::Duration;

use names::{ClientAccount, Service};
use serde::{Deserialize, Serialize};

use crate::Error;

/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// A key that a caller gave to a request that must not run twice.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(String);

impl TryFrom<String> for Key {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        if text.is_empty() {
            return Err(Error::Empty { limit: MAX_KEY_BYTES });
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(Error::Long { length: text.len(), limit: MAX_KEY_BYTES });
        }
        match text.chars().find(|character| !character.is_ascii_graphic()) {
            Some(character) => Err(Error::Character { character }),
            None => Ok(Self(text)),
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A BLAKE3 hash.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    pub(crate) fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// The hash of `parts`; the same bytes cut in other places give another hash.
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

/// What a request claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Hash of client account, service and key.
    pub key: Digest,
    /// The account, which has a bounded share of the ledger.
    pub account: ClientAccount,
    /// Hash of the request itself.
    pub body: Digest,
}

impl Ticket {
    /// The ticket of a request with `key`; `request` is what must be the same in a resend.
    pub fn new(account: &ClientAccount, service: &Service, key: &Key, request: &[&[u8]]) -> Self {
        let scope = [account.as_str(), service.as_str(), &key.0].map(str::as_bytes);
        Self { key: Digest::of(&scope), account: account.clone(), body: Digest::of(request) }
    }
}

/// The ledger's own time, in milliseconds. It advances with committed commands alone and never
/// faster than the fastest monotonic clock among the instances.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The time `span` later.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)))
    }

    /// How long it is until this time, seen at `now`.
    pub fn left_at(self, now: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(now.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}
