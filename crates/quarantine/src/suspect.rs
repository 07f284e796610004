//! What is known about one key that may crash upstreams.

use std::time::{Duration, Instant};

use crate::{CrashRecord, Key, Record, Run};

/// Number of upstreams that must have crashed under a key before it is quarantined. Requests that
/// merely were at a crashed upstream rarely share a key with those at two others, without a sound
/// answer in between.
const QUARANTINE_CRASHES: usize = 3;

/// Largest number of crashes that are kept for a key.
const MAX_CRASHES: usize = 5;

/// Times after the last crash, or the last trial, at which one request with a quarantined key may
/// be tried. There are no further trials, because each may cost the answers at an upstream.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(120), Duration::from_secs(3600)];

/// How long a key is remembered after its last crash or trial.
const SUSPECT_TTL: Duration = Duration::from_secs(24 * 3600);

/// How long a key is remembered that was cleared. Records of its crashes that arrive later are
/// recognized as outdated.
const CLEARED_TTL: Duration = Duration::from_secs(120);

/// How long an answer that got past its beginning shows that its keys are sound.
pub(crate) const SOUND_TTL: Duration = Duration::from_secs(10);

/// Time within which crashes may have a common cause other than their requests.
const INCIDENT_SPAN: Duration = Duration::from_secs(1);

/// Time by which two instances may differ about when a key was cleared. A smaller difference is no
/// news.
const CLEARED_TOLERANCE: Duration = Duration::from_millis(200);

/// Change of what is known about a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The key is quarantined from now on.
    Quarantined(Key),
    /// The key was quarantined and is not any more.
    Released(Key),
}

/// Crash of an upstream as it began an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Crash {
    pub(crate) run: Run,
    pub(crate) at: Instant,
}

/// Latest trial of a key, and number of trials so far.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Trial {
    pub(crate) count: u8,
    pub(crate) at: Instant,
}

/// A key under which upstreams crashed.
#[derive(Debug, Clone)]
pub(crate) struct Suspect {
    pub(crate) key: Key,
    /// Sorted by run. None is older than `cleared_at`.
    pub(crate) crashes: Vec<Crash>,
    pub(crate) cleared_at: Option<Instant>,
    pub(crate) trial: Option<Trial>,
    /// Number of times that the key is still to be sent to other instances.
    pub(crate) unsent_rounds: u8,
}

fn age_ms(now: Instant, at: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns the time that lies `age_ms` milliseconds before `now`. An age that the clock
/// cannot express counts as none.
fn time_before(now: Instant, age_ms: u32) -> Instant {
    let age = Duration::from_millis(u64::from(age_ms));
    now.checked_sub(age).unwrap_or(now)
}

impl Suspect {
    pub(crate) fn new(key: Key) -> Self {
        Self { key, crashes: Vec::new(), cleared_at: None, trial: None, unsent_rounds: 0 }
    }

    pub(crate) fn is_quarantined(&self, now: Instant) -> bool {
        self.incidents(now) >= QUARANTINE_CRASHES
    }

    /// Returns the number of incidents that the crashes show. A request that is always in progress
    /// somewhere is at many upstreams that end together, so that the crashes of a second count as one
    /// while the key was answered recently.
    pub(crate) fn incidents(&self, now: Instant) -> usize {
        if self.cleared_at.is_none_or(|cleared_at| now >= cleared_at + SOUND_TTL) {
            return self.crashes.len();
        }
        let mut times: Vec<Instant> = self.crashes.iter().map(|crash| crash.at).collect();
        times.sort();
        let mut incidents = 0;
        let mut until = None;
        for at in times {
            if until.is_none_or(|until| at >= until) {
                incidents += 1;
                until = Some(at + INCIDENT_SPAN);
            }
        }
        incidents
    }

    /// Returns the time of the last crash or trial.
    fn last_incident(&self) -> Option<Instant> {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        crashes.chain(self.trial.map(|trial| trial.at)).max()
    }

    pub(crate) fn forget_at(&self) -> Option<Instant> {
        let by_crash = self.last_incident().map(|at| at + SUSPECT_TTL);
        by_crash.max(self.cleared_at.map(|at| at + CLEARED_TTL))
    }

    /// Returns the time of the next trial, or of the end of the quarantine.
    pub(crate) fn next_trial(&self) -> Option<Instant> {
        let trials = self.trial.map_or(0, |trial| usize::from(trial.count));
        let delay = TRIAL_DELAYS.get(trials).copied().unwrap_or(SUSPECT_TTL);
        self.last_incident().map(|at| at + delay)
    }

    pub(crate) fn may_be_tried(&self, now: Instant) -> bool {
        let trials = self.trial.map_or(0, |trial| usize::from(trial.count));
        trials < TRIAL_DELAYS.len() && self.next_trial().is_some_and(|at| at <= now)
    }

    /// Adds a crash. Returns whether it is news.
    pub(crate) fn add_crash(&mut self, crash: Crash) -> bool {
        if self.cleared_at.is_some_and(|cleared_at| crash.at <= cleared_at) {
            return false;
        }
        match self.crashes.binary_search_by_key(&crash.run, |known| known.run) {
            Ok(index) => {
                let known = &mut self.crashes[index];
                known.at = known.at.min(crash.at);
                false
            }
            // All instances keep the same crashes: those of the first runs.
            Err(index) if index >= MAX_CRASHES => false,
            Err(index) => {
                self.crashes.insert(index, crash);
                self.crashes.truncate(MAX_CRASHES);
                true
            }
        }
    }

    /// Drops the crashes up to `at`, at which an answer had got past its beginning. Returns whether
    /// that changed anything.
    pub(crate) fn clear(&mut self, at: Instant) -> bool {
        let has_crash = self.crashes.iter().any(|crash| crash.at <= at);
        let is_newer = self.cleared_at.is_none_or(|cleared_at| cleared_at < at);
        if is_newer {
            self.cleared_at = Some(at);
            self.crashes.retain(|crash| crash.at > at);
            self.trial = self.trial.filter(|trial| trial.at > at);
        }
        has_crash && is_newer
    }

    /// Returns whether another instance's time of clearing matters here. Times that messages carry
    /// grow by the delay of each message, so small differences are ignored.
    fn is_news_of_clearing(&self, at: Instant) -> bool {
        let is_later = self.cleared_at.is_none_or(|known| at > known + CLEARED_TOLERANCE);
        is_later || self.crashes.iter().any(|crash| crash.at <= at)
    }

    /// Takes over what another instance knows. Returns whether any of it is news.
    pub(crate) fn merge(&mut self, now: Instant, record: &Record) -> bool {
        let mut is_news = false;
        let cleared_at = record.cleared_age_ms.map(|age_ms| time_before(now, age_ms));
        if let Some(at) = cleared_at.filter(|at| self.is_news_of_clearing(*at)) {
            self.clear(at);
            is_news = true;
        }
        for CrashRecord { run, age_ms } in record.crashes.iter().take(MAX_CRASHES) {
            is_news |= self.add_crash(Crash { run: *run, at: time_before(now, *age_ms) });
        }
        let trials = self.trial.map_or(0, |trial| trial.count);
        let trial_at = time_before(now, record.trial_age_ms);
        let is_current = self.cleared_at.is_none_or(|cleared_at| trial_at > cleared_at);
        if record.trials > trials && is_current {
            self.trial = Some(Trial { count: record.trials, at: trial_at });
            is_news = true;
        }
        is_news
    }

    pub(crate) fn record(&self, now: Instant) -> Record {
        let crash = |crash: &Crash| CrashRecord { run: crash.run, age_ms: age_ms(now, crash.at) };
        Record {
            key: self.key,
            crashes: self.crashes.iter().map(crash).collect(),
            cleared_age_ms: self.cleared_at.map(|at| age_ms(now, at)),
            trials: self.trial.map_or(0, |trial| trial.count),
            trial_age_ms: self.trial.map_or(0, |trial| age_ms(now, trial.at)),
        }
    }

    /// Returns the change between `was_quarantined` and now.
    pub(crate) fn change_since(&self, now: Instant, was_quarantined: bool) -> Option<Change> {
        match (was_quarantined, self.is_quarantined(now)) {
            (false, true) => Some(Change::Quarantined(self.key)),
            (true, false) => Some(Change::Released(self.key)),
            _ => None,
        }
    }

    /// Rank by which keys are kept when there are too many: those with most crashes first, the
    /// latest first among these.
    pub(crate) fn retention_rank(&self) -> (usize, Option<Instant>) {
        (self.crashes.len(), self.last_incident().max(self.cleared_at))
    }
}
