//! The upstreams known to an instance.

use std::time::{Duration, Instant};

use damping::Damping;
use declare::Target;
use names::{Incarnation, Upstream};
use xxhash_rust::xxh3::xxh3_64;

use crate::message::{BUCKETS, Digest};
use crate::{Announcement, Error, Load, Protocol, Record};

/// How long an upstream that is gone is remembered, so that late news does not bring it back.
const MEMORY: Duration = Duration::from_secs(60);

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Change {
    /// An unknown upstream, or a new run of a known one.
    Joined,
    /// A known upstream wants no new work from now on.
    Leaving,
    /// Something else about a known upstream changed.
    Altered,
    /// Only the deadline moved.
    Renewed,
    /// The announcement lapsed or was withdrawn.
    Gone,
    /// The announcement is older than what is known and was ignored.
    Outdated,
}

/// One known upstream.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// When the announcement lapses, by the newest renewal that reached this instance.
    pub deadline: Instant,
    /// Its newest load report.
    pub load: Option<Load>,
    version: u64,
    hash: u64,
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
            gone_until: record.is_gone.then(|| now + MEMORY),
            damping: Damping::new(now),
            is_set_aside: false,
        }
    }

    /// Whether the upstream is gone and only remembered.
    pub fn is_gone(&self) -> bool {
        self.gone_until.is_some()
    }

    /// Whether the upstream came and went so often that it is set aside.
    pub fn is_set_aside(&self) -> bool {
        self.is_set_aside
    }

    /// Whether the upstream wants new work and did not come and go often.
    fn is_steady(&self) -> bool {
        !self.is_gone() && !self.announcement.is_leaving && !self.damping.is_aside()
    }

    /// Whether some requests can be answered by both upstreams.
    fn shares_work_with(&self, other: &Self) -> bool {
        let (mine, theirs) = (&self.announcement, &other.announcement);
        mine.protocol == theirs.protocol
            && match mine.protocol {
                Protocol::ChatCompletions => {
                    mine.models.iter().any(|model| theirs.models.contains(model))
                }
                Protocol::Plain => mine.labels == theirs.labels,
            }
    }

    /// Whether the upstream may receive new work.
    pub fn is_available(&self) -> bool {
        !self.is_gone() && !self.announcement.is_leaving && !self.is_set_aside()
    }

    /// Whether the upstream can answer requests for `target`.
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

/// The known upstreams, sorted by name.
#[derive(Debug, Default)]
pub struct Registry {
    entries: Vec<Entry>,
}

fn bucket(upstream: &Upstream) -> usize {
    (xxh3_64(upstream.as_str().as_bytes()) % BUCKETS as u64) as usize
}

impl Registry {
    fn find(&self, upstream: &Upstream) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.announcement.upstream.cmp(upstream))
    }

    /// Takes an announcement that an upstream made to this instance at `now`. A leave is final
    /// for the run that announced it.
    pub fn announce(&mut self, now: Instant, announcement: Announcement) -> Change {
        let known = self.find(&announcement.upstream).ok().map(|index| &self.entries[index]);
        let Some(known) = known else {
            return self.merge(now, Record { announcement, version: 1, is_gone: false });
        };
        let old = &known.announcement;
        if announcement.incarnation < old.incarnation {
            return Change::Outdated;
        }
        let is_same_run = announcement.incarnation == old.incarnation;
        let is_renewal = is_same_run && (announcement == *old || old.is_leaving);
        if is_renewal && !known.is_gone() {
            let upstream = announcement.upstream;
            return self.renew(now, &upstream, announcement.incarnation);
        }
        let version = if is_same_run { known.version + 1 } else { 1 };
        self.merge(now, Record { announcement, version, is_gone: false })
    }

    /// Moves the deadline of the run `incarnation` of an upstream.
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

    /// Takes a record, of this instance or of a peer.
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

    /// Marks the current run of an upstream as gone; gives the record to spread.
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

    /// Takes a load report.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when that run of the upstream is not announced.
    pub fn report(&mut self, load: Load) -> Result<(), Error> {
        let unknown = Error::Unknown { upstream: load.upstream.to_string() };
        let index = self.find(&load.upstream).map_err(|_| unknown)?;
        let entry = &mut self.entries[index];
        if entry.announcement.incarnation == load.incarnation {
            entry.load = Some(load);
        }
        Ok(())
    }

    /// Forgets upstreams that are gone for long, and sets flapping ones aside while a steady one
    /// can do their work.
    pub fn tidy(&mut self, now: Instant) {
        self.entries.retain(|entry| entry.gone_until.is_none_or(|until| until > now));
        for entry in &mut self.entries {
            entry.damping.update(now, true);
        }
        for index in 0..self.entries.len() {
            let entry = &self.entries[index];
            let mut steady = self.entries.iter().filter(|other| other.is_steady());
            let is_set_aside =
                entry.damping.is_aside() && steady.any(|other| entry.shares_work_with(other));
            self.entries[index].is_set_aside = is_set_aside;
        }
    }

    /// The upstream called `upstream`, also when it is gone and only remembered.
    pub fn get(&self, upstream: &Upstream) -> Option<&Entry> {
        self.find(upstream).ok().map(|index| &self.entries[index])
    }

    /// All upstreams that are not gone, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| !entry.is_gone())
    }

    /// The upstreams that may receive new work for `target`, in the order of their names.
    pub fn available<'a>(&'a self, target: &'a Target) -> impl Iterator<Item = &'a Entry> {
        self.entries.iter().filter(move |entry| entry.is_available() && entry.serves(target))
    }

    /// Hashes of the parts of the set; equal for equal sets.
    pub fn digest(&self) -> Digest {
        let mut digest = Digest([0; BUCKETS]);
        for entry in self.iter() {
            let cell = &mut digest.0[bucket(&entry.announcement.upstream)];
            *cell ^= entry.hash as u32;
        }
        digest
    }

    /// All records in some parts of the set, with those that are gone.
    pub fn records_in(&self, buckets: &[u8]) -> Vec<Record> {
        let wanted =
            |entry: &&Entry| buckets.contains(&(bucket(&entry.announcement.upstream) as u8));
        self.entries.iter().filter(wanted).map(Entry::record).collect()
    }
}

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
