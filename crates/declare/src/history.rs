//! Bounded history of revisions with their changes, and the audit trail.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Change, Document, Mark, Origin, Revision};

/// Maximum number of revisions in the history.
pub const MAX_HISTORY_REVISIONS: usize = 1000;

/// Maximum size of all changes in the history, in bytes.
pub const MAX_HISTORY_BYTES: usize = 8 << 20;

/// Maximum number of records in the audit trail.
pub const MAX_AUDIT_RECORDS: usize = 5000;

/// Maximum number of changes that one audit record describes.
const MAX_DESCRIBED_CHANGES: usize = 20;

/// Type of the order that created a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The order applied new content.
    Applied,
    /// The order restored the content of an earlier revision.
    RolledBack {
        /// The restored revision.
        to: Revision,
    },
}

/// A revision in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Number of the revision.
    pub revision: Revision,
    /// Origin of the order.
    pub origin: Origin,
    /// Type of the order.
    pub cause: Cause,
    /// Hash of the complete content.
    pub mark: Mark,
    /// Changes from the previous revision.
    pub changes: Vec<Change>,
}

impl Entry {
    fn text_bytes(&self) -> usize {
        self.changes.iter().map(Change::text_bytes).sum()
    }
}

/// A record of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the created revision.
    pub revision: Revision,
    /// Number of the revision that the order was based on.
    pub base: Revision,
    /// Origin of the order.
    pub origin: Origin,
    /// Type of the order.
    pub cause: Cause,
    /// Descriptions of the changes.
    pub changes: Vec<String>,
}

impl Record {
    fn new(entry: &Entry, base: Revision) -> Self {
        let mut changes: Vec<String> =
            entry.changes.iter().take(MAX_DESCRIBED_CHANGES).map(Change::words).collect();
        if entry.changes.len() > MAX_DESCRIBED_CHANGES {
            changes
                .push(format!("and {} more changes", entry.changes.len() - MAX_DESCRIBED_CHANGES));
        }
        let (revision, origin, cause) = (entry.revision, entry.origin.clone(), entry.cause);
        Self { revision, base, origin, cause, changes }
    }
}

/// The bounded history and audit trail.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    entries: VecDeque<Entry>,
    bytes: usize,
    records: VecDeque<Record>,
}

impl History {
    /// Adds the newest revision, which is based on `base`, and drops the oldest entries and records
    /// that exceed the bounds.
    pub(crate) fn push(&mut self, entry: Entry, base: Revision) {
        self.records.push_back(Record::new(&entry, base));
        self.bytes += entry.text_bytes();
        self.entries.push_back(entry);
        while self.records.len() > MAX_AUDIT_RECORDS {
            self.records.pop_front();
        }
        while self.exceeds_bounds() {
            self.drop_oldest();
        }
    }

    fn exceeds_bounds(&self) -> bool {
        let has_several = self.entries.len() > 1;
        has_several
            && (self.entries.len() > MAX_HISTORY_REVISIONS || self.bytes > MAX_HISTORY_BYTES)
    }

    fn drop_oldest(&mut self) {
        if let Some(entry) = self.entries.pop_front() {
            self.bytes -= entry.text_bytes();
        }
    }

    /// Returns the revisions in the history, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Returns the audit trail, oldest first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = &Record> {
        self.records.iter()
    }

    /// Returns the entry of `revision` if the history holds it.
    pub fn get(&self, revision: Revision) -> Option<&Entry> {
        let index = self.entries.binary_search_by(|entry| entry.revision.cmp(&revision)).ok()?;
        self.entries.get(index)
    }

    /// Returns the entries after `revision`, oldest first.
    ///
    /// Returns `None` if there are none or if some of them were dropped.
    pub fn since(&self, revision: Revision) -> Option<Vec<&Entry>> {
        let after: Vec<&Entry> =
            self.entries.iter().filter(|entry| entry.revision > revision).collect();
        let is_complete = after.first().is_some_and(|first| first.revision == revision.next());
        is_complete.then_some(after)
    }

    /// Returns the oldest revision whose content can be restored.
    pub fn oldest(&self, current: Revision) -> Revision {
        let first = self.entries.front();
        first.map_or(current, |entry| Revision(entry.revision.0.saturating_sub(1)))
    }

    /// Restores the content of `revision` from the newest document by reverting changes.
    ///
    /// Returns `None` if the history does not hold all the changes. `current` is the number of the
    /// newest revision.
    pub fn content(
        &self,
        revision: Revision,
        current: Revision,
        newest: &Document,
    ) -> Option<Document> {
        if revision > current || revision < self.oldest(current) {
            return None;
        }
        let mut document = newest.clone();
        for entry in self.entries.iter().rev().take_while(|entry| entry.revision > revision) {
            if !document.revert(&entry.changes) {
                return None;
            }
        }
        Some(document)
    }
}
