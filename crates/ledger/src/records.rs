//! Full records of claimed keys, indexed by key and by expiry.

use std::collections::VecDeque;

use names::{Attempt, ClientAccount};
use serde::{Deserialize, Serialize};

use crate::{Digest, StoredResponse, Time};

/// Accounted size of a record without a response, in bytes.
pub(crate) const RECORD_BYTES: usize = 256;

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimState {
    /// The attempt may be running until the deadline; after that its outcome is unknown.
    Running { deadline: Time },
    /// The attempt may have run.
    Unknown,
    /// The upstream responded to the attempt.
    Answered(StoredResponse),
}

/// Full record of one claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) account: ClientAccount,
    pub(crate) request: Digest,
    pub(crate) fence: Attempt,
    pub(crate) expires: Time,
    pub(crate) state: ClaimState,
}

impl Record {
    /// Returns the accounted size of the record in bytes.
    pub(crate) fn size(&self) -> usize {
        match &self.state {
            ClaimState::Answered(answer) => RECORD_BYTES + answer.size(),
            _ => RECORD_BYTES,
        }
    }

    /// Returns whether the attempt may be running at `now`.
    pub(crate) fn is_running(&self, now: Time) -> bool {
        matches!(self.state, ClaimState::Running { deadline } if deadline > now)
    }
}

/// Limit on the number of records and on their total size in bytes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RecordLimits {
    pub(crate) records: usize,
    pub(crate) bytes: usize,
}

impl RecordLimits {
    /// Returns whether `records` or `bytes` reaches its limit.
    pub(crate) fn is_reached(self, records: usize, bytes: usize) -> bool {
        records >= self.records || bytes >= self.bytes
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) key: Digest,
    pub(crate) record: Box<Record>,
}

/// Records sorted by key, with their keys in order of expiry.
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

    /// Returns all records, sorted by key.
    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Inserts a record, which must not expire before any other record. Returns `false` if the
    /// key already has a record.
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

    /// Removes the oldest records for which `is_eligible` returns `true`, until the removed
    /// records reach `target`, and returns them sorted by key.
    pub(crate) fn extract_oldest<P>(&mut self, target: RecordLimits, is_eligible: P) -> Vec<Entry>
    where
        P: Fn(&Record) -> bool,
    {
        let mut keys = Vec::new();
        let mut bytes = 0;
        for (_, key) in &self.expiries {
            if target.is_reached(keys.len(), bytes) {
                break;
            }
            if let Some(record) = self.get(*key).filter(|record| is_eligible(record)) {
                bytes += record.size();
                keys.push(*key);
            }
        }
        keys.sort_unstable();
        let is_chosen = |key: &Digest| keys.binary_search(key).is_ok();
        self.expiries.retain(|(_, key)| !is_chosen(key));
        self.entries.extract_if(.., |entry| is_chosen(&entry.key)).collect()
    }

    /// Returns the time at which the next record expires.
    pub(crate) fn next_expiry(&self) -> Option<Time> {
        self.expiries.front().map(|(expires, _)| *expires)
    }

    /// Removes and returns one record that has expired at `now`.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<Record> {
        let (expires, key) = *self.expiries.front()?;
        if expires > now { None } else { self.remove(key) }
    }
}
