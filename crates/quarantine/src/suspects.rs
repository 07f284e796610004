//! The parts that may crash upstreams, and the requests that they keep from upstreams.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::Xxh3;

use crate::suspect::{Crash, Suspect, Trial};
use crate::{Change, MAX_PROMPT_PARTS, Part, Record, Run};

/// Largest number of parts that are remembered.
const MAX_SUSPECTS: usize = 512;

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
        let mut is_news = suspect.merge(now, record);
        if let Some(at) = sound_since {
            is_news |= suspect.clear(at);
        }
        if is_news {
            suspect.unsent_rounds = SEND_ROUNDS;
        }
        suspect.change_since(was_quarantined)
    }

    /// Returns at most `limit` records to send to other instances: those that changed recently.
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
