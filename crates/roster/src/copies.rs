//! Copies of a replicated value on the disks of control instances.
//!
//! The value has a version that only grows, such as the number of a document. A version is
//! acknowledged once enough control instances have it, or a newer one, on disk. Versions may be
//! partially ordered, such as sets of numbered orders: a set that includes another one is newer.
//! [`Copies`] performs no I/O.

use std::time::Instant;

use crate::durability::{Holder, Requirement};

/// The newest version that a control instance has on disk, as it reported.
#[derive(Debug, Clone)]
struct Report<V> {
    holder: Holder,
    version: V,
}

/// An acknowledgement that waits for copies.
#[derive(Debug)]
struct Waiting<V, T> {
    version: V,
    expires_at: Instant,
    acknowledgement: T,
}

/// Acknowledgements that wait until enough control instances have a version on disk.
#[derive(Debug)]
pub struct Copies<V, T> {
    /// Latest report of each instance, sorted by instance.
    reports: Vec<Report<V>>,
    waiting: Vec<Waiting<V, T>>,
}

impl<V, T> Default for Copies<V, T> {
    fn default() -> Self {
        Self { reports: Vec::new(), waiting: Vec::new() }
    }
}

impl<V, T> Copies<V, T>
where
    V: PartialOrd,
{
    /// Records that `version` is the newest one that `holder` has on disk. The latest report
    /// counts, because an instance that lost its disk has an older version than before, or none.
    pub fn record(&mut self, holder: Holder, version: V) {
        match self.position(&holder) {
            Ok(index) => self.reports[index].version = version,
            Err(index) => self.reports.insert(index, Report { holder, version }),
        }
    }

    fn position(&self, holder: &Holder) -> Result<usize, usize> {
        self.reports.binary_search_by(|report| report.holder.instance.cmp(&holder.instance))
    }

    /// Forgets the copies of instances that are not among `live`.
    pub fn retain_live(&mut self, live: &[Holder]) {
        self.reports.retain(|report| live.contains(&report.holder));
    }

    /// Adds an acknowledgement of `version`.
    pub fn wait(&mut self, version: V, expires_at: Instant, acknowledgement: T) {
        self.waiting.push(Waiting { version, expires_at, acknowledgement });
    }

    /// Returns whether any acknowledgement waits.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Removes the acknowledgements of versions that have the required copies, and returns them.
    pub fn take_stored(&mut self, requirement: Requirement) -> Vec<T> {
        let reports = &self.reports;
        let is_stored = |waiting: &mut Waiting<V, T>| {
            let has_version = |report: &&Report<V>| waiting.version <= report.version;
            let holders = reports.iter().filter(has_version).map(|report| report.holder.clone());
            requirement.is_met(&holders.collect::<Vec<_>>())
        };
        let stored = self.waiting.extract_if(.., is_stored);
        stored.map(|waiting| waiting.acknowledgement).collect()
    }

    /// Removes the acknowledgements whose time has passed, and returns them.
    pub fn take_expired(&mut self, now: Instant) -> Vec<T> {
        let expired = self.waiting.extract_if(.., |waiting| waiting.expires_at <= now);
        expired.map(|waiting| waiting.acknowledgement).collect()
    }
}
