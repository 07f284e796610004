//! How a document spreads without filling the links of the few instances that have it first.

use std::time::{Duration, Instant};

use names::Instance;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Number;

/// Instances of a data centre that ask control instances at a time.
const OPENERS: usize = 2;

/// How long the others wait for these, a small part of the time in which a document has to be in
/// force everywhere. The next ones follow after the same time.
const OPENER_TIME: Duration = Duration::from_millis(500);

/// Bytes of documents that a control instance sends a second: half of the narrowest link that
/// control instances are planned for, 3 Mbit/s. The rest is for the log and for heartbeats.
const BYTES_PER_SECOND: f64 = 187_500.0;

/// For how long documents may fill that half ahead; heartbeats behind them are late by as much.
const MAX_AHEAD: Duration = Duration::from_millis(200);

/// How long `me` waits for its `neighbours`, the other instances of its data centre, before it
/// asks a control instance for the document `number`.
pub fn turn(me: &Instance, neighbours: &[Instance], number: Number) -> Duration {
    let weight = |one: &Instance| xxh3_64_with_seed(one.as_str().as_bytes(), number.0);
    let own = weight(me);
    let before = neighbours.iter().filter(|one| weight(one) > own).count();
    OPENER_TIME * u32::try_from(before / OPENERS).unwrap_or(u32::MAX)
}

/// What an instance lacks, and since when it knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lack {
    since: Option<Instant>,
}

impl Lack {
    /// Whether a newer document is known to exist.
    pub fn is_known(&self) -> bool {
        self.since.is_some()
    }

    /// Takes note at `now` that a newer document exists; gives since when that is known.
    pub fn note(&mut self, now: Instant) -> Instant {
        *self.since.get_or_insert(now)
    }

    /// Takes note that the instance has the newest document that it knows of.
    pub fn end(&mut self) {
        self.since = None;
    }
}

/// Documents that a control instance has sent lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outflow {
    /// When the share of the link will have carried them.
    until: Option<Instant>,
}

impl Outflow {
    /// Whether a document of `bytes` may be sent at `now`; who is not answered asks again, first
    /// those who have it by then.
    pub fn admit(&mut self, now: Instant, bytes: usize) -> bool {
        let from = self.until.map_or(now, |until| until.max(now));
        if from > now + MAX_AHEAD {
            return false;
        }
        self.until = Some(from + Duration::from_secs_f64(bytes as f64 / BYTES_PER_SECOND));
        true
    }
}
