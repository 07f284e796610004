//! Encoding of ledger snapshots, and decoding of all supported formats.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use state::{Chunks, Index, Machine};

use crate::accounts::Accounts;
use crate::archive::{Archive, PageHeader};
use crate::error::SnapshotError;
use crate::records::Records;
use crate::withdrawn::WithdrawnAttempts;
use crate::{Bounds, CommandOutcome, Ledger, Reply, Time};

/// First byte of every format except format 1, which starts with a number above zero.
const FORMAT_MARKER: u8 = 0;

/// Format in which snapshots are written.
const CURRENT_FORMAT: u8 = 2;

/// Size in bytes of the length field of the head, which follows the marker and the format.
const LENGTH_BYTES: usize = 8;

/// Head of a snapshot, which contains everything except the archive rows that follow it.
#[derive(Serialize, Deserialize)]
struct SnapshotHead<R, A, W> {
    bounds: Bounds,
    time: Time,
    records: R,
    accounts: A,
    withdrawn: W,
    pages: Vec<PageHeader>,
}

/// Snapshot of format 1, which has full records only.
#[derive(Deserialize)]
struct FormatOneSnapshot {
    _bounds: FormatOneBounds,
    time: Time,
    records: Records,
    _accounts: (Vec<(String, FormatOneUsage)>, FormatOneUsage),
    withdrawn: WithdrawnAttempts,
}

type FormatOneBounds = (usize, usize, usize, usize, std::time::Duration, std::time::Duration);

type FormatOneUsage = (usize, usize);

impl Ledger {
    /// Restores a ledger from a snapshot of the current format or of format 1.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError`] if the snapshot is empty, damaged, or of an unsupported format.
    pub fn from_snapshot(snapshot: &[u8]) -> Result<Self, SnapshotError> {
        match snapshot {
            [FORMAT_MARKER, CURRENT_FORMAT, rest @ ..] => {
                read_current_format(rest).ok_or(SnapshotError::Damaged { format: CURRENT_FORMAT })
            }
            [FORMAT_MARKER, format, ..] => {
                Err(SnapshotError::Format { format: *format, known: CURRENT_FORMAT })
            }
            [] => Err(SnapshotError::Empty),
            _ => read_format_one(snapshot).ok_or(SnapshotError::Damaged { format: 1 }),
        }
    }

    fn encode_head(&self) -> Vec<u8> {
        let contents = SnapshotHead {
            bounds: self.bounds,
            time: self.time,
            records: &self.records,
            accounts: &self.accounts,
            withdrawn: &self.withdrawn,
            pages: self.archive.page_headers(),
        };
        let mut bytes = Vec::with_capacity(self.record_bytes());
        bytes.extend_from_slice(&[FORMAT_MARKER, CURRENT_FORMAT]);
        bytes.extend_from_slice(&[0; LENGTH_BYTES]);
        let mut bytes = postcard::to_extend(&contents, bytes).unwrap_or_default();
        let start = 2 + LENGTH_BYTES;
        let length = bytes.len().saturating_sub(start) as u64;
        if let Some(length_field) = bytes.get_mut(2..start) {
            length_field.copy_from_slice(&length.to_le_bytes());
        }
        bytes
    }
}

fn read_current_format(bytes: &[u8]) -> Option<Ledger> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>()?;
    let length = usize::try_from(u64::from_le_bytes(*length)).ok()?;
    let (head, rows) = rest.split_at_checked(length)?;
    let contents: SnapshotHead<Records, Accounts, WithdrawnAttempts> =
        postcard::from_bytes(head).ok()?;
    let SnapshotHead { bounds, time, records, accounts, withdrawn, pages } = contents;
    let archive = Archive::from_parts(pages, rows)?;
    Some(Ledger { bounds, time, records, accounts, withdrawn, archive })
}

fn read_format_one(bytes: &[u8]) -> Option<Ledger> {
    let FormatOneSnapshot { time, records, withdrawn, .. } = postcard::from_bytes(bytes).ok()?;
    let mut accounts = Accounts::default();
    for entry in records.entries() {
        accounts.add_record(&entry.record.account, entry.record.size());
    }
    Some(Ledger { time, records, accounts, withdrawn, ..Ledger::default() })
}

impl Machine for Ledger {
    fn apply(&mut self, _: Index, command: &[u8]) -> Vec<u8> {
        let outcome = match postcard::from_bytes(command) {
            Ok(command) => self.apply_command(command),
            Err(_) => CommandOutcome { time: self.time, reply: Reply::Invalid },
        };
        postcard::to_allocvec(&outcome).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.snapshot_chunks().to_vec()
    }

    fn snapshot_chunks(&self) -> Chunks {
        let mut chunks = Chunks::from(Arc::from(self.encode_head()));
        chunks.extend(self.archive.rows());
        chunks
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        match Self::from_snapshot(snapshot) {
            Ok(ledger) => {
                *self = ledger;
                true
            }
            Err(error) => {
                log::error!("{error}");
                false
            }
        }
    }
}
