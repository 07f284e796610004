//! What each client account holds of the ledger.

use names::ClientAccount;
use serde::{Deserialize, Serialize};

/// Records and bytes.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Usage {
    pub(crate) records: usize,
    pub(crate) bytes: usize,
}

impl Usage {
    /// Whether another record would exceed `limit`.
    pub(crate) fn is_full(self, limit: Usage) -> bool {
        self.records >= limit.records || self.bytes >= limit.bytes
    }

    fn add(&mut self, bytes: usize) {
        self.records += 1;
        self.bytes += bytes;
    }

    fn remove(&mut self, bytes: usize) {
        self.records = self.records.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}

/// The usage of each account that holds records, sorted by account, and of all together.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Accounts {
    usages: Vec<(ClientAccount, Usage)>,
    total: Usage,
}

impl Accounts {
    pub(crate) fn total(&self) -> Usage {
        self.total
    }

    pub(crate) fn usage(&self, account: &ClientAccount) -> Usage {
        self.find(account).map_or(Usage::default(), |index| self.usages[index].1)
    }

    /// Counts a new record.
    pub(crate) fn add(&mut self, account: &ClientAccount, bytes: usize) {
        self.total.add(bytes);
        match self.find(account) {
            Ok(index) => self.usages[index].1.add(bytes),
            Err(index) => {
                self.usages.insert(index, (account.clone(), Usage { records: 1, bytes }));
            }
        }
    }

    /// Counts bytes that a record grew by.
    pub(crate) fn grow(&mut self, account: &ClientAccount, bytes: usize) {
        self.total.bytes += bytes;
        if let Ok(index) = self.find(account) {
            self.usages[index].1.bytes += bytes;
        }
    }

    /// Counts a record that went away.
    pub(crate) fn remove(&mut self, account: &ClientAccount, bytes: usize) {
        self.total.remove(bytes);
        if let Ok(index) = self.find(account) {
            self.usages[index].1.remove(bytes);
            if self.usages[index].1.records == 0 {
                self.usages.remove(index);
            }
        }
    }

    fn find(&self, account: &ClientAccount) -> Result<usize, usize> {
        self.usages.binary_search_by(|(other, _)| other.cmp(account))
    }
}
