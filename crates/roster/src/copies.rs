//! Copies of a replicated value on the disks of control instances.
//!
//! The value has a version that only grows, such as the number of a document. A version is
//! acknowledged once enough control instances have it, or a newer one, on disk. [`Copies`] performs
//! no I/O.

use std::time::Instant;

use crate::durability::{Holder, Requirement};

/// The version that a control instance has on disk.
#[derive(Debug, Clone)]
struct Copy<V> {
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
    /// Sorted by instance.
    copies: Vec<Copy<V>>,
    waiting: Vec<Waiting<V, T>>,
}

impl<V, T> Default for Copies<V, T> {
    fn default() -> Self {
        Self { copies: Vec::new(), waiting: Vec::new() }
    }
}

impl<V, T> Copies<V, T>
where
    V: Ord,
{
    /// Records that `version` is the newest one that `holder` has on disk. The latest report
    /// counts, because an instance that lost its disk has an older version than before, or none.
    pub fn record(&mut self, holder: Holder, version: V) {
        match self.position(&holder) {
            Ok(index) => self.copies[index].version = version,
            Err(index) => self.copies.insert(index, Copy { holder, version }),
        }
    }

    fn position(&self, holder: &Holder) -> Result<usize, usize> {
        self.copies.binary_search_by(|copy| copy.holder.instance.cmp(&holder.instance))
    }

    /// Forgets the copies of instances that are not among `live`.
    pub fn retain_live(&mut self, live: &[Holder]) {
        self.copies.retain(|copy| live.contains(&copy.holder));
    }

    /// Adds an acknowledgement of `version`.
    pub fn wait(&mut self, version: V, expires_at: Instant, acknowledgement: T) {
        self.waiting.push(Waiting { version, expires_at, acknowledgement });
    }

    /// Removes the acknowledgements of versions that have the required copies, and returns them.
    pub fn take_stored(&mut self, requirement: Requirement) -> Vec<T> {
        let copies = &self.copies;
        let is_stored = |waiting: &mut Waiting<V, T>| {
            let has_version = |copy: &&Copy<V>| waiting.version <= copy.version;
            let holders = copies.iter().filter(has_version).map(|copy| copy.holder.clone());
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
