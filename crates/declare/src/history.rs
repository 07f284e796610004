//! The newest revisions with their changes, and the audit trail.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Change, Document, Mark, Origin, Revision};

/// Most revisions in the history.
pub const HISTORY_REVISIONS: usize = 1000;

/// Most bytes of changes in the history.
pub const HISTORY_BYTES: usize = 8 << 20;

/// Most records in the audit trail.
pub const AUDIT_RECORDS: usize = 5000;

/// Most changes that one audit record words.
const WORDED_CHANGES: usize = 20;

/// What made a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// New content.
    Applied,
    /// The content of an earlier revision.
    RolledBack {
        /// The earlier revision.
        to: Revision,
    },
}

/// A revision in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its number.
    pub revision: Revision,
    /// Who and when.
    pub origin: Origin,
    /// What made it.
    pub cause: Cause,
    /// Hash of its whole content.
    pub mark: Mark,
    /// What it changed in the revision before it.
    pub changes: Vec<Change>,
}

impl Entry {
    fn length(&self) -> usize {
        self.changes.iter().map(Change::length).sum()
    }
}

/// A record of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The revision that was made.
    pub revision: Revision,
    /// The revision that it was made from.
    pub base: Revision,
    /// Who and when.
    pub origin: Origin,
    /// What made it.
    pub cause: Cause,
    /// What changed, in words.
    pub changes: Vec<String>,
}

impl Record {
    fn new(entry: &Entry, base: Revision) -> Self {
        let mut changes: Vec<String> =
            entry.changes.iter().take(WORDED_CHANGES).map(Change::words).collect();
        if entry.changes.len() > WORDED_CHANGES {
            changes.push(format!("and {} more changes", entry.changes.len() - WORDED_CHANGES));
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
    /// Adds the newest revision, made from `base`, and forgets what is beyond the bounds.
    pub(crate) fn push(&mut self, entry: Entry, base: Revision) {
        self.records.push_back(Record::new(&entry, base));
        self.bytes += entry.length();
        self.entries.push_back(entry);
        while self.records.len() > AUDIT_RECORDS {
            self.records.pop_front();
        }
        while self.is_over() {
            self.forget();
        }
    }

    fn is_over(&self) -> bool {
        let has_several = self.entries.len() > 1;
        has_several && (self.entries.len() > HISTORY_REVISIONS || self.bytes > HISTORY_BYTES)
    }

    fn forget(&mut self) {
        if let Some(entry) = self.entries.pop_front() {
            self.bytes -= entry.length();
        }
    }

    /// The revisions in the history, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// The audit trail, oldest first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = &Record> {
        self.records.iter()
    }

    /// The entry of `revision`, while the history holds it.
    pub fn get(&self, revision: Revision) -> Option<&Entry> {
        let index = self.entries.binary_search_by(|entry| entry.revision.cmp(&revision)).ok()?;
        self.entries.get(index)
    }

    /// The entries after `revision`, oldest first; none when some of them are forgotten.
    pub fn since(&self, revision: Revision) -> Option<Vec<&Entry>> {
        let after: Vec<&Entry> =
            self.entries.iter().filter(|entry| entry.revision > revision).collect();
        let is_whole = after.first().is_some_and(|first| first.revision == revision.next());
        is_whole.then_some(after)
    }

    /// The oldest revision whose content can be had.
    pub fn oldest(&self, current: Revision) -> Revision {
        let first = self.entries.front();
        first.map_or(current, |entry| Revision(entry.revision.0.saturating_sub(1)))
    }

    /// The content of `revision`, given the newest content.
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
