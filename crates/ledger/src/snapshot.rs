//! The ledger as bytes, and the formats in which it may be read.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use state::{Chunks, Index, Machine};

use crate::accounts::Accounts;
use crate::archive::{Archive, Head};
use crate::error::Unreadable;
use crate::records::Records;
use crate::withdrawn::Withdrawn;
use crate::{Bounds, Ledger, Outcome, Reply, Time};

/// First byte of all formats but the first one, which began with a number above zero.
const MARK: u8 = 0;

/// The format that is written.
const FORMAT: u8 = 2;

/// Bytes of the length of the head, after mark and format.
const LENGTH_BYTES: usize = 8;

/// All but the rows of the archive, which follow it.
#[derive(Serialize, Deserialize)]
struct Stored<R, A, W> {
    bounds: Bounds,
    time: Time,
    records: R,
    accounts: A,
    withdrawn: W,
    pages: Vec<Head>,
}

/// The first format: all records whole.
#[derive(Deserialize)]
struct First {
    _bounds: FirstBounds,
    time: Time,
    records: Records,
    _accounts: (Vec<(String, FirstUsage)>, FirstUsage),
    withdrawn: Withdrawn,
}

type FirstBounds = (usize, usize, usize, usize, std::time::Duration, std::time::Duration);

type FirstUsage = (usize, usize);

impl Ledger {
    /// Reads a snapshot of this format or the first one.
    ///
    /// # Errors
    ///
    /// [`Unreadable`] when the bytes are of another format or damaged.
    pub fn from_snapshot(snapshot: &[u8]) -> Result<Self, Unreadable> {
        match snapshot {
            [MARK, FORMAT, rest @ ..] => read(rest).ok_or(Unreadable::Damaged { format: FORMAT }),
            [MARK, format, ..] => Err(Unreadable::Format { format: *format, known: FORMAT }),
            [] => Err(Unreadable::Empty),
            _ => read_first(snapshot).ok_or(Unreadable::Damaged { format: 1 }),
        }
    }

    fn head(&self) -> Vec<u8> {
        let stored = Stored {
            bounds: self.bounds,
            time: self.time,
            records: &self.records,
            accounts: &self.accounts,
            withdrawn: &self.withdrawn,
            pages: self.archive.heads(),
        };
        let mut bytes = Vec::with_capacity(self.size());
        bytes.extend_from_slice(&[MARK, FORMAT]);
        bytes.extend_from_slice(&[0; LENGTH_BYTES]);
        let mut bytes = postcard::to_extend(&stored, bytes).unwrap_or_default();
        let start = 2 + LENGTH_BYTES;
        let length = bytes.len().saturating_sub(start) as u64;
        if let Some(place) = bytes.get_mut(2..start) {
            place.copy_from_slice(&length.to_le_bytes());
        }
        bytes
    }
}

fn read(bytes: &[u8]) -> Option<Ledger> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>()?;
    let length = usize::try_from(u64::from_le_bytes(*length)).ok()?;
    let (head, rows) = rest.split_at_checked(length)?;
    let stored: Stored<Records, Accounts, Withdrawn> = postcard::from_bytes(head).ok()?;
    let Stored { bounds, time, records, accounts, withdrawn, pages } = stored;
    let archive = Archive::restored(pages, rows)?;
    Some(Ledger { bounds, time, records, accounts, withdrawn, archive })
}

fn read_first(bytes: &[u8]) -> Option<Ledger> {
    let First { time, records, withdrawn, .. } = postcard::from_bytes(bytes).ok()?;
    let mut accounts = Accounts::default();
    for entry in records.entries() {
        accounts.add(&entry.record.account, entry.record.size());
    }
    Some(Ledger { time, records, accounts, withdrawn, ..Ledger::default() })
}

impl Machine for Ledger {
    fn apply(&mut self, _: Index, command: &[u8]) -> Vec<u8> {
        let outcome = match postcard::from_bytes(command) {
            Ok(command) => self.take(command),
            Err(_) => Outcome { time: self.time, reply: Reply::Invalid },
        };
        postcard::to_allocvec(&outcome).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.snapshot_chunks().to_vec()
    }

    fn snapshot_chunks(&self) -> Chunks {
        let mut chunks = Chunks::from(Arc::from(self.head()));
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
