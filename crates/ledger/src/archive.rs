//! Outcomes of claimed keys whose answers are no longer kept, in pages of rows of fixed size.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use state::Chunks;

use crate::accounts::Slot;
use crate::records::{Entry, Stand};
use crate::{Digest, Time};

/// Bytes of a key's digest that a row keeps.
const KEY_BYTES: usize = 16;

/// Bytes of the request's digest that a row keeps.
const BODY_BYTES: usize = 8;

/// Bytes of a row: key, request, status, account.
const ROW_BYTES: usize = KEY_BYTES + BODY_BYTES + 2 + 2;

/// Status in a row whose attempt may have run.
const UNKNOWN_STATUS: u16 = 0;

/// What is left of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Remnant {
    /// The key was used for another request.
    Conflict,
    /// The attempt may have run.
    Unknown,
    /// The attempt was answered with this HTTP status.
    Answered(u16),
}

/// Rows sorted by key, which are forgotten together.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Page {
    /// When the first of its rows expires.
    opens: Time,
    /// When the last of them expires.
    closes: Time,
    rows: Arc<[u8]>,
}

/// A page without its rows.
#[derive(Serialize, Deserialize)]
pub(crate) struct Head {
    opens: Time,
    closes: Time,
    bytes: usize,
}

/// All pages, the oldest first.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Archive {
    pages: Vec<Page>,
}

impl Page {
    /// The row of `key`, by the place that an even spread of digests gives it.
    fn find(&self, key: Digest) -> Option<&[u8]> {
        let key = &key.as_bytes()[..KEY_BYTES];
        let count = self.rows.len() / ROW_BYTES;
        let (mut low, mut high) = (0, count);
        let mut guess = spread(key, count);
        let mut step = 1 + count.isqrt() / 4;
        while low < high {
            let row = &self.rows[guess * ROW_BYTES..(guess + 1) * ROW_BYTES];
            match row[..KEY_BYTES].cmp(key) {
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
        let number = |row: &[u8]| u16::from_le_bytes([row[ROW_BYTES - 2], row[ROW_BYTES - 1]]);
        self.rows.chunks_exact(ROW_BYTES).map(|row| Slot(number(row))).collect()
    }
}

/// The index that `key` has among `count` digests that are spread evenly.
fn spread(key: &[u8], count: usize) -> usize {
    let leading = key[..8].iter().fold(0_u128, |number, byte| number << 8 | u128::from(*byte));
    usize::try_from((leading * count as u128) >> 64).unwrap_or_default()
}

fn append_row(entry: &Entry, slot: Slot, rows: &mut Vec<u8>) {
    let status = match &entry.record.stand {
        Stand::Answered(answer) => answer.status,
        Stand::Running { .. } | Stand::Unknown => UNKNOWN_STATUS,
    };
    rows.extend_from_slice(&entry.key.as_bytes()[..KEY_BYTES]);
    rows.extend_from_slice(&entry.record.body.as_bytes()[..BODY_BYTES]);
    rows.extend_from_slice(&status.to_le_bytes());
    rows.extend_from_slice(&slot.0.to_le_bytes());
}

/// The rows of `old` and of `entries`, sorted by key.
fn merge(old: &[u8], entries: &[(Slot, Entry)]) -> Vec<u8> {
    let mut rows = Vec::with_capacity(old.len() + entries.len() * ROW_BYTES);
    let mut old = old.chunks_exact(ROW_BYTES).peekable();
    for (slot, entry) in entries {
        let key = &entry.key.as_bytes()[..KEY_BYTES];
        while let Some(row) = old.next_if(|row| row[..KEY_BYTES] < *key) {
            rows.extend_from_slice(row);
        }
        append_row(entry, *slot, &mut rows);
    }
    old.for_each(|row| rows.extend_from_slice(row));
    rows
}

impl Archive {
    /// Adds `entries`, sorted by key, to the newest page if it opened less than `span` before
    /// the first of them expires, else to another one.
    pub(crate) fn add(&mut self, entries: &[(Slot, Entry)], span: std::time::Duration) {
        let expiries = entries.iter().map(|(_, entry)| entry.record.expires);
        let (Some(opens), Some(closes)) = (expiries.clone().min(), expiries.max()) else {
            return;
        };
        if self.pages.last().is_none_or(|page| closes > page.opens.after(span)) {
            self.pages.push(Page { opens, closes, rows: Arc::default() });
        }
        if let Some(page) = self.pages.last_mut() {
            page.closes = page.closes.max(closes);
            page.rows = merge(&page.rows, entries).into();
        }
    }

    /// What is left of the claim of `key` for a request with the digest `body`.
    pub(crate) fn find(&self, key: Digest, body: Digest) -> Option<Remnant> {
        let row = self.pages.iter().rev().find_map(|page| page.find(key))?;
        let (kept, rest) = row[KEY_BYTES..].split_at(BODY_BYTES);
        if *kept != body.as_bytes()[..BODY_BYTES] {
            return Some(Remnant::Conflict);
        }
        match u16::from_le_bytes([rest[0], rest[1]]) {
            UNKNOWN_STATUS => Some(Remnant::Unknown),
            status => Some(Remnant::Answered(status)),
        }
    }

    /// When the oldest page is forgotten.
    pub(crate) fn next_expiry(&self) -> Option<Time> {
        self.pages.iter().map(|page| page.closes).min()
    }

    /// Forgets a page all of whose rows have expired at `now`; gives the accounts of its rows.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<Vec<Slot>> {
        let index = self.pages.iter().position(|page| page.closes <= now)?;
        Some(self.pages.remove(index).slots())
    }

    /// The pages without their rows.
    pub(crate) fn heads(&self) -> Vec<Head> {
        let head =
            |page: &Page| Head { opens: page.opens, closes: page.closes, bytes: page.rows.len() };
        self.pages.iter().map(head).collect()
    }

    /// The rows of all pages, shared with them.
    pub(crate) fn rows(&self) -> Chunks {
        let mut chunks = Chunks::default();
        self.pages.iter().for_each(|page| chunks.push(page.rows.clone()));
        chunks
    }

    /// The archive of `heads` with all their `rows`; none when these are not as long as said.
    pub(crate) fn restored(heads: Vec<Head>, mut rows: &[u8]) -> Option<Self> {
        let mut pages = Vec::with_capacity(heads.len());
        for Head { opens, closes, bytes } in heads {
            let (first, rest) = rows.split_at_checked(bytes)?;
            rows = rest;
            pages.push(Page { opens, closes, rows: first.into() });
        }
        let is_whole = rows.is_empty();
        let has_rows = pages.iter().all(|page| page.rows.len() % ROW_BYTES == 0);
        (is_whole && has_rows).then_some(Self { pages })
    }
}
