//! The keys that may crash upstreams, and the requests that they keep from upstreams.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::Xxh3;

use crate::suspect::{Crash, SOUND_TTL, Suspect, Trial};
use crate::{Change, Key, MAX_KEYS, Record, Run};

/// Largest number of keys that are remembered.
const MAX_SUSPECTS: usize = 512;

/// Number of answers that got past their beginning that are remembered, to clear keys whose crash is
/// reported later. A later one may take the place of an earlier one.
const SOUND_SLOTS: usize = 4096;

/// Time after a crash until which its upstream may be away. Most processes are back within three
/// seconds.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Number of times that a change is sent to other instances.
const SEND_ROUNDS: u8 = 3;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// No key of the request is quarantined.
    Accept,
    /// The request is the trial of its quarantined keys.
    Try,
    /// A key is quarantined, and no request with it is tried before `until`.
    Refuse {
        /// Time of the next trial, or of the end of the quarantine.
        until: Instant,
    },
}

/// What is known against a request none of whose keys is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hazard {
    /// Number of upstreams that crashed under the request since it was last answered. Those that
    /// crashed together count as one if that answer is recent.
    pub crashes: usize,
    /// Time at which all of these upstreams are probably back.
    pub until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct SoundKey {
    key: Key,
    at: Instant,
}

/// What this instance knows about keys that may crash upstreams.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    /// Sorted by key.
    entries: Vec<Suspect>,
    /// Keys of the latest answers here that got past their beginning. The slot of a key follows from
    /// its value, so that each answer of a plain request costs the same.
    sound: Vec<Option<SoundKey>>,
}

impl Suspects {
    /// Records that `run` crashed at `at`, as it began answers to requests with `keys`.
    pub fn record_crash(
        &mut self,
        now: Instant,
        run: Run,
        at: Instant,
        keys: &[Key],
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for key in keys {
            let cleared_at = self.sound_since(*key);
            let suspect = self.entry(now, *key);
            let was_quarantined = suspect.is_quarantined(now);
            if let Some(cleared_at) = cleared_at {
                suspect.clear(cleared_at);
            }
            if suspect.add_crash(Crash { run, at }) {
                suspect.unsent_rounds = SEND_ROUNDS;
            }
            changes.extend(suspect.change_since(now, was_quarantined));
        }
        changes
    }

    /// Records that an answer to a request with `keys` has got past its beginning.
    pub fn record_sound(&mut self, now: Instant, keys: &[Key]) -> Vec<Change> {
        let mut changes = Vec::new();
        for key in keys.iter().take(MAX_KEYS) {
            self.remember_sound(now, *key);
            if let Ok(index) = self.find(*key) {
                let suspect = &mut self.entries[index];
                let was_quarantined = suspect.is_quarantined(now);
                if suspect.clear(now) {
                    suspect.unsent_rounds = SEND_ROUNDS;
                }
                changes.extend(suspect.change_since(now, was_quarantined));
            }
        }
        changes
    }

    /// Returns what may be done with a request with `keys`. `may_try` returns whether this
    /// instance is the one that tries a key.
    pub fn check<T>(&self, now: Instant, keys: &[Key], may_try: T) -> Admission
    where
        T: Fn(Key) -> bool,
    {
        let quarantined = keys.iter().take(MAX_KEYS).filter_map(|key| {
            let suspect = &self.entries[self.find(*key).ok()?];
            suspect.is_quarantined(now).then_some(suspect)
        });
        let quarantined: Vec<&Suspect> = quarantined.collect();
        let Some(first) = quarantined.first() else {
            return Admission::Accept;
        };
        let is_trial = quarantined.iter().all(|suspect| suspect.may_be_tried(now));
        if is_trial && may_try(first.key) {
            return Admission::Try;
        }
        let until = quarantined.iter().filter_map(|suspect| suspect.next_trial()).max();
        Admission::Refuse { until: until.unwrap_or(now) }
    }

    /// Returns what is known against a request with `keys`, the first of which is the most specific.
    /// One crash says nothing about a request that was answered here shortly before.
    pub fn hazard(&self, now: Instant, keys: &[Key]) -> Option<Hazard> {
        let key = *keys.first()?;
        let suspect = &self.entries[self.find(key).ok()?];
        let last = suspect.crashes.iter().map(|crash| crash.at).max()?;
        let sound_at = self.sound_since(key).filter(|at| now < *at + SOUND_TTL);
        let crashes = suspect.incidents(now);
        if crashes == 1 && sound_at.is_some() {
            return None;
        }
        Some(Hazard { crashes, until: last + RECOVERY_TIME })
    }

    /// Returns whether `run` is known to have ended in a crash.
    pub fn has_ended(&self, run: Run) -> bool {
        let mut crashes = self.entries.iter().flat_map(|suspect| &suspect.crashes);
        crashes.any(|crash| crash.run == run)
    }

    /// Returns whether there are changes that no other instance was told.
    pub fn has_news(&self) -> bool {
        self.entries.iter().any(|suspect| suspect.unsent_rounds == SEND_ROUNDS)
    }

    /// Records that a request with `keys` is sent as the trial of its quarantined keys.
    pub fn record_trial(&mut self, now: Instant, keys: &[Key]) {
        for key in keys.iter().take(MAX_KEYS) {
            let Ok(index) = self.find(*key) else {
                continue;
            };
            let suspect = &mut self.entries[index];
            if suspect.is_quarantined(now) {
                let count = suspect.trial.map_or(0, |trial| trial.count).saturating_add(1);
                suspect.trial = Some(Trial { count, at: now });
                suspect.unsent_rounds = SEND_ROUNDS;
            }
        }
    }

    /// Takes over what another instance knows about a key.
    pub fn merge(&mut self, now: Instant, record: &Record) -> Option<Change> {
        let sound_since = self.sound_since(record.key);
        let suspect = self.entry(now, record.key);
        let was_quarantined = suspect.is_quarantined(now);
        let mut is_news = suspect.merge(now, record);
        if let Some(at) = sound_since {
            is_news |= suspect.clear(at);
        }
        if is_news {
            suspect.unsent_rounds = SEND_ROUNDS;
        }
        suspect.change_since(now, was_quarantined)
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

    /// Returns a hash of what is known about suspected keys. Instances that know the same have the
    /// same hash.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for suspect in self.entries.iter().filter(|suspect| !suspect.crashes.is_empty()) {
            hash.update(&suspect.key.0.to_le_bytes());
            hash.update(&[suspect.trial.map_or(0, |trial| trial.count)]);
            for Crash { run, .. } in &suspect.crashes {
                hash.update(&run.upstream.to_le_bytes());
                hash.update(&run.born.to_le_bytes());
            }
        }
        hash.digest()
    }

    /// Returns the number of quarantined keys.
    pub fn quarantined(&self, now: Instant) -> usize {
        self.entries.iter().filter(|suspect| suspect.is_quarantined(now)).count()
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|suspect| suspect.forget_at().is_some_and(|at| now < at));
    }

    fn find(&self, key: Key) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |suspect| suspect.key)
    }

    /// Returns the entry of `key`, which is added if it is unknown.
    fn entry(&mut self, now: Instant, key: Key) -> &mut Suspect {
        if self.find(key).is_err() {
            self.make_room(now);
        }
        let index = match self.find(key) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, Suspect::new(key));
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

    /// Returns the time at which an answer to a request with `key` last got past its beginning
    /// here.
    fn sound_since(&self, key: Key) -> Option<Instant> {
        let sound = self.sound.get(sound_slot(key)).copied().flatten();
        sound.filter(|sound| sound.key == key).map(|sound| sound.at)
    }

    fn remember_sound(&mut self, now: Instant, key: Key) {
        if self.sound.is_empty() {
            self.sound.resize(SOUND_SLOTS, None);
        }
        self.sound[sound_slot(key)] = Some(SoundKey { key, at: now });
    }
}

fn sound_slot(key: Key) -> usize {
    (key.0 % SOUND_SLOTS as u64) as usize
}
