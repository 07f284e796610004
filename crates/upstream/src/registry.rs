//! The set of upstreams that an instance knows.

use std::time::{Duration, Instant};

use damping::Damping;
use declare::Target;
use names::{Incarnation, Upstream};
use xxhash_rust::xxh3::xxh3_64;

use crate::message::{BUCKETS, Digest};
use crate::{Announcement, Error, Load, Protocol, Record};

/// Time for which the record of a gone upstream is kept, so that late messages do not add it again.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);

/// Effect of an announcement or record on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Change {
    /// An unknown upstream or a new incarnation of a known upstream was added.
    Joined,
    /// A known upstream started to drain and accepts no new work.
    Leaving,
    /// Any other property of a known upstream changed.
    Altered,
    /// Only the deadline changed.
    Renewed,
    /// The announcement expired or was withdrawn.
    Gone,
    /// The announcement is older than the known one and was ignored.
    Outdated,
}

/// One known upstream.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Newest announcement of the upstream.
    pub announcement: Announcement,
    /// Time at which the announcement expires, according to the newest renewal that reached this
    /// instance.
    pub deadline: Instant,
    /// Newest load report of the upstream.
    pub load: Option<Load>,
    version: u64,
    hash: u64,
    /// Time until which the record of a gone upstream is kept.
    gone_until: Option<Instant>,
    damping: Damping,
    is_set_aside: bool,
}

impl Entry {
    fn new(now: Instant, record: Record) -> Self {
        Self {
            hash: record.hash(),
            deadline: now + record.announcement.expires_in.as_duration(),
            announcement: record.announcement,
            load: None,
            version: record.version,
            gone_until: record.is_gone.then(|| now + TOMBSTONE_TTL),
            damping: Damping::new(now),
            is_set_aside: false,
        }
    }

    /// Returns whether the upstream is gone and only its record is kept.
    pub fn is_gone(&self) -> bool {
        self.gone_until.is_some()
    }

    /// Returns whether the upstream is set aside because it joined and left too often.
    pub fn is_set_aside(&self) -> bool {
        self.is_set_aside
    }

    /// Returns whether the upstream accepts new work and is not flapping.
    fn is_stable(&self) -> bool {
        !self.is_gone() && !self.announcement.is_leaving && !self.damping.is_set_aside()
    }

    /// Returns whether some requests can be answered by both upstreams.
    fn overlaps_with(&self, other: &Self) -> bool {
        let (mine, theirs) = (&self.announcement, &other.announcement);
        mine.protocol == theirs.protocol
            && match mine.protocol {
                Protocol::ChatCompletions => {
                    mine.models.iter().any(|model| theirs.models.contains(model))
                }
                Protocol::Plain => mine.labels == theirs.labels,
            }
    }

    /// Returns whether the upstream may receive new work.
    pub fn is_available(&self) -> bool {
        !self.is_gone() && !self.announcement.is_leaving && !self.is_set_aside()
    }

    /// Returns whether the upstream can answer requests for `target`.
    pub fn serves(&self, target: &Target) -> bool {
        match target {
            Target::Model(model) => {
                self.announcement.protocol == Protocol::ChatCompletions
                    && self.announcement.models.contains(model)
            }
            Target::Upstreams(selector) => {
                self.announcement.protocol == Protocol::Plain
                    && selector.matches(&self.announcement.labels)
            }
        }
    }

    pub(crate) fn record(&self) -> Record {
        Record {
            announcement: self.announcement.clone(),
            version: self.version,
            is_gone: self.is_gone(),
        }
    }
}

/// Known upstreams, sorted by name.
#[derive(Debug, Default)]
pub struct Registry {
    entries: Vec<Entry>,
}

/// Returns the index of the bucket that contains `upstream`.
fn bucket_index(upstream: &Upstream) -> usize {
    (xxh3_64(upstream.as_str().as_bytes()) % BUCKETS as u64) as usize
}

impl Registry {
    fn find(&self, upstream: &Upstream) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.announcement.upstream.cmp(upstream))
    }

    /// Applies an announcement that this instance received from an upstream at `now`. A leave is
    /// final for the incarnation that announced it.
    pub fn announce(&mut self, now: Instant, announcement: Announcement) -> Change {
        let known = self.find(&announcement.upstream).ok().map(|index| &self.entries[index]);
        let Some(known) = known else {
            return self.merge(now, Record { announcement, version: 1, is_gone: false });
        };
        let old = &known.announcement;
        if announcement.incarnation < old.incarnation {
            return Change::Outdated;
        }
        let is_same_incarnation = announcement.incarnation == old.incarnation;
        let is_renewal = is_same_incarnation && (announcement == *old || old.is_leaving);
        if is_renewal && !known.is_gone() {
            let upstream = announcement.upstream;
            return self.renew(now, &upstream, announcement.incarnation);
        }
        let version = if is_same_incarnation { known.version + 1 } else { 1 };
        self.merge(now, Record { announcement, version, is_gone: false })
    }

    /// Extends the deadline of the given incarnation of an upstream.
    pub fn renew(&mut self, now: Instant, upstream: &Upstream, incarnation: Incarnation) -> Change {
        let Ok(index) = self.find(upstream) else {
            return Change::Outdated;
        };
        let entry = &mut self.entries[index];
        if entry.announcement.incarnation != incarnation || entry.is_gone() {
            return Change::Outdated;
        }
        entry.deadline = now + entry.announcement.expires_in.as_duration();
        Change::Renewed
    }

    /// Merges a record from this instance or a peer. The record is ignored unless it supersedes the
    /// known one.
    pub fn merge(&mut self, now: Instant, record: Record) -> Change {
        match self.find(record.upstream()) {
            Err(index) => {
                let change = if record.is_gone { Change::Gone } else { Change::Joined };
                self.entries.insert(index, Entry::new(now, record));
                change
            }
            Ok(index) => {
                let entry = &mut self.entries[index];
                let old = entry.record();
                if !record.supersedes(&old) {
                    return Change::Outdated;
                }
                let change = change_between(&old, &record);
                let (damping, load) = (entry.damping.clone(), entry.load.take());
                let is_set_aside = entry.is_set_aside;
                *entry = Entry { damping, is_set_aside, ..Entry::new(now, record) };
                if change == Change::Joined {
                    entry.damping.count_return(now);
                } else {
                    entry.load = load;
                }
                change
            }
        }
    }

    /// Marks the current incarnation of an upstream as gone. Returns the record to send to the
    /// other instances, or `None` if the upstream is unknown or already gone.
    pub fn remove(&mut self, now: Instant, upstream: &Upstream) -> Option<Record> {
        let index = self.find(upstream).ok()?;
        let mut record = self.entries[index].record();
        if record.is_gone {
            return None;
        }
        record.is_gone = true;
        record.version += 1;
        self.merge(now, record.clone());
        Some(record)
    }

    /// Stores a load report. A report of another incarnation than the known one is ignored.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the upstream is not known.
    pub fn report(&mut self, load: Load) -> Result<(), Error> {
        let unknown = Error::Unknown { upstream: load.upstream.to_string() };
        let index = self.find(&load.upstream).map_err(|_| unknown)?;
        let entry = &mut self.entries[index];
        if entry.announcement.incarnation == load.incarnation {
            entry.load = Some(load);
        }
        Ok(())
    }

    /// Removes the expired records of gone upstreams, and sets a flapping upstream aside while a
    /// stable upstream can answer some of the same requests.
    pub fn tidy(&mut self, now: Instant) {
        self.entries.retain(|entry| entry.gone_until.is_none_or(|until| until > now));
        for entry in &mut self.entries {
            entry.damping.update(now, true);
        }
        for index in 0..self.entries.len() {
            let entry = &self.entries[index];
            let mut stable = self.entries.iter().filter(|other| other.is_stable());
            let is_set_aside =
                entry.damping.is_set_aside() && stable.any(|other| entry.overlaps_with(other));
            self.entries[index].is_set_aside = is_set_aside;
        }
    }

    /// Returns the entry of `upstream`, which may be gone.
    pub fn get(&self, upstream: &Upstream) -> Option<&Entry> {
        self.find(upstream).ok().map(|index| &self.entries[index])
    }

    /// Returns all upstreams that are not gone, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| !entry.is_gone())
    }

    /// Returns the upstreams that may receive new work for `target`, in the order of their names.
    pub fn available<'a>(&'a self, target: &'a Target) -> impl Iterator<Item = &'a Entry> {
        self.entries.iter().filter(move |entry| entry.is_available() && entry.serves(target))
    }

    /// Returns the hashes of the buckets of the set. Equal sets have equal digests.
    pub fn digest(&self) -> Digest {
        let mut digest = Digest([0; BUCKETS]);
        for entry in self.iter() {
            let hash = &mut digest.0[bucket_index(&entry.announcement.upstream)];
            *hash ^= entry.hash as u32;
        }
        digest
    }

    /// Returns all records in `buckets`, including those of gone upstreams.
    pub fn records_in(&self, buckets: &[u8]) -> Vec<Record> {
        let wanted =
            |entry: &&Entry| buckets.contains(&(bucket_index(&entry.announcement.upstream) as u8));
        self.entries.iter().filter(wanted).map(Entry::record).collect()
    }
}

/// Returns the effect of replacing the record `old` with `new`.
fn change_between(old: &Record, new: &Record) -> Change {
    if new.is_gone {
        return Change::Gone;
    }
    if old.is_gone || new.announcement.incarnation > old.announcement.incarnation {
        return Change::Joined;
    }
    if new.announcement.is_leaving && !old.announcement.is_leaving {
        return Change::Leaving;
    }
    Change::Altered
}
