//! Archive of the outcomes of claimed keys whose responses are no longer stored, in pages of
//! fixed-size rows.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use state::Chunks;

use crate::accounts::Slot;
use crate::records::{ClaimState, Entry};
use crate::{Digest, Time};

/// Number of leading bytes of a key's digest that a row stores.
const KEY_PREFIX_BYTES: usize = 16;

/// Number of leading bytes of the request's digest that a row stores.
const REQUEST_PREFIX_BYTES: usize = 8;

/// Size of a row in bytes: key prefix, request prefix, status, account slot.
const ROW_BYTES: usize = KEY_PREFIX_BYTES + REQUEST_PREFIX_BYTES + 2 + 2;

/// Status stored in the row of an attempt that may have run.
const UNKNOWN_STATUS: u16 = 0;

/// Outcome of an archived claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ArchivedOutcome {
    /// The key was used for another request.
    Conflict,
    /// The attempt may have run.
    Unknown,
    /// The upstream responded to the attempt with this HTTP status.
    Answered(u16),
}

/// Rows sorted by key, which are removed together.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Page {
    /// Expiry of the row that expires first.
    first_expiry: Time,
    /// Expiry of the row that expires last.
    last_expiry: Time,
    rows: Arc<[u8]>,
}

/// Metadata of a page, as stored in a snapshot.
#[derive(Serialize, Deserialize)]
pub(crate) struct PageHeader {
    first_expiry: Time,
    last_expiry: Time,
    bytes: usize,
}

/// All pages, oldest first.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Archive {
    pages: Vec<Page>,
}

impl Page {
    /// Returns the row of `key`. The search starts at the index expected from a uniform
    /// distribution of digests and widens its steps from there.
    fn find(&self, key: Digest) -> Option<&[u8]> {
        let key = &key.as_bytes()[..KEY_PREFIX_BYTES];
        let count = self.rows.len() / ROW_BYTES;
        let (mut low, mut high) = (0, count);
        let mut guess = interpolated_index(key, count);
        let mut step = 1 + count.isqrt() / 4;
        while low < high {
            let row = &self.rows[guess * ROW_BYTES..(guess + 1) * ROW_BYTES];
            match row[..KEY_PREFIX_BYTES].cmp(key) {
                std::cmp::Ordering::Equal => return Some(row),
                std::cmp::Ordering::Less => {
                    low = guess + 1;
                    guess = if guess + step < high { guess + step } else { low.midpoint(high) };
                }
                std::cmp::Ordering::Greater => {
                    high = guess;
                    guess = if guess >= low + step { guess - step } else { low.midpoint(high) };
                }
            }
            step *= 2;
        }
        None
    }

    fn slots(&self) -> Vec<Slot> {
        let slot_number = |row: &[u8]| u16::from_le_bytes([row[ROW_BYTES - 2], row[ROW_BYTES - 1]]);
        self.rows.chunks_exact(ROW_BYTES).map(|row| Slot(slot_number(row))).collect()
    }
}

/// Returns the expected index of `key` among `count` uniformly distributed digests.
fn interpolated_index(key: &[u8], count: usize) -> usize {
    let leading = key[..8].iter().fold(0_u128, |number, byte| number << 8 | u128::from(*byte));
    usize::try_from((leading * count as u128) >> 64).unwrap_or_default()
}

fn append_row(entry: &Entry, slot: Slot, rows: &mut Vec<u8>) {
    let status = match &entry.record.state {
        ClaimState::Answered(answer) => answer.status,
        ClaimState::Running { .. } | ClaimState::Unknown => UNKNOWN_STATUS,
    };
    rows.extend_from_slice(&entry.key.as_bytes()[..KEY_PREFIX_BYTES]);
    rows.extend_from_slice(&entry.record.request.as_bytes()[..REQUEST_PREFIX_BYTES]);
    rows.extend_from_slice(&status.to_le_bytes());
    rows.extend_from_slice(&slot.0.to_le_bytes());
}

/// Merges the rows of `old` with the rows of `entries`, sorted by key.
fn merge(old: &[u8], entries: &[(Slot, Entry)]) -> Vec<u8> {
    let mut rows = Vec::with_capacity(old.len() + entries.len() * ROW_BYTES);
    let mut old = old.chunks_exact(ROW_BYTES).peekable();
    for (slot, entry) in entries {
        let key = &entry.key.as_bytes()[..KEY_PREFIX_BYTES];
        while let Some(row) = old.next_if(|row| row[..KEY_PREFIX_BYTES] < *key) {
            rows.extend_from_slice(row);
        }
        append_row(entry, *slot, &mut rows);
    }
    old.for_each(|row| rows.extend_from_slice(row));
    rows
}

impl Archive {
    /// Adds `entries`, which must be sorted by key, to the newest page if all of them expire
    /// within `span` after the first row of that page, otherwise to a new page.
    pub(crate) fn add(&mut self, entries: &[(Slot, Entry)], span: std::time::Duration) {
        let expiries = entries.iter().map(|(_, entry)| entry.record.expires);
        let (Some(first_expiry), Some(last_expiry)) = (expiries.clone().min(), expiries.max())
        else {
            return;
        };
        if self.pages.last().is_none_or(|page| last_expiry > page.first_expiry.after(span)) {
            self.pages.push(Page { first_expiry, last_expiry, rows: Arc::default() });
        }
        if let Some(page) = self.pages.last_mut() {
            page.last_expiry = page.last_expiry.max(last_expiry);
            page.rows = merge(&page.rows, entries).into();
        }
    }

    /// Returns the outcome of the archived claim of `key` for a request with the digest `request`.
    pub(crate) fn find(&self, key: Digest, request: Digest) -> Option<ArchivedOutcome> {
        let row = self.pages.iter().rev().find_map(|page| page.find(key))?;
        let (request_prefix, rest) = row[KEY_PREFIX_BYTES..].split_at(REQUEST_PREFIX_BYTES);
        if *request_prefix != request.as_bytes()[..REQUEST_PREFIX_BYTES] {
            return Some(ArchivedOutcome::Conflict);
        }
        match u16::from_le_bytes([rest[0], rest[1]]) {
            UNKNOWN_STATUS => Some(ArchivedOutcome::Unknown),
            status => Some(ArchivedOutcome::Answered(status)),
        }
    }

    /// Returns the time at which the next page expires.
    pub(crate) fn next_expiry(&self) -> Option<Time> {
        self.pages.iter().map(|page| page.last_expiry).min()
    }

    /// Removes one page whose rows have all expired at `now`, and returns the account slots of
    /// its rows.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<Vec<Slot>> {
        let index = self.pages.iter().position(|page| page.last_expiry <= now)?;
        Some(self.pages.remove(index).slots())
    }

    /// Returns the metadata of all pages.
    pub(crate) fn page_headers(&self) -> Vec<PageHeader> {
        let header = |page: &Page| PageHeader {
            first_expiry: page.first_expiry,
            last_expiry: page.last_expiry,
            bytes: page.rows.len(),
        };
        self.pages.iter().map(header).collect()
    }

    /// Returns the rows of all pages without copying them.
    pub(crate) fn rows(&self) -> Chunks {
        let mut chunks = Chunks::default();
        self.pages.iter().for_each(|page| chunks.push(page.rows.clone()));
        chunks
    }

    /// Rebuilds an archive from page headers and the rows of all pages. Returns `None` if the
    /// length of `rows` does not match the headers.
    pub(crate) fn from_parts(headers: Vec<PageHeader>, mut rows: &[u8]) -> Option<Self> {
        let mut pages = Vec::with_capacity(headers.len());
        for PageHeader { first_expiry, last_expiry, bytes } in headers {
            let (page_rows, rest) = rows.split_at_checked(bytes)?;
            rows = rest;
            pages.push(Page { first_expiry, last_expiry, rows: page_rows.into() });
        }
        let is_complete = rows.is_empty();
        let has_complete_rows = pages.iter().all(|page| page.rows.len() % ROW_BYTES == 0);
        (is_complete && has_complete_rows).then_some(Self { pages })
    }
}
