//! The records of claimed keys that are kept whole, found by key and by age.

use std::collections::VecDeque;

use names::{Attempt, ClientAccount};
use serde::{Deserialize, Serialize};

use crate::{Answer, Digest, Time};

/// Bytes that a record without an answer is counted as.
pub(crate) const RECORD_BYTES: usize = 256;

/// How a claim stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Stand {
    /// Its attempt may be running, until the deadline; after that its outcome is unknown.
    Running { deadline: Time },
    /// Its attempt may have run.
    Unknown,
    /// Its attempt was answered.
    Answered(Answer),
}

/// One claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) account: ClientAccount,
    pub(crate) body: Digest,
    pub(crate) fence: Attempt,
    pub(crate) expires: Time,
    pub(crate) stand: Stand,
}

impl Record {
    /// Bytes that the record is counted as.
    pub(crate) fn size(&self) -> usize {
        match &self.stand {
            Stand::Answered(answer) => RECORD_BYTES + answer.size(),
            _ => RECORD_BYTES,
        }
    }

    /// Whether its attempt may be running at `now`.
    pub(crate) fn is_running(&self, now: Time) -> bool {
        matches!(self.stand, Stand::Running { deadline } if deadline > now)
    }
}

/// A number of records, and bytes of them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Amount {
    pub(crate) records: usize,
    pub(crate) bytes: usize,
}

impl Amount {
    /// Whether so many `records` or `bytes` reach the amount.
    pub(crate) fn is_within(self, records: usize, bytes: usize) -> bool {
        records >= self.records || bytes >= self.bytes
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) key: Digest,
    pub(crate) record: Box<Record>,
}

/// Records sorted by key, and their keys in the order in which they expire.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Records {
    entries: Vec<Entry>,
    expiries: VecDeque<(Time, Digest)>,
}

impl Records {
    fn find(&self, key: Digest) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.key.cmp(&key))
    }

    pub(crate) fn get(&self, key: Digest) -> Option<&Record> {
        let index = self.find(key).ok()?;
        Some(&self.entries[index].record)
    }

    pub(crate) fn get_mut(&mut self, key: Digest) -> Option<&mut Record> {
        let index = self.find(key).ok()?;
        Some(&mut self.entries[index].record)
    }

    /// All records, sorted by key.
    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Inserts a record that expires no earlier than all others; false when the key is taken.
    pub(crate) fn insert(&mut self, key: Digest, record: Record) -> bool {
        let Err(index) = self.find(key) else {
            return false;
        };
        self.expiries.push_back((record.expires, key));
        self.entries.insert(index, Entry { key, record: Box::new(record) });
        true
    }

    pub(crate) fn remove(&mut self, key: Digest) -> Option<Record> {
        let index = self.find(key).ok()?;
        let record = *self.entries.remove(index).record;
        let first = self.expiries.partition_point(|(expires, _)| *expires < record.expires);
        let offset = self.expiries.iter().skip(first).position(|(_, other)| *other == key);
        if let Some(offset) = offset {
            self.expiries.remove(first + offset);
        }
        Some(record)
    }

    /// Removes the oldest records that `is_wanted` until they are `enough` in number or bytes;
    /// gives them sorted by key.
    pub(crate) fn extract_oldest<P>(&mut self, enough: Amount, is_wanted: P) -> Vec<Entry>
    where
        P: Fn(&Record) -> bool,
    {
        let mut keys = Vec::new();
        let mut bytes = 0;
        for (_, key) in &self.expiries {
            if enough.is_within(keys.len(), bytes) {
                break;
            }
            if let Some(record) = self.get(*key).filter(|record| is_wanted(record)) {
                bytes += record.size();
                keys.push(*key);
            }
        }
        keys.sort_unstable();
        let is_chosen = |key: &Digest| keys.binary_search(key).is_ok();
        self.expiries.retain(|(_, key)| !is_chosen(key));
        self.entries.extract_if(.., |entry| is_chosen(&entry.key)).collect()
    }

    /// When the next record expires.
    pub(crate) fn next_expiry(&self) -> Option<Time> {
        self.expiries.front().map(|(expires, _)| *expires)
    }

    /// Removes a record that has expired at `now`.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<Record> {
        let (expires, key) = *self.expiries.front()?;
        if expires > now { None } else { self.remove(key) }
    }
}
