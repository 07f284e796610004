//! Recovery of the data folder at process start.

use serde::de::DeserializeOwned;

use super::journal::{
    BALLOT_FILE, IDENTITY_FILE, SEGMENT_PREFIX, SNAPSHOT_PREFIX, StoredSnapshot, parse_number,
    segment_name,
};
use super::record::{self, RecordRead};
use crate::{Ballot, Entry, Error, Folder, Index, Indexed, Journal, Recovered, Snapshot, VoterId};

const INVALID_CONTENT: &str = "a record cannot be decoded";

impl<F> Journal<F>
where
    F: Folder,
{
    /// Reads the data folder. A new folder gets the identifier `new_voter`.
    ///
    /// # Errors
    ///
    /// If a file cannot be read, is damaged or is missing. A torn write at the end of the log was
    /// never synced, so it is dropped without an error.
    pub fn open(folder: F, new_voter: VoterId) -> Result<(Self, VoterId, Recovered), Error> {
        let mut journal = Self::new(folder, 0);
        let names = journal.folder.names().map_err(journal.file_error("list", ""))?;
        let segments: Vec<u64> =
            names.iter().filter_map(|name| parse_number(name, SEGMENT_PREFIX)).collect();
        journal.segment = segments.last().map_or(0, |last| last + 1);
        let voter = journal.open_identity(&names, new_voter)?;
        let ballot: Ballot = journal.read_if_listed(&names, BALLOT_FILE)?.unwrap_or_default();
        let stored = journal.read_snapshot(&names)?;
        let Some(StoredSnapshot { first_segment, snapshot }) = stored else {
            return match segments.is_empty() && ballot.vote.is_none() {
                true => Ok((journal, voter, Recovered { ballot, ..Recovered::default() })),
                false => Err(journal.missing("snapshot")),
            };
        };
        journal.has_snapshot = true;
        journal.segment = journal.segment.max(first_segment);
        let mut log = Replay::new(&snapshot);
        for number in segments.iter().filter(|number| **number >= first_segment) {
            let is_last = segments.last() == Some(number);
            journal.replay(*number, is_last, &mut log)?;
        }
        let snapshot = Snapshot::clone(&snapshot);
        Ok((journal, voter, Recovered { ballot, snapshot, entries: log.entries }))
    }

    fn missing(&self, file: &'static str) -> Error {
        Error::Missing { folder: self.folder.label(), file }
    }

    /// Reads the identifier of the folder, or stores `new_voter` if the folder is new.
    fn open_identity(&mut self, names: &[String], new_voter: VoterId) -> Result<VoterId, Error> {
        // A crashed process may have renamed files without syncing the directory.
        self.folder.sync_names().map_err(self.file_error("sync", ""))?;
        if let Some(voter) = self.read_if_listed(names, IDENTITY_FILE)? {
            return Ok(voter);
        }
        let is_new = names.iter().all(|name| name.starts_with(IDENTITY_FILE));
        if !is_new {
            return Err(self.missing(IDENTITY_FILE));
        }
        self.replace(IDENTITY_FILE, &new_voter)?;
        Ok(new_voter)
    }

    fn damaged(&self, file: &str, offset: usize, problem: &'static str) -> Error {
        Error::Damaged { folder: self.folder.label(), file: file.to_string(), offset, problem }
    }

    /// Reads a file. Returns `None` if it does not exist.
    pub(super) fn read_file<T>(&self, name: &str) -> Result<Option<T>, Error>
    where
        T: DeserializeOwned,
    {
        let names = self.folder.names().map_err(self.file_error("list", ""))?;
        self.read_if_listed(&names, name)
    }

    fn read_if_listed<T>(&self, names: &[String], name: &str) -> Result<Option<T>, Error>
    where
        T: DeserializeOwned,
    {
        if !names.iter().any(|existing| existing == name) {
            return Ok(None);
        }
        let bytes = self.folder.read(name).map_err(self.file_error("read", name))?;
        let payload = match record::read(&bytes, 0) {
            RecordRead::Complete { payload, next } if next == bytes.len() => payload,
            RecordRead::Damaged { problem } => return Err(self.damaged(name, 0, problem)),
            _ => return Err(self.damaged(name, bytes.len(), "the file is incomplete")),
        };
        let content =
            postcard::from_bytes(payload).map_err(|_| self.damaged(name, 0, INVALID_CONTENT))?;
        Ok(Some(content))
    }

    fn read_snapshot(&self, names: &[String]) -> Result<Option<StoredSnapshot>, Error> {
        let newest = names.iter().rfind(|name| parse_number(name, SNAPSHOT_PREFIX).is_some());
        match newest {
            Some(name) => self.read_if_listed(names, name),
            None => Ok(None),
        }
    }

    /// Reads the entries of a segment into `log`. A torn write is accepted only at the end of the
    /// last segment, where it is truncated.
    fn replay(&mut self, number: u64, is_last: bool, log: &mut Replay) -> Result<(), Error> {
        let name = segment_name(number);
        let bytes = self.folder.read(&name).map_err(self.file_error("read", &name))?;
        let mut offset = 0;
        loop {
            match record::read(&bytes, offset) {
                RecordRead::Complete { payload, next } => {
                    let indexed = postcard::from_bytes(payload)
                        .map_err(|_| self.damaged(&name, offset, INVALID_CONTENT))?;
                    log.push(indexed).map_err(|index| Error::Gap {
                        folder: self.folder.label(),
                        file: name.clone(),
                        index,
                    })?;
                    offset = next;
                }
                RecordRead::End => break,
                RecordRead::Torn if is_last => {
                    self.folder
                        .truncate(&name, offset)
                        .map_err(self.file_error("truncate", &name))?;
                    break;
                }
                RecordRead::Torn => {
                    return Err(self.damaged(&name, offset, "a record is truncated"));
                }
                RecordRead::Damaged { problem } => return Err(self.damaged(&name, offset, problem)),
            }
        }
        if is_last {
            // A crashed process may have written entries without syncing them.
            self.folder.sync(&name).map_err(self.file_error("sync", &name))?;
        }
        Ok(())
    }
}

/// Reassembles the entries after a snapshot from their records.
struct Replay {
    base: Index,
    entries: Vec<Entry>,
}

impl Replay {
    fn new(snapshot: &Snapshot) -> Self {
        Self { base: snapshot.position.index, entries: Vec::new() }
    }

    /// Adds the next record. Returns the index of the first missing entry if there is a gap before
    /// it.
    fn push(&mut self, indexed: Indexed) -> Result<(), Index> {
        let Some(offset) = indexed.index.0.checked_sub(self.base.0 + 1) else {
            return Ok(());
        };
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        if offset > self.entries.len() {
            return Err(Index(self.base.0 + 1 + self.entries.len() as u64));
        }
        let present = self.entries.get(offset);
        if present.is_some_and(|present| present.term == indexed.entry.term) {
            // The entry was written again together with a snapshot; the entries after it remain
            // valid.
            return Ok(());
        }
        self.entries.truncate(offset);
        self.entries.push(indexed.entry);
        Ok(())
    }
}
