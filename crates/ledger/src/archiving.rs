//! Frees capacity for full records by moving the oldest records without a running attempt to the
//! archive, which stores only their outcome.

use std::time::Duration;

use names::{Attempt, ClientAccount};

use crate::Ledger;
use crate::accounts::Usage;
use crate::records::{Record, RecordLimits};

/// Divisor that gives the batch size: one search archives `1 / ARCHIVE_BATCH_DIVISOR` of the
/// limit on records or bytes.
const ARCHIVE_BATCH_DIVISOR: usize = 8;

/// Delay after a search that found too few records without a running attempt.
const SEARCH_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Ledger {
    /// Archives old records until `records` more records and `bytes` more bytes of `account` fit
    /// within the limits, and returns whether they fit. The record of the attempt `protected` is
    /// not archived.
    pub(crate) fn ensure_capacity(
        &mut self,
        account: &ClientAccount,
        protected: Attempt,
        records: usize,
        bytes: usize,
    ) -> bool {
        for scope in [Some(account), None] {
            while !self.has_capacity(scope, records, bytes) {
                if !self.archive_oldest(scope, protected) {
                    return false;
                }
            }
        }
        true
    }

    fn has_capacity(&self, scope: Option<&ClientAccount>, records: usize, bytes: usize) -> bool {
        let (usage, limit) = (self.usage(scope), self.limit(scope));
        usage.records + records <= limit.records && usage.bytes + bytes <= limit.bytes
    }

    /// Returns the limit of one account, or the total limit if `scope` is `None`.
    fn limit(&self, scope: Option<&ClientAccount>) -> RecordLimits {
        let divisor = if scope.is_some() { self.bounds.account_share } else { 1 };
        RecordLimits { records: self.bounds.records / divisor, bytes: self.bounds.bytes / divisor }
    }

    fn usage(&self, scope: Option<&ClientAccount>) -> Usage {
        scope.map_or(self.accounts.total(), |account| self.accounts.usage(account))
    }

    /// Archives a batch of the oldest records without a running attempt. Returns `false` if no
    /// record was archived.
    fn archive_oldest(&mut self, scope: Option<&ClientAccount>, protected: Attempt) -> bool {
        let time = self.time;
        if self.usage(scope).next_search_at > time {
            return false;
        }
        let RecordLimits { records, bytes } = self.limit(scope);
        let target = RecordLimits {
            records: (records / ARCHIVE_BATCH_DIVISOR).max(1),
            bytes: (bytes / ARCHIVE_BATCH_DIVISOR).max(1),
        };
        let is_eligible = |record: &Record| {
            !record.is_running(time)
                && record.fence != protected
                && scope.is_none_or(|account| record.account == *account)
        };
        let oldest = self.records.extract_oldest(target, is_eligible);
        let freed = oldest.iter().map(|entry| entry.record.size()).sum();
        if !target.is_reached(oldest.len(), freed) {
            self.accounts.defer_search(scope, time.after(SEARCH_RETRY_DELAY));
        }
        let mut archived = Vec::with_capacity(oldest.len());
        for entry in oldest {
            self.accounts.archive_record(&entry.record.account, entry.record.size());
            archived.extend(self.accounts.slot(&entry.record.account).map(|slot| (slot, entry)));
        }
        self.archive.add(&archived, self.bounds.page_span);
        !archived.is_empty()
    }
}
