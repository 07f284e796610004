//! Finds the requests that crash upstreams, and keeps them from further upstreams.
//!
//! Each request has keys: the parts of its prompt, or the whole request if it has no prompt. A key
//! that makes upstreams crash is found by its record: upstreams crashed while they ran requests with
//! the key, and no such request has been answered beyond its beginning since. Keys that sound
//! requests share are cleared by the answers to these. An instance sees only some of the crashes and
//! of the answers, so instances
//! exchange [`Record`]s. Merging records is commutative and idempotent: a record may arrive late,
//! twice, or by way of another instance.

mod error;
mod key;
mod record;
mod suspect;
mod suspects;
mod suspicions;

pub use error::Error;
pub use key::{Key, Run};
pub use record::{CrashRecord, Record};
pub use suspect::Change;
pub use suspects::{Admission, Hazard, Suspects};
pub use suspicions::{Check, Suspicions};

use std::time::Duration;

/// Duration of the beginning of an answer. An upstream that a key crashes does so within this time
/// after the first byte of the answer; an answer that goes on for longer clears its keys.
pub const BEGINNING: Duration = Duration::from_millis(500);

/// Number of pieces of an answer that must have arrived by the end of its beginning. Fewer may have
/// been sent before a crash and have arrived late.
pub const MIN_SOUND_PIECES: u32 = 3;

/// Largest number of keys of one request that are looked at.
pub const MAX_KEYS: usize = 64;

/// Returns whether an answer with `status` shows that the upstream ran the request.
pub fn shows_run(status: u16) -> bool {
    matches!(status, 200..=499) && !matches!(status, 408 | 421 | 429)
}
