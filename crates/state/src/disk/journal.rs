//! Write path of the data folder, with group commit.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::record;
use crate::{Ballot, Error, Folder, Snapshot, Write};

pub(super) const BALLOT_FILE: &str = "ballot";
pub(super) const IDENTITY_FILE: &str = "identity";
pub(super) const SNAPSHOT_PREFIX: &str = "snapshot-";
pub(super) const SEGMENT_PREFIX: &str = "log-";
const TEMPORARY_SUFFIX: &str = ".new";

/// Size above which a new segment is started, in bytes.
const SEGMENT_BYTES: usize = 8 << 20;

/// A snapshot and the number of the first segment with entries after it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StoredSnapshot {
    pub(super) first_segment: u64,
    pub(super) snapshot: Arc<Snapshot>,
}

/// The open data folder.
pub struct Journal<F> {
    pub(super) folder: F,
    /// Number of the segment that entries are appended to.
    pub(super) segment: u64,
    /// Bytes written to that segment.
    pub(super) segment_bytes: usize,
    /// Whether the file name of that segment is synced.
    pub(super) is_segment_name_synced: bool,
    /// Whether a snapshot is stored.
    pub(super) has_snapshot: bool,
    buffer: Vec<u8>,
}

pub(super) fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:020}")
}

/// Returns the number after `prefix` in a file name.
pub(super) fn parse_number(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}

impl<F> Journal<F>
where
    F: Folder,
{
    pub(super) fn new(folder: F, segment: u64) -> Self {
        Self {
            folder,
            segment,
            segment_bytes: 0,
            is_segment_name_synced: false,
            has_snapshot: false,
            buffer: Vec::new(),
        }
    }

    /// Returns the underlying folder.
    pub fn folder(&self) -> &F {
        &self.folder
    }

    pub(super) fn file_error<'name>(
        &self,
        operation: &'static str,
        file: &'name str,
    ) -> impl FnOnce(std::io::Error) -> Error + use<'name, F> {
        let folder = self.folder.label();
        move |source| Error::File { folder, operation, file: file.to_string(), source }
    }

    /// Writes and syncs all of `writes`. Returns the number of the last one.
    ///
    /// # Errors
    ///
    /// If anything cannot be written or synced. The state on disk is then unknown, so the process
    /// must stop.
    pub fn write(&mut self, writes: &[Write]) -> Result<Option<u64>, Error> {
        let last_snapshot = writes.iter().rposition(|write| write.snapshot.is_some());
        let ballot = writes.iter().rev().find_map(|write| write.ballot.as_ref());
        match last_snapshot {
            // A vote without a snapshot on disk would be mistaken for a lost snapshot.
            Some(index) => {
                self.write_snapshot(writes, index)?;
                ballot.map_or(Ok(()), |ballot| self.write_ballot(ballot))?;
            }
            None => {
                ballot.map_or(Ok(()), |ballot| self.write_ballot(ballot))?;
                self.write_entries(writes)?;
            }
        }
        Ok(writes.last().map(|write| write.write_number))
    }

    fn write_ballot(&mut self, ballot: &Ballot) -> Result<(), Error> {
        self.replace(BALLOT_FILE, ballot)
    }

    fn write_entries(&mut self, writes: &[Write]) -> Result<(), Error> {
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.clear();
        let name = segment_name(self.segment);
        for indexed in writes.iter().flat_map(|write| &write.entries) {
            let payload = encode(&name, indexed)?;
            record::append(&payload, &mut buffer);
        }
        let result = self.append(&name, &buffer);
        self.buffer = buffer;
        result
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), Error> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.folder.append(name, bytes).map_err(self.file_error("write", name))?;
        self.folder.sync(name).map_err(self.file_error("sync", name))?;
        if !self.is_segment_name_synced {
            self.folder.sync_names().map_err(self.file_error("sync the folder of", name))?;
            self.is_segment_name_synced = true;
        }
        self.segment_bytes += bytes.len();
        if self.segment_bytes > SEGMENT_BYTES {
            self.start_segment();
        }
        Ok(())
    }

    /// Directs the following entries to a new segment.
    fn start_segment(&mut self) {
        self.segment += 1;
        self.segment_bytes = 0;
        self.is_segment_name_synced = false;
    }

    /// Stores the last snapshot of `writes` (the one at `index`) and writes the entries from there
    /// on to a new segment, then removes the obsolete files.
    ///
    /// If the log on disk remains valid, the entries before the snapshot are appended to it first
    /// and the snapshot is written last, so that a crash at any point leaves no gap. If the log on
    /// disk does not lead up to the snapshot, the snapshot is written first.
    fn write_snapshot(&mut self, writes: &[Write], index: usize) -> Result<(), Error> {
        let Some(snapshot) = writes.get(index).and_then(|write| write.snapshot.clone()) else {
            return Ok(());
        };
        let (before, after) = writes.split_at(index);
        // Entries without any snapshot on disk would be mistaken for a lost snapshot.
        let is_first = !std::mem::replace(&mut self.has_snapshot, true);
        let is_snapshot_first = is_first || writes[..=index].iter().any(|write| write.replaces_log);
        if !is_snapshot_first {
            self.write_entries(before)?;
        }
        self.start_segment();
        let first_segment = self.segment;
        let name = format!("{SNAPSHOT_PREFIX}{:020}", snapshot.position.index.0);
        if is_snapshot_first {
            self.replace_snapshot(&name, first_segment, &snapshot)?;
            self.write_entries(after)?;
        } else {
            self.write_entries(after)?;
            self.replace_snapshot(&name, first_segment, &snapshot)?;
        }
        self.remove_obsolete_files(&name, first_segment)
    }

    /// Removes all older snapshots and the segments before `first_segment`.
    fn remove_obsolete_files(&mut self, newest: &str, first_segment: u64) -> Result<(), Error> {
        let names = self.folder.names().map_err(self.file_error("list", ""))?;
        for name in names {
            let is_old_snapshot = name.starts_with(SNAPSHOT_PREFIX) && name != newest;
            let number = parse_number(&name, SEGMENT_PREFIX);
            if is_old_snapshot || number.is_some_and(|number| number < first_segment) {
                self.folder.remove(&name).map_err(self.file_error("remove", &name))?;
            }
        }
        Ok(())
    }

    /// Replaces the whole content of a file atomically: after a crash, the file has either the old
    /// or the new content.
    pub(super) fn replace<T>(&mut self, name: &str, content: &T) -> Result<(), Error>
    where
        T: Serialize,
    {
        self.replace_with_record(name, &[&encode(name, content)?])
    }

    /// Writes a snapshot in the format of [`StoredSnapshot`]. The data is the last field, so it is
    /// written without being copied.
    fn replace_snapshot(
        &mut self,
        name: &str,
        first_segment: u64,
        snapshot: &Snapshot,
    ) -> Result<(), Error> {
        let fields = (first_segment, snapshot.position, &snapshot.members, snapshot.data.len());
        let start = encode(name, &fields)?;
        let pieces: Vec<&[u8]> =
            std::iter::once(&start[..]).chain(snapshot.data.pieces()).collect();
        self.replace_with_record(name, &pieces)
    }

    /// Replaces a file with a single record whose payload is the concatenation of `pieces`.
    fn replace_with_record(&mut self, name: &str, pieces: &[&[u8]]) -> Result<(), Error> {
        let temporary = format!("{name}{TEMPORARY_SUFFIX}");
        self.remove_leftover(&temporary)?;
        let first = pieces.first().copied().unwrap_or_default();
        let start = [&record::header(pieces), first].concat();
        for piece in std::iter::once(&start[..]).chain(pieces.iter().skip(1).copied()) {
            self.folder.append(&temporary, piece).map_err(self.file_error("write", &temporary))?;
        }
        self.folder.sync(&temporary).map_err(self.file_error("sync", &temporary))?;
        self.folder.rename(&temporary, name).map_err(self.file_error("rename", &temporary))?;
        self.folder.sync_names().map_err(self.file_error("sync the folder of", name))
    }

    /// Removes the temporary file of an interrupted [`Self::replace`].
    fn remove_leftover(&mut self, temporary: &str) -> Result<(), Error> {
        let names = self.folder.names().map_err(self.file_error("list", ""))?;
        if names.iter().any(|name| name == temporary) {
            self.folder.remove(temporary).map_err(self.file_error("remove", temporary))?;
        }
        Ok(())
    }
}

fn encode<T>(file: &str, content: &T) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    postcard::to_allocvec(content)
        .map_err(|source| Error::Encode { file: file.to_string(), source })
}
