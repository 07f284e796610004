//! Registry of all upstreams that an instance knows.

use std::time::{Duration, Instant};

use names::Upstream;
use xxhash_rust::xxh3::xxh3_64;

use crate::departure::{Addition, Departure, Departures, LATENESS, Report};
use crate::{Announcement, Record, Status};

/// How long an upstream is kept after it left or was last heard of, so that a delayed announcement
/// does not add the upstream again. Announcements are delayed by some seconds.
pub(crate) const RETENTION: Duration = Duration::from_secs(60);

/// Time by which announcements are late at different instances and times. A cold upstream stays cold
/// for longer than known if its announcement says so by more than this time.
const COLD_TOLERANCE: Duration = Duration::from_millis(200);

/// Number of parts of a roster that are compared separately, so that rosters with few differences
/// exchange few records.
pub const BUCKETS: usize = 16;

/// Returns the index of the bucket of an upstream.
fn bucket_of(upstream: &Upstream) -> usize {
    (xxh3_64(upstream.as_str().as_bytes()) % BUCKETS as u64) as usize
}

/// Returns a short hash of the name of an upstream, which identifies the upstream in messages. A
/// collision of two upstreams only causes a wrong load estimate.
pub fn short_hash(upstream: &Upstream) -> u32 {
    xxh3_64(upstream.as_str().as_bytes()) as u32
}

/// Result of adding an announcement or record to a roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeResult {
    /// The record changed the roster and has to be sent to other instances.
    Changed,
    /// The record repeats the known one.
    Unchanged,
    /// A newer record is known.
    Stale,
    /// The upstream has left before this announcement of its run arrived.
    Ended,
}

/// Result of adding a departure to a roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DepartResult {
    /// The departure is new and has to be sent to other instances. If the upstream was in use, its
    /// record is changed, too.
    Changed(Option<Record>),
    /// The departure is known, or too old to matter.
    Unchanged,
    /// There is no room for the departure.
    Full,
}

struct Entry {
    record: Record,
    short_hash: u32,
    /// Sequence number of the newest announcement of the run, including repeated ones.
    sequence: u64,
    /// When the upstream was last heard of.
    last_heard: Instant,
    /// Time until which the upstream is cold, by the record.
    cold_until: Option<Instant>,
    /// Whether enough control instances have the record on disk.
    is_durable: bool,
}

/// Returns the time until which the upstream is cold, if its record arrives at `now`.
fn cold_until(now: Instant, record: &Record) -> Option<Instant> {
    let remaining = record.announcement.cold_remaining;
    (remaining > 0).then(|| now + Duration::from_millis(u64::from(remaining)))
}

impl Entry {
    /// Returns whether the upstream becomes cold or warm, or stays cold for longer than known. A time
    /// that only runs down is no change.
    fn is_cold_changed(&self, now: Instant, cold_until: Option<Instant>) -> bool {
        match (self.cold_until, cold_until) {
            (None, None) => false,
            (Some(known), Some(new)) => new > known.max(now) + COLD_TOLERANCE,
            (None, Some(_)) | (Some(_), None) => true,
        }
    }
}

/// The upstreams that an instance knows, by name.
#[derive(Default)]
pub struct Roster {
    /// Sorted by name.
    entries: Vec<Entry>,
    departures: Departures,
}

impl Roster {
    /// Adds a record, which the upstream itself or another instance sent.
    pub fn merge(&mut self, now: Instant, record: Record) -> MergeResult {
        let result = match self.find(&record.announcement.upstream) {
            found if self.is_ended(found, now, &record) => MergeResult::Ended,
            Ok(index) => self.update(index, now, record),
            Err(_) if self.is_superseded(&record) => MergeResult::Stale,
            Err(index) => {
                let sequence = record.announcement.sequence;
                let short_hash = short_hash(&record.announcement.upstream);
                let (last_heard, is_durable) = (now, false);
                let cold_until = cold_until(now, &record);
                let entry =
                    Entry { record, short_hash, sequence, last_heard, cold_until, is_durable };
                self.entries.insert(index, entry);
                self.mark_replaced(index);
                MergeResult::Changed
            }
        };
        self.drop_expired(now);
        result
    }

    fn update(&mut self, index: usize, now: Instant, record: Record) -> MergeResult {
        let entry = &mut self.entries[index];
        let (born, is_gone, _) = entry.record.precedence();
        let sequence = record.announcement.sequence;
        if record.precedence() < (born, is_gone, entry.sequence) {
            return MergeResult::Stale;
        }
        entry.last_heard = now;
        entry.sequence = sequence;
        let cold_until = cold_until(now, &record);
        if entry.record.is_repeated_by(&record) && !entry.is_cold_changed(now, cold_until) {
            return MergeResult::Unchanged;
        }
        entry.cold_until = cold_until;
        entry.record = record;
        entry.is_durable = false;
        self.mark_replaced(index);
        MergeResult::Changed
    }

    /// Returns whether the run of the record has ended by a departure. A run that is in use goes on: the
    /// departure ended it when it arrived, or spared it.
    fn is_ended(&self, found: Result<usize, usize>, now: Instant, record: &Record) -> bool {
        let Announcement { upstream, born, standing, .. } = &record.announcement;
        let is_in_use = found.is_ok_and(|index| {
            let known = &self.entries[index].record.announcement;
            known.born == *born && known.standing != Status::Gone
        });
        *standing != Status::Gone && !is_in_use && self.departures.ends(now, upstream, *born)
    }

    /// Returns the departure for a leave at `left_at_millis`, in milliseconds of Unix time, or `None`
    /// if the record of the upstream can hold the leave: it names a run, and the upstream is known. A
    /// repeated leave has the same departure.
    pub fn departure_for(
        &self,
        upstream: &Upstream,
        born: Option<u64>,
        left_at_millis: u64,
    ) -> Option<Departure> {
        let known = self.get(upstream).map(|record| record.announcement.born);
        if born.is_some() && known.is_some() {
            return None;
        }
        let before = born.is_none().then_some(left_at_millis);
        let departure = Departure { upstream: upstream.clone(), through: born.or(known), before };
        let kept = self.departures.get(upstream).map(|(kept, _)| kept);
        Some(kept.filter(|kept| kept.is_repeated_by(&departure)).cloned().unwrap_or(departure))
    }

    /// Returns whether a departure of `upstream` can be added.
    pub fn has_room_for_departure(&self, now: Instant, upstream: &Upstream) -> bool {
        self.departures.has_room(now, upstream)
    }

    /// Adds a departure whose leave was at `left_at`, and ends the run in use if the departure ends it.
    pub fn depart(&mut self, now: Instant, left_at: Instant, departure: Departure) -> DepartResult {
        let upstream = departure.upstream.clone();
        match self.departures.add(now, left_at, departure) {
            Addition::Full => DepartResult::Full,
            Addition::Unchanged => DepartResult::Unchanged,
            Addition::Changed => DepartResult::Changed(self.end_run(now, &upstream)),
        }
    }

    /// Ends the run of `upstream` that is in use if its departure ends it. Returns the new record.
    fn end_run(&mut self, now: Instant, upstream: &Upstream) -> Option<Record> {
        let index = self.find(upstream).ok()?;
        let entry = &mut self.entries[index];
        let Announcement { born, standing, .. } = &mut entry.record.announcement;
        if *standing == Status::Gone || !self.departures.ends(now, upstream, *born) {
            return None;
        }
        *standing = Status::Gone;
        entry.is_durable = false;
        Some(entry.record.clone())
    }

    /// Adds a departure that an earlier process of this instance stored, to a roster with the records
    /// that it stored. A departure ends the run in use before it is stored, so that a run that may
    /// have ended and is still in use is a later one.
    pub fn restore_departure(&mut self, now: Instant, departure: Departure) {
        let is_spared = self.get(&departure.upstream).is_some_and(|record| {
            let announcement = &record.announcement;
            announcement.standing != Status::Gone
                && Departures::may_end(&departure, announcement.born)
        });
        let age = if is_spared { LATENESS } else { Duration::ZERO };
        self.departures.add(now, now.checked_sub(age).unwrap_or(now), departure);
    }

    /// Returns the departure of `upstream`, if there is one, and whether it is marked as durable.
    pub fn departure(&self, upstream: &Upstream) -> Option<(&Departure, bool)> {
        self.departures.get(upstream)
    }

    /// Marks a departure as durable, unless it has changed.
    pub fn mark_departure_durable(&mut self, departure: &Departure) {
        self.departures.mark_durable(departure);
    }

    /// Returns all departures.
    pub fn departures(&self, now: Instant) -> Vec<Report> {
        self.departures.reports(now)
    }

    /// Returns the number of departures.
    pub fn departure_count(&self) -> usize {
        self.departures.len()
    }

    /// Records that an upstream leaves, as announced by the upstream or on its behalf. The leave
    /// applies to the run that started at `born`, or to the known run if `born` is `None`.
    pub fn withdraw(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        born: Option<u64>,
    ) -> MergeResult {
        let Ok(index) = self.find(upstream) else {
            return MergeResult::Stale;
        };
        let known = &self.entries[index].record.announcement;
        if born.is_some_and(|born| born < known.born) {
            return MergeResult::Stale;
        }
        let born = born.unwrap_or(known.born);
        let standing = Status::Gone;
        let sequence = self.entries[index].sequence;
        let announcement = Announcement { standing, born, sequence, ..known.clone() };
        self.merge(now, Record { announcement })
    }

    /// Records that another instance heard from the upstreams whose names have the short hashes
    /// `heard`, which must be sorted.
    pub fn mark_heard(&mut self, now: Instant, heard: &[u32]) {
        for entry in &mut self.entries {
            if heard.binary_search(&entry.short_hash).is_ok() {
                entry.last_heard = now;
            }
        }
    }

    /// Returns the upstreams that did not leave, with the time at which each was last heard of.
    pub fn present(&self) -> impl Iterator<Item = (&Announcement, Instant)> {
        let entries = self.entries.iter();
        entries
            .map(|entry| (&entry.record.announcement, entry.last_heard))
            .filter(|(announcement, _)| announcement.standing != Status::Gone)
    }

    /// Returns the time until which `upstream` is cold, by its last announcement that changed that.
    pub fn cold_until(&self, upstream: &Upstream) -> Option<Instant> {
        self.find(upstream).ok().and_then(|index| self.entries[index].cold_until)
    }

    /// Returns the record of `upstream`, or `None` if the upstream is not known.
    pub fn get(&self, upstream: &Upstream) -> Option<&Record> {
        self.find(upstream).ok().map(|index| &self.entries[index].record)
    }

    /// Returns the records of upstreams that drain or left.
    pub fn leaves(&self) -> Vec<Record> {
        let records = self.entries.iter().map(|entry| &entry.record);
        let leaves = records.filter(|record| record.announcement.standing != Status::Ready);
        leaves.cloned().collect()
    }

    /// Marks a record as durable, unless a newer one is known.
    pub fn mark_durable(&mut self, record: &Record) {
        if let Ok(index) = self.find(&record.announcement.upstream) {
            let entry = &mut self.entries[index];
            entry.is_durable |= entry.record == *record;
        }
    }

    /// Returns whether the record of `upstream` is marked as durable.
    pub fn is_durable(&self, upstream: &Upstream) -> bool {
        self.find(upstream).is_ok_and(|index| self.entries[index].is_durable)
    }

    /// Returns all records, including those of upstreams that left.
    pub fn records(&self) -> Vec<Record> {
        self.entries.iter().map(|entry| entry.record.clone()).collect()
    }

    /// Returns the records in the buckets whose bits are set, including those of upstreams that
    /// left.
    pub fn records_in(&self, buckets: u16) -> Vec<Record> {
        let records = self.entries.iter().map(|entry| &entry.record);
        let selected = records.filter(|record| {
            let bucket = bucket_of(&record.announcement.upstream);
            buckets & (1 << bucket) != 0
        });
        selected.cloned().collect()
    }

    /// Returns the same records as [`Roster::records_in`], in which the time for which an upstream
    /// stays cold counts from `now` on.
    pub fn records_to_send(&self, now: Instant, buckets: u16) -> Vec<Record> {
        let mut records = self.records_in(buckets);
        for record in &mut records {
            let Some(until) = self.cold_until(&record.announcement.upstream) else {
                continue;
            };
            // The record of a cold upstream names a time until the upstream says that it is warm.
            let remaining = until.saturating_duration_since(now).as_millis().max(1);
            record.announcement.cold_remaining = u32::try_from(remaining).unwrap_or(u32::MAX);
        }
        records
    }

    /// Returns a digest of each bucket, which is equal for rosters with the same records. Upstreams
    /// that left are not included, since instances drop them at different times.
    pub fn digests(&self) -> [u64; BUCKETS] {
        let mut digests = [0; BUCKETS];
        for entry in &self.entries {
            let announcement = &entry.record.announcement;
            if announcement.standing != Status::Gone {
                digests[bucket_of(&announcement.upstream)] ^= entry.record.hash();
            }
        }
        digests
    }

    /// Returns the buckets in which this roster differs from `digests`, as a bit mask.
    pub fn differing(&self, digests: &[u64; BUCKETS]) -> u16 {
        let own = self.digests();
        let differ = (0..BUCKETS).filter(|bucket| own[*bucket] != digests[*bucket]);
        differ.fold(0, |bits, bucket| bits | 1 << bucket)
    }

    /// Returns a digest of the whole roster.
    pub fn digest(&self) -> u64 {
        self.digests().iter().fold(0, |sum, digest| sum ^ digest)
    }

    fn find(&self, upstream: &Upstream) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.record.announcement.upstream.cmp(upstream))
    }

    /// Returns whether a later run of another upstream uses the address of `record`.
    fn is_superseded(&self, record: &Record) -> bool {
        let new = &record.announcement;
        self.entries.iter().any(|entry| {
            let known = &entry.record.announcement;
            known.upstream != new.upstream
                && known.address == new.address
                && known.standing != Status::Gone
                && known.born > new.born
        })
    }

    /// Marks other upstreams with an earlier run at the address of the entry at `index` as gone.
    fn mark_replaced(&mut self, index: usize) {
        let new = self.entries[index].record.announcement.clone();
        for entry in &mut self.entries {
            let known = &mut entry.record.announcement;
            let is_other = known.upstream != new.upstream && known.address == new.address;
            if is_other && known.born < new.born && known.standing != Status::Gone {
                known.standing = Status::Gone;
                entry.is_durable = false;
            }
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        self.entries.retain(|entry| now < entry.last_heard + RETENTION);
        self.departures.drop_expired(now);
    }
}
