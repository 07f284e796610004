//! All upstreams that an instance has heard of.

use std::time::{Duration, Instant};

use names::Upstream;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Announcement, Record, Standing};

/// How long an upstream that is gone or silent is remembered, so that a late announcement of it
/// does not bring it back. Announcements are late by some seconds.
const MEMORY: Duration = Duration::from_secs(60);

/// Parts of a roster that are compared one by one, so that rosters that differ a little exchange
/// little.
pub const BUCKETS: usize = 16;

/// The bucket of an upstream.
fn bucket(upstream: &Upstream) -> usize {
    (xxh3_64(upstream.as_str().as_bytes()) % BUCKETS as u64) as usize
}

/// Names an upstream in few bytes. Two may have the same, which costs a wrong estimate.
pub fn short_name(upstream: &Upstream) -> u32 {
    xxh3_64(upstream.as_str().as_bytes()) as u32
}

/// What became of an announcement or record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Taken {
    /// It says something new, which has to be spread.
    News,
    /// It repeats what is known.
    Repeated,
    /// Something newer is known.
    Stale,
}

struct Entry {
    record: Record,
    short: u32,
    /// Sequence number of the newest announcement of the run, also of repeated ones.
    sequence: u64,
    /// When it was heard last.
    heard: Instant,
}

/// Upstreams by name.
#[derive(Default)]
pub struct Roster {
    /// Sorted by name.
    entries: Vec<Entry>,
}

impl Roster {
    /// Takes a record, from the upstream itself or from another instance.
    pub fn take(&mut self, now: Instant, record: Record) -> Taken {
        let taken = match self.find(&record.announcement.upstream) {
            Ok(index) => self.update(index, now, record),
            Err(_) if self.is_superseded(&record) => Taken::Stale,
            Err(index) => {
                let sequence = record.announcement.sequence;
                let short = short_name(&record.announcement.upstream);
                self.entries.insert(index, Entry { record, short, sequence, heard: now });
                self.displace(index);
                Taken::News
            }
        };
        self.forget(now);
        taken
    }

    fn update(&mut self, index: usize, now: Instant, record: Record) -> Taken {
        let entry = &mut self.entries[index];
        let (born, is_gone, _) = entry.record.precedence();
        let sequence = record.announcement.sequence;
        if record.precedence() < (born, is_gone, entry.sequence) {
            return Taken::Stale;
        }
        entry.heard = now;
        entry.sequence = sequence;
        if entry.record.is_repeated_by(&record) {
            return Taken::Repeated;
        }
        entry.record = record;
        self.displace(index);
        Taken::News
    }

    /// Takes the word of an upstream, or of whoever speaks for it, that it leaves. Its run is the
    /// one that `born` names, else the one that is known.
    pub fn withdraw(&mut self, now: Instant, upstream: &Upstream, born: Option<u64>) -> Taken {
        let Ok(index) = self.find(upstream) else {
            return Taken::Stale;
        };
        let known = &self.entries[index].record.announcement;
        if born.is_some_and(|born| born < known.born) {
            return Taken::Stale;
        }
        let born = born.unwrap_or(known.born);
        let standing = Standing::Gone;
        let sequence = self.entries[index].sequence;
        let announcement = Announcement { standing, born, sequence, ..known.clone() };
        self.take(now, Record { announcement })
    }

    /// Notes that the upstreams with these short names, which are sorted, were heard by an instance
    /// that vouches for them.
    pub fn hear(&mut self, now: Instant, heard: &[u32]) {
        for entry in &mut self.entries {
            if heard.binary_search(&entry.short).is_ok() {
                entry.heard = now;
            }
        }
    }

    /// Upstreams that did not leave, with the time at which they were heard last.
    pub fn present(&self) -> impl Iterator<Item = (&Announcement, Instant)> {
        let entries = self.entries.iter();
        entries
            .map(|entry| (&entry.record.announcement, entry.heard))
            .filter(|(announcement, _)| announcement.standing != Standing::Gone)
    }

    /// The record of `upstream`.
    pub fn get(&self, upstream: &Upstream) -> Option<&Record> {
        self.find(upstream).ok().map(|index| &self.entries[index].record)
    }

    /// All records, also of those that left.
    pub fn records(&self) -> Vec<Record> {
        self.entries.iter().map(|entry| entry.record.clone()).collect()
    }

    /// The records, also of those that left, in the buckets whose bits are set.
    pub fn records_in(&self, buckets: u16) -> Vec<Record> {
        let records = self.entries.iter().map(|entry| &entry.record);
        let wanted = records.filter(|record| {
            let bucket = bucket(&record.announcement.upstream);
            buckets & (1 << bucket) != 0
        });
        wanted.cloned().collect()
    }

    /// A digest of each bucket, the same for rosters that say the same. Upstreams that left do not
    /// count, since instances forget them at different times.
    pub fn digests(&self) -> [u64; BUCKETS] {
        let mut digests = [0; BUCKETS];
        for entry in &self.entries {
            let announcement = &entry.record.announcement;
            if announcement.standing != Standing::Gone {
                digests[bucket(&announcement.upstream)] ^= entry.record.hash();
            }
        }
        digests
    }

    /// The buckets in which this roster differs from `digests`, as bits.
    pub fn differing(&self, digests: &[u64; BUCKETS]) -> u16 {
        let own = self.digests();
        let differ = (0..BUCKETS).filter(|bucket| own[*bucket] != digests[*bucket]);
        differ.fold(0, |bits, bucket| bits | 1 << bucket)
    }

    /// One digest of the whole roster.
    pub fn digest(&self) -> u64 {
        self.digests().iter().fold(0, |sum, digest| sum ^ digest)
    }

    fn find(&self, upstream: &Upstream) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.record.announcement.upstream.cmp(upstream))
    }

    /// Whether a later run of another upstream has the address of `record`.
    fn is_superseded(&self, record: &Record) -> bool {
        let new = &record.announcement;
        self.entries.iter().any(|entry| {
            let known = &entry.record.announcement;
            known.upstream != new.upstream
                && known.address == new.address
                && known.standing != Standing::Gone
                && known.born > new.born
        })
    }

    /// Marks earlier runs at the address of the entry at `index` as gone.
    fn displace(&mut self, index: usize) {
        let new = self.entries[index].record.announcement.clone();
        for entry in &mut self.entries {
            let known = &mut entry.record.announcement;
            let is_other = known.upstream != new.upstream && known.address == new.address;
            if is_other && known.born < new.born {
                known.standing = Standing::Gone;
            }
        }
    }

    fn forget(&mut self, now: Instant) {
        self.entries.retain(|entry| now < entry.heard + MEMORY);
    }
}
