//! Makes room for whole records: the oldest settled ones keep their outcome alone.

use std::time::Duration;

use names::{Attempt, ClientAccount};

use crate::Ledger;
use crate::accounts::Usage;
use crate::records::{Amount, Record};

/// One of so many records or bytes loses its answer at a time.
const SEARCH_PART: usize = 8;

/// Pause after a search that found too few records without a running attempt.
const SEARCH_PAUSE: Duration = Duration::from_secs(1);

impl Ledger {
    /// Whether there is room for so many `records` and `bytes` of `account`, after others lost
    /// their answers if need be. The record of the attempt `spared` stays whole.
    pub(crate) fn make_room(
        &mut self,
        account: &ClientAccount,
        spared: Attempt,
        records: usize,
        bytes: usize,
    ) -> bool {
        for among in [Some(account), None] {
            while !self.has_room(among, records, bytes) {
                if !self.archive_oldest(among, spared) {
                    return false;
                }
            }
        }
        true
    }

    fn has_room(&self, among: Option<&ClientAccount>, records: usize, bytes: usize) -> bool {
        let (usage, limit) = (self.usage(among), self.limit(among));
        usage.records + records <= limit.records && usage.bytes + bytes <= limit.bytes
    }

    /// The limit of one account, or of all together.
    fn limit(&self, among: Option<&ClientAccount>) -> Amount {
        let part = if among.is_some() { self.bounds.account_share } else { 1 };
        Amount { records: self.bounds.records / part, bytes: self.bounds.bytes / part }
    }

    fn usage(&self, among: Option<&ClientAccount>) -> Usage {
        among.map_or(self.accounts.total(), |account| self.accounts.usage(account))
    }

    /// Archives the oldest records that have no running attempt; false when there are none.
    fn archive_oldest(&mut self, among: Option<&ClientAccount>, spared: Attempt) -> bool {
        let time = self.time;
        if self.usage(among).search_after > time {
            return false;
        }
        let Amount { records, bytes } = self.limit(among);
        let enough =
            Amount { records: (records / SEARCH_PART).max(1), bytes: (bytes / SEARCH_PART).max(1) };
        let is_wanted = |record: &Record| {
            !record.is_running(time)
                && record.fence != spared
                && among.is_none_or(|account| record.account == *account)
        };
        let oldest = self.records.extract_oldest(enough, is_wanted);
        let freed = oldest.iter().map(|entry| entry.record.size()).sum();
        if !enough.is_within(oldest.len(), freed) {
            self.accounts.put_off_search(among, time.after(SEARCH_PAUSE));
        }
        let mut archived = Vec::with_capacity(oldest.len());
        for entry in oldest {
            self.accounts.archive(&entry.record.account, entry.record.size());
            archived.extend(self.accounts.slot(&entry.record.account).map(|slot| (slot, entry)));
        }
        self.archive.add(&archived, self.bounds.page_span);
        !archived.is_empty()
    }
}
