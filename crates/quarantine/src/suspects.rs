//! The parts that may crash upstreams, and the requests that they keep from upstreams.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::Xxh3;

use crate::{CrashRecord, MAX_PROMPT_PARTS, Part, Record, Run};

/// Number of upstreams that must have crashed under a part before it is quarantined. Requests that
/// merely were at a crashed upstream rarely share a part with those at two others, without a sound
/// answer in between.
const QUARANTINE_CRASHES: usize = 3;

/// Largest number of crashes that are kept for a part.
const MAX_CRASHES: usize = 5;

/// Times after the last crash, or the last trial, at which one request with a quarantined part may
/// be tried. There are no further trials, because each may cost the answers at an upstream.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(120), Duration::from_secs(3600)];

/// How long a part is remembered after its last crash or trial.
const SUSPECT_TTL: Duration = Duration::from_secs(24 * 3600);

/// How long a part is remembered that was cleared. Records of its crashes that arrive later are
/// recognized as outdated.
const CLEARED_TTL: Duration = Duration::from_secs(120);

/// Largest number of parts that are remembered.
const MAX_SUSPECTS: usize = 512;

/// Time by which two instances may differ about when a part was cleared. A smaller difference is no
/// news.
const CLEARED_TOLERANCE: Duration = Duration::from_millis(200);

/// How long an answer that got past its beginning is remembered, to clear parts whose crash is
/// reported later.
const SOUND_TTL: Duration = Duration::from_secs(10);

/// Largest number of parts of such answers that are remembered.
const MAX_SOUND_PARTS: usize = 2048;

/// Number of times that a change is sent to other instances.
const SEND_ROUNDS: u8 = 3;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// No part of the prompt is quarantined.
    Accept,
    /// The request is the trial of its quarantined parts.
    Try,
    /// A part is quarantined, and no request with it is tried before `until`.
    Refuse {
        /// Time of the next trial, or of the end of the quarantine.
        until: Instant,
    },
}

/// Change of what is known about a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The part is quarantined from now on.
    Quarantined(Part),
    /// The part was quarantined and is not any more.
    Released(Part),
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    run: Run,
    at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Trial {
    count: u8,
    at: Instant,
}

#[derive(Debug, Clone)]
struct Suspect {
    part: Part,
    /// Sorted by run. None is older than `cleared_at`.
    crashes: Vec<Crash>,
    cleared_at: Option<Instant>,
    trial: Option<Trial>,
    unsent_rounds: u8,
}

#[derive(Debug, Clone, Copy)]
struct SoundPart {
    part: Part,
    at: Instant,
}

/// What this instance knows about parts that may crash upstreams.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    /// Sorted by part.
    entries: Vec<Suspect>,
    /// Parts of the latest answers here that got past their beginning, sorted by part.
    sound: Vec<SoundPart>,
}

fn age_ms(now: Instant, at: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns the time that lies `age_ms` milliseconds before `now`. An age beyond the life of this
/// machine counts as its beginning.
fn time_before(now: Instant, age_ms: u32) -> Instant {
    let age = Duration::from_millis(u64::from(age_ms));
    now.checked_sub(age).or_else(|| now.checked_sub(SOUND_TTL)).unwrap_or(now)
}

impl Suspect {
    fn new(part: Part) -> Self {
        Self { part, crashes: Vec::new(), cleared_at: None, trial: None, unsent_rounds: 0 }
    }

    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= QUARANTINE_CRASHES
    }

    /// Returns the time of the last crash or trial.
    fn last_incident(&self) -> Option<Instant> {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        crashes.chain(self.trial.map(|trial| trial.at)).max()
    }

    fn forget_at(&self) -> Option<Instant> {
        let by_crash = self.last_incident().map(|at| at + SUSPECT_TTL);
        by_crash.max(self.cleared_at.map(|at| at + CLEARED_TTL))
    }

    /// Returns the time of the next trial, or of the end of the quarantine.
    fn next_trial(&self) -> Option<Instant> {
        let trials = self.trial.map_or(0, |trial| usize::from(trial.count));
        let delay = TRIAL_DELAYS.get(trials).copied().unwrap_or(SUSPECT_TTL);
        self.last_incident().map(|at| at + delay)
    }

    fn may_be_tried(&self, now: Instant) -> bool {
        let trials = self.trial.map_or(0, |trial| usize::from(trial.count));
        trials < TRIAL_DELAYS.len() && self.next_trial().is_some_and(|at| at <= now)
    }

    /// Adds a crash. Returns whether it is news.
    fn add_crash(&mut self, crash: Crash) -> bool {
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
    fn clear(&mut self, at: Instant) -> bool {
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

    fn record(&self, now: Instant) -> Record {
        let crash = |crash: &Crash| CrashRecord { run: crash.run, age_ms: age_ms(now, crash.at) };
        Record {
            part: self.part,
            crashes: self.crashes.iter().map(crash).collect(),
            cleared_age_ms: self.cleared_at.map(|at| age_ms(now, at)),
            trials: self.trial.map_or(0, |trial| trial.count),
            trial_age_ms: self.trial.map_or(0, |trial| age_ms(now, trial.at)),
        }
    }

    /// Returns the change between `was_quarantined` and now.
    fn change_since(&self, was_quarantined: bool) -> Option<Change> {
        match (was_quarantined, self.is_quarantined()) {
            (false, true) => Some(Change::Quarantined(self.part)),
            (true, false) => Some(Change::Released(self.part)),
            _ => None,
        }
    }

    /// Rank by which parts are kept when there are too many: those with most crashes first, the
    /// latest first among these.
    fn retention_rank(&self) -> (usize, Option<Instant>) {
        (self.crashes.len(), self.last_incident().max(self.cleared_at))
    }
}

impl Suspects {
    /// Records that `run` crashed at `at`, as it began answers to requests with `parts`.
    pub fn record_crash(
        &mut self,
        now: Instant,
        run: Run,
        at: Instant,
        parts: &[Part],
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for part in parts {
            let cleared_at = self.sound_since(*part);
            let suspect = self.entry(now, *part);
            let was_quarantined = suspect.is_quarantined();
            if let Some(cleared_at) = cleared_at {
                suspect.clear(cleared_at);
            }
            if suspect.add_crash(Crash { run, at }) {
                suspect.unsent_rounds = SEND_ROUNDS;
            }
            changes.extend(suspect.change_since(was_quarantined));
        }
        changes
    }

    /// Records that an answer to a request with `parts` has got past its beginning.
    pub fn record_sound(&mut self, now: Instant, parts: &[Part]) -> Vec<Change> {
        let mut changes = Vec::new();
        for part in parts.iter().take(MAX_PROMPT_PARTS) {
            self.remember_sound(now, *part);
            if let Ok(index) = self.find(*part) {
                let suspect = &mut self.entries[index];
                let was_quarantined = suspect.is_quarantined();
                if suspect.clear(now) {
                    suspect.unsent_rounds = SEND_ROUNDS;
                }
                changes.extend(suspect.change_since(was_quarantined));
            }
        }
        changes
    }

    /// Returns what may be done with a request with `parts`. `may_try` returns whether this
    /// instance is the one that tries a part.
    pub fn check<T>(&self, now: Instant, parts: &[Part], may_try: T) -> Admission
    where
        T: Fn(Part) -> bool,
    {
        let quarantined = parts.iter().take(MAX_PROMPT_PARTS).filter_map(|part| {
            let suspect = &self.entries[self.find(*part).ok()?];
            suspect.is_quarantined().then_some(suspect)
        });
        let quarantined: Vec<&Suspect> = quarantined.collect();
        let Some(first) = quarantined.first() else {
            return Admission::Accept;
        };
        let is_trial = quarantined.iter().all(|suspect| suspect.may_be_tried(now));
        if is_trial && may_try(first.part) {
            return Admission::Try;
        }
        let until = quarantined.iter().filter_map(|suspect| suspect.next_trial()).max();
        Admission::Refuse { until: until.unwrap_or(now) }
    }

    /// Records that a request with `parts` is sent as the trial of its quarantined parts.
    pub fn record_trial(&mut self, now: Instant, parts: &[Part]) {
        for part in parts.iter().take(MAX_PROMPT_PARTS) {
            let Ok(index) = self.find(*part) else {
                continue;
            };
            let suspect = &mut self.entries[index];
            if suspect.is_quarantined() {
                let count = suspect.trial.map_or(0, |trial| trial.count).saturating_add(1);
                suspect.trial = Some(Trial { count, at: now });
                suspect.unsent_rounds = SEND_ROUNDS;
            }
        }
    }

    /// Takes over what another instance knows about a part.
    pub fn merge(&mut self, now: Instant, record: &Record) -> Option<Change> {
        let sound_since = self.sound_since(record.part);
        let suspect = self.entry(now, record.part);
        let was_quarantined = suspect.is_quarantined();
        let mut is_news = false;
        let cleared_at = record.cleared_age_ms.map(|age_ms| time_before(now, age_ms));
        if let Some(at) = cleared_at.filter(|at| suspect.is_news_of_clearing(*at)) {
            suspect.clear(at);
            is_news = true;
        }
        for CrashRecord { run, age_ms } in record.crashes.iter().take(MAX_CRASHES) {
            is_news |= suspect.add_crash(Crash { run: *run, at: time_before(now, *age_ms) });
        }
        if let Some(at) = sound_since {
            is_news |= suspect.clear(at);
        }
        let trials = suspect.trial.map_or(0, |trial| trial.count);
        let trial_at = time_before(now, record.trial_age_ms);
        let is_current = suspect.cleared_at.is_none_or(|cleared_at| trial_at > cleared_at);
        if record.trials > trials && is_current {
            suspect.trial = Some(Trial { count: record.trials, at: trial_at });
            is_news = true;
        }
        if is_news {
            suspect.unsent_rounds = SEND_ROUNDS;
        }
        suspect.change_since(was_quarantined)
    }

    /// Returns at most `limit` records to send to other instances: those that changed lately.
    pub fn take_updates(&mut self, now: Instant, limit: usize) -> Vec<Record> {
        let unsent = self.entries.iter_mut().filter(|suspect| suspect.unsent_rounds > 0);
        let taken = unsent.take(limit).map(|suspect| {
            suspect.unsent_rounds -= 1;
            suspect.record(now)
        });
        taken.collect()
    }

    /// Returns all records, for an instance that knows something else.
    pub fn records(&self, now: Instant) -> Vec<Record> {
        self.entries.iter().map(|suspect| suspect.record(now)).collect()
    }

    /// Returns a hash of what is known about suspected parts. Instances that know the same have the
    /// same hash.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for suspect in self.entries.iter().filter(|suspect| !suspect.crashes.is_empty()) {
            hash.update(&suspect.part.0.to_le_bytes());
            hash.update(&[suspect.trial.map_or(0, |trial| trial.count)]);
            for Crash { run, .. } in &suspect.crashes {
                hash.update(&run.upstream.to_le_bytes());
                hash.update(&run.born.to_le_bytes());
            }
        }
        hash.digest()
    }

    /// Returns the number of quarantined parts.
    pub fn quarantined(&self) -> usize {
        self.entries.iter().filter(|suspect| suspect.is_quarantined()).count()
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|suspect| suspect.forget_at().is_some_and(|at| now < at));
        self.sound.retain(|sound| now < sound.at + SOUND_TTL);
    }

    fn find(&self, part: Part) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&part, |suspect| suspect.part)
    }

    /// Returns the entry of `part`, which is added if it is unknown.
    fn entry(&mut self, now: Instant, part: Part) -> &mut Suspect {
        if self.find(part).is_err() {
            self.make_room(now);
        }
        let index = match self.find(part) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, Suspect::new(part));
                index
            }
        };
        &mut self.entries[index]
    }

    fn make_room(&mut self, now: Instant) {
        if self.entries.len() >= MAX_SUSPECTS {
            self.expire(now);
        }
        if self.entries.len() >= MAX_SUSPECTS {
            let ranked = self.entries.iter().enumerate();
            let least = ranked.min_by_key(|(_, suspect)| suspect.retention_rank());
            if let Some((index, _)) = least {
                self.entries.remove(index);
            }
        }
    }

    /// Returns the time at which an answer to a request with `part` last got past its beginning
    /// here.
    fn sound_since(&self, part: Part) -> Option<Instant> {
        let found = self.sound.binary_search_by_key(&part, |sound| sound.part);
        found.ok().map(|index| self.sound[index].at)
    }

    fn remember_sound(&mut self, now: Instant, part: Part) {
        match self.sound.binary_search_by_key(&part, |sound| sound.part) {
            Ok(index) => self.sound[index].at = now,
            Err(_) => {
                if self.sound.len() >= MAX_SOUND_PARTS {
                    self.sound.retain(|sound| now < sound.at + SOUND_TTL / 4);
                }
                if self.sound.len() >= MAX_SOUND_PARTS {
                    self.sound.clear();
                }
                let index = self.sound.partition_point(|sound| sound.part < part);
                self.sound.insert(index, SoundPart { part, at: now });
            }
        }
    }
}
