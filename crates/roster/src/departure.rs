//! Leaves that do not tell which announced run ends.
//!
//! A leave may arrive before the first announcement of the run that ends, and may not name the run. No
//! record can hold it then, because a record needs an announcement. A [`Departure`] holds it instead.
//! Announcements of the runs that it ends are ignored when they arrive.
//!
//! A leave that names no run ends all runs that began before it. When they began is told by the clocks
//! of the upstreams, and the time of the leave by the clock of a control instance. A run that began at
//! about the time of the leave may be the one that ended or the next one. Its announcements are ignored
//! for as long as announcements are late; after that, only a run that goes on announces itself.

use std::time::{Duration, Instant};

use names::Upstream;
use serde::{Deserialize, Serialize};

use crate::registry::RETENTION;

/// Maximum number of departures that an instance keeps.
pub const MAX_DEPARTURES: usize = 4096;

/// Time by which announcements are late at most. Until then, a departure is not dropped for a newer
/// one.
pub const LATENESS: Duration = Duration::from_secs(10);

/// Difference of the clocks of an upstream and a control instance, in milliseconds, up to which a run
/// that began after the leave is not taken for one that ended: clocks jump by 2 s.
pub const CLOCK_TOLERANCE_MILLIS: u64 = 3000;

/// A leave that does not tell which announced run ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Name of the upstream that leaves.
    pub upstream: Upstream,
    /// Start of the last run that is known to end, in milliseconds of Unix time. Earlier runs end, too.
    pub through: Option<u64>,
    /// Time of a leave that names no run, in milliseconds of Unix time by the clock of the control
    /// instance that received it.
    pub before: Option<u64>,
}

/// A departure in a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The departure.
    pub departure: Departure,
    /// Time since the leave, in milliseconds.
    pub age_millis: u32,
}

impl Report {
    /// Creates the report of a departure whose leave was at `left_at`.
    pub fn new(now: Instant, left_at: Instant, departure: Departure) -> Self {
        let age = now.saturating_duration_since(left_at).as_millis();
        Self { departure, age_millis: u32::try_from(age).unwrap_or(u32::MAX) }
    }

    /// Returns the time of the leave if the report arrives at `now`.
    pub fn left_at(&self, now: Instant) -> Instant {
        let age = Duration::from_millis(self.age_millis.into());
        now.checked_sub(age).unwrap_or(now)
    }
}

/// What a departure means for a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    /// The run has ended.
    Ends,
    /// The run has ended, or is the next one.
    MayEnd,
    /// The run is a later one.
    Spares,
}

impl Departure {
    fn effect_on(&self, born: u64) -> Effect {
        if self.through.is_some_and(|through| born <= through) {
            return Effect::Ends;
        }
        match self.before {
            // The start of the run is not announced.
            Some(_) if born == 0 => Effect::MayEnd,
            Some(before) if born.saturating_add(CLOCK_TOLERANCE_MILLIS) < before => Effect::Ends,
            Some(before) if born <= before.saturating_add(CLOCK_TOLERANCE_MILLIS) => Effect::MayEnd,
            _ => Effect::Spares,
        }
    }

    /// Returns whether `other` is the same leave, repeated because the first acknowledgement did not
    /// arrive. Its copies count for the repeat, which would otherwise wait for disks from the beginning.
    pub(crate) fn is_repeated_by(&self, other: &Self) -> bool {
        let is_same_time = match (self.before, other.before) {
            (Some(before), Some(repeated)) => {
                repeated <= before.saturating_add(CLOCK_TOLERANCE_MILLIS)
            }
            (_, None) => true,
            (None, Some(_)) => false,
        };
        other.through <= self.through && is_same_time
    }

    /// Adds the runs that `other` ends. Returns whether there are any.
    fn include(&mut self, other: &Self) -> bool {
        let (through, before) = (self.through.max(other.through), self.before.max(other.before));
        let is_changed = (through, before) != (self.through, self.before);
        (self.through, self.before) = (through, before);
        is_changed
    }
}

struct Entry {
    departure: Departure,
    /// Time of the leave by the clock of this process.
    left_at: Instant,
    /// Whether enough control instances have the departure on disk.
    is_durable: bool,
}

impl Entry {
    fn is_late(&self, now: Instant) -> bool {
        self.left_at + LATENESS <= now
    }

    fn ends(&self, now: Instant, born: u64) -> bool {
        match self.departure.effect_on(born) {
            Effect::Ends => true,
            Effect::MayEnd => !self.is_late(now),
            Effect::Spares => false,
        }
    }
}

/// Result of adding a departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Addition {
    Changed,
    Unchanged,
    /// As many departures are kept as the limit allows, and none may be dropped yet.
    Full,
}

/// The departures that an instance keeps.
#[derive(Default)]
pub(crate) struct Departures {
    /// Sorted by upstream.
    entries: Vec<Entry>,
}

impl Departures {
    /// Adds a departure whose leave was at `left_at`.
    pub(crate) fn add(&mut self, now: Instant, left_at: Instant, departure: Departure) -> Addition {
        self.drop_expired(now);
        match self.find(&departure.upstream) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                if !entry.departure.include(&departure) {
                    entry.left_at = entry.left_at.min(left_at);
                    return Addition::Unchanged;
                }
                entry.left_at = entry.left_at.max(left_at);
                entry.is_durable = false;
                Addition::Changed
            }
            Err(_) if left_at + RETENTION <= now => Addition::Unchanged,
            Err(_) if !self.make_room(now) => Addition::Full,
            Err(_) => {
                let entry = Entry { departure, left_at, is_durable: false };
                let index = self.find(&entry.departure.upstream).unwrap_or_else(|index| index);
                self.entries.insert(index, entry);
                Addition::Changed
            }
        }
    }

    /// Returns whether a departure of `upstream` can be added.
    pub(crate) fn has_room(&self, now: Instant, upstream: &Upstream) -> bool {
        self.entries.len() < MAX_DEPARTURES
            || self.find(upstream).is_ok()
            || self.entries.iter().any(|entry| entry.is_late(now))
    }

    /// Drops the oldest departure if there are too many. Returns whether there is room for another
    /// one.
    fn make_room(&mut self, now: Instant) -> bool {
        if self.entries.len() < MAX_DEPARTURES {
            return true;
        }
        let oldest = self.entries.iter().enumerate().min_by_key(|(_, entry)| entry.left_at);
        let dropped = oldest.filter(|(_, entry)| entry.is_late(now)).map(|(index, _)| index);
        dropped.map(|index| self.entries.remove(index)).is_some()
    }

    /// Returns whether the run of `upstream` that started at `born` has ended, or may have.
    pub(crate) fn ends(&self, now: Instant, upstream: &Upstream, born: u64) -> bool {
        self.find(upstream).is_ok_and(|index| self.entries[index].ends(now, born))
    }

    /// Returns whether the run is only known to begin at about the time of the leave.
    pub(crate) fn may_end(departure: &Departure, born: u64) -> bool {
        departure.effect_on(born) == Effect::MayEnd
    }

    /// Marks a departure as durable, unless it has changed.
    pub(crate) fn mark_durable(&mut self, departure: &Departure) {
        if let Ok(index) = self.find(&departure.upstream) {
            let entry = &mut self.entries[index];
            entry.is_durable |= entry.departure == *departure;
        }
    }

    /// Returns the departure of `upstream`, if there is one, and whether it is marked as durable.
    pub(crate) fn get(&self, upstream: &Upstream) -> Option<(&Departure, bool)> {
        let entry = &self.entries[self.find(upstream).ok()?];
        Some((&entry.departure, entry.is_durable))
    }

    /// Returns all departures for a message.
    pub(crate) fn reports(&self, now: Instant) -> Vec<Report> {
        let report = |entry: &Entry| Report::new(now, entry.left_at, entry.departure.clone());
        self.entries.iter().map(report).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn drop_expired(&mut self, now: Instant) {
        self.entries.retain(|entry| now < entry.left_at + RETENTION);
    }

    fn find(&self, upstream: &Upstream) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.departure.upstream.cmp(upstream))
    }
}
