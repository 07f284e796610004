//! The records of claimed keys, found by key and by expiry.

use std::collections::VecDeque;

use names::{Attempt, ClientAccount};
use serde::{Deserialize, Serialize};

use crate::{Answer, Digest, Time};

/// Bytes that a record without an answer is counted as.
const RECORD_BYTES: usize = 256;

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
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    key: Digest,
    record: Box<Record>,
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
