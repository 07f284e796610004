//! In-memory suffix of the replicated log.

use std::collections::VecDeque;

use crate::{Entry, Index, Members, Payload, Position, Term};

/// Entries after a base position, with the changes of the members among them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    members: Vec<(Index, Members)>,
    bytes: usize,
}

impl Log {
    /// Creates a log without entries after `base`, with `members` in force.
    pub(crate) fn new(base: Position, members: Members) -> Self {
        Self { base, entries: VecDeque::new(), members: vec![(base.index, members)], bytes: 0 }
    }

    pub(crate) fn base(&self) -> Position {
        self.base
    }

    pub(crate) fn last(&self) -> Position {
        let index = self.last_index();
        Position { term: self.term(index).unwrap_or_default(), index }
    }

    pub(crate) fn last_index(&self) -> Index {
        Index(self.base.index.0 + self.entries.len() as u64)
    }

    /// Returns the approximate size of the entries in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the term of the entry at `index` if that entry is the base or in memory.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `first` on, up to `limit` bytes but at least one entry if there is
    /// any.
    pub(crate) fn slice(&self, first: Index, limit: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut index = first;
        while let Some(entry) = self.get(index) {
            bytes += entry.size();
            if bytes > limit && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index.0 += 1;
        }
        entries
    }

    pub(crate) fn push(&mut self, entry: Entry) -> Index {
        let index = Index(self.last_index().0 + 1);
        if let Payload::Members(members) = &entry.payload {
            self.members.push((index, members.clone()));
        }
        self.bytes += entry.size();
        self.entries.push_back(entry);
        index
    }

    /// Removes all entries after `last`.
    pub(crate) fn truncate(&mut self, last: Index) {
        while self.last_index() > last
            && let Some(entry) = self.entries.pop_back()
        {
            self.bytes -= entry.size();
        }
        self.members.retain(|(index, _)| *index <= last);
    }

    /// Removes the entries up to and including `base`.
    pub(crate) fn compact(&mut self, base: Position) {
        while self.base.index < base.index
            && let Some(entry) = self.entries.pop_front()
        {
            self.base = Position { term: entry.term, index: Index(self.base.index.0 + 1) };
            self.bytes -= entry.size();
        }
        while self.members.get(1).is_some_and(|(index, _)| *index <= self.base.index) {
            self.members.remove(0);
        }
    }

    /// Returns the members in force at the end of the log and the index of the entry that set them.
    pub(crate) fn members(&self) -> (Index, &Members) {
        match self.members.last() {
            Some((index, members)) => (*index, members),
            None => (Index::default(), &NO_MEMBERS),
        }
    }

    /// Returns the members in force at `index`.
    pub(crate) fn members_at(&self, index: Index) -> &Members {
        let found = self.members.iter().rev().find(|(set, _)| *set <= index);
        found.map_or(&NO_MEMBERS, |(_, members)| members)
    }
}

static NO_MEMBERS: Members = Members::empty();
