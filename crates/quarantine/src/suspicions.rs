//! Decides whether an answer that broke off at its beginning is the trace of a crash.

use std::time::{Duration, Instant};

use crate::{Key, MAX_KEYS, Run};

/// Delay between the end of an answer and the first check whether its upstream still listens. Most
/// processes that end close all their sockets within this time.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(20);

/// Delay until the last check. Any process that ends closes all its sockets within this time.
const LAST_CHECK_DELAY: Duration = Duration::from_millis(100);

/// How long a suspicion waits for the result of its check.
const SUSPICION_TTL: Duration = Duration::from_secs(5);

/// Largest number of suspicions that wait for a check.
const MAX_SUSPICIONS: usize = 256;

/// What to do about the upstream of an answer that broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// Check at the given time whether the upstream still listens.
    At(Instant),
    /// A check of the upstream is already due.
    Pending,
}

#[derive(Debug, Clone)]
struct Suspicion {
    run: Run,
    at: Instant,
    keys: Vec<Key>,
}

/// Answers that broke off at their beginning and whose upstreams have not been checked yet.
///
/// A broken answer alone does not show a crash: connections are reset and cut, and upstreams break
/// off answers. Only an upstream whose address refuses connections has ended.
#[derive(Debug, Clone, Default)]
pub struct Suspicions {
    entries: Vec<Suspicion>,
}

impl Suspicions {
    /// Records that the answer of `run` to a request with `keys` broke off at its beginning.
    pub fn record(&mut self, now: Instant, run: Run, keys: &[Key]) -> Check {
        self.entries.retain(|entry| now < entry.at + SUSPICION_TTL);
        let is_pending = self.entries.iter().any(|entry| entry.run == run);
        if self.entries.len() < MAX_SUSPICIONS {
            let keys = keys.iter().take(MAX_KEYS).copied().collect();
            self.entries.push(Suspicion { run, at: now, keys });
        }
        if is_pending { Check::Pending } else { Check::At(now + FIRST_CHECK_DELAY) }
    }

    /// Returns the time of another check of `run`, which still listens at `now`, or `None` if the
    /// checks are over.
    pub fn next_check(&self, now: Instant, run: Run) -> Option<Instant> {
        let broken = self.entries.iter().filter(|entry| entry.run == run);
        let at = broken.map(|entry| entry.at).min()? + LAST_CHECK_DELAY;
        (now < at).then_some(at)
    }

    /// Removes the suspicions against `run`, whose check has ended, and returns the time of the
    /// first broken answer and the keys of the requests. The keys are sorted.
    pub fn take(&mut self, run: Run) -> Option<(Instant, Vec<Key>)> {
        let taken: Vec<Suspicion> = self.entries.extract_if(.., |entry| entry.run == run).collect();
        let first = taken.iter().map(|entry| entry.at).min()?;
        let mut keys: Vec<Key> = taken.into_iter().flat_map(|entry| entry.keys).collect();
        keys.sort();
        keys.dedup();
        Some((first, keys))
    }
}
